#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// An option of a command. One with a value has a name for it.
struct command_option
{
    std::string name; ///< Without the dashes.
    std::string valueName; ///< Empty for a flag.
    std::string help;
};

/// What a command takes.
struct command_usage
{
    std::string name;
    std::string arguments; ///< For the usage line, such as "FILE...".
    std::string summary; ///< One line.
    std::string examples; ///< One a line.
    std::vector<command_option> options;
    std::size_t leastArguments = 0;
    std::size_t mostArguments = 0;
};

/// The parsed arguments of a command.
struct command_arguments
{
    std::map<std::string, std::string> options; ///< Flags have the value "1".
    std::vector<std::string> words;

    [[nodiscard]] auto has(const std::string &name) const -> bool
    {
        return options.contains(name);
    }

    [[nodiscard]] auto value(const std::string &name, std::string otherwise = {}) const -> std::string
    {
        const auto found = options.find(name);
        return found == options.end() ? std::move(otherwise) : found->second;
    }
};

/// Why parsing gave no arguments.
enum class parse_end {
    helpShown,
    wrong,
};

/// Parses what follows the command's name, with popt. Without arguments \p end tells why: help was printed to standard
/// output, or an error with a hint to standard error.
auto parseArguments(const command_usage &usage, int argc, const char *const *argv, parse_end &end)
    -> std::optional<command_arguments>;

} // namespace marjoramloom
