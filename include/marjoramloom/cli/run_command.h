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
    invalid = 3, ///< A file or change is wrong.
    conflict = 4, ///< Somebody changed the configuration meanwhile.
    notFound = 5,
    unavailable = 6, ///< No router answered, or it refused; nothing was changed.
    unknownOutcome = 7, ///< The change may be accepted or not; the same command settles it.
    differs = 8, ///< `diff` found differences.
};

/// Runs a router with the settings file named; returns the exit code.
using serve_function = std::function<int(const std::string &settingsPath)>;

/// Runs the command that the arguments name. Precondition: \p serve is not empty. Not thread safe.
auto runCommand(int argc, const char *const *argv, const serve_function &serve) -> int;

} // namespace marjoramloom
