#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// An option of a command, with or without a value.
struct command_option
{
    std::string name; ///< Without the leading dashes.
    std::string valueName; ///< Placeholder in the help text; empty for a flag.
    std::string help;
};

/// Name, options and help texts of a command.
struct command_usage
{
    std::string name;
    std::string arguments; ///< For the usage line, such as "FILE...".
    std::string summary; ///< One line.
    std::string examples; ///< One example per line.
    std::vector<command_option> options;
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
};

/// The parsed arguments of a command.
struct command_arguments
{
    std::map<std::string, std::string> options; ///< Flags have the value "1".
    std::vector<std::string> positional;

    [[nodiscard]] auto has(const std::string &name) const -> bool
    {
        return options.contains(name);
    }

    [[nodiscard]] auto value(const std::string &name, std::string defaultValue = {}) const -> std::string
    {
        const auto found = options.find(name);
        return found == options.end() ? std::move(defaultValue) : found->second;
    }
};

/// Why parsing returned no arguments.
enum class parse_outcome {
    helpShown,
    usageError,
};

/// Parses the arguments of a command; \p argv starts with the command's name. If nothing is returned, \p outcome is
/// the reason: help was printed to standard output, or an error message to standard error.
auto parseArguments(const command_usage &usage, int argc, const char *const *argv, parse_outcome &outcome)
    -> std::optional<command_arguments>;

} // namespace marjoramloom
