#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace marjoramloom {

/// Exit codes of the commands; `marjoramloom --help` lists them.
enum class exit_code : int {
    success = 0,
    internal = 1,
    usage = 2, ///< The command line is wrong.
    invalid = 3, ///< A file or change is not valid.
    conflict = 4, ///< The configuration was changed concurrently.
    notFound = 5,
    unavailable = 6, ///< No router answered, or it refused; nothing was changed.
    unknownOutcome = 7, ///< The change may or may not be accepted; running the same command again resolves it.
    differs = 8, ///< `diff` found differences.
};

/// Runs a router with the settings file at \p settingsPath and returns the exit code.
using serve_function = std::function<int(const std::string &settingsPath)>;

/// Runs the command given by \p argv and returns its exit code. \p serve runs the router for the command `serve`.
/// Precondition: \p serve is not empty. Not thread safe.
auto runCommand(int argc, const char *const *argv, const serve_function &serve) -> int;

} // namespace marjoramloom
