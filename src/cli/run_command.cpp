#include "marjoramloom/cli/run_command.h"

#include "cli/commands.h"

#include <algorithm>
#include <cstdio>
#include <cstring>

namespace marjoramloom {

namespace {

constexpr auto versionText = "marjoramloom 0.1.0";

constexpr auto exitCodeHelp = "Exit codes:\n"
                              "  0  done\n"
                              "  1  internal error\n"
                              "  2  wrong command line\n"
                              "  3  a file or change is not valid; nothing was changed\n"
                              "  4  conflict: the configuration was changed concurrently; nothing was changed\n"
                              "  5  no such object\n"
                              "  6  no router answered, or it refused; nothing was changed\n"
                              "  7  the change may or may not be accepted\n"
                              "  8  diff found differences\n";

auto serveUsage() -> command_usage
{
    return { .name = "serve",
             .arguments = "",
             .summary = "Runs a router until SIGTERM.",
             .examples = "  marjoramloom serve --settings router.toml\n",
             .options = { { "settings", "FILE", "Settings of this router" } } };
}

auto versionUsage() -> command_usage
{
    return { .name = "version",
             .arguments = "",
             .summary = "Prints the version.",
             .examples = "  marjoramloom version\n  marjoramloom version --json\n",
             .options = { { "json", "", "Print JSON" } } };
}

auto clientCommands() -> std::vector<command>
{
    return { makeCheckCommand(), makeApplyCommand(),  makeDiffCommand(),   makeGetCommand(),    makeDeleteCommand(),
             makeStopCommand(),  makeStatusCommand(), makeOrdersCommand(), makeExplainCommand() };
}

auto printOverview() -> void
{
    std::printf("A router fleet for client accounts that share capacity fairly.\n\n"
                "Usage: marjoramloom COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n");
    auto usages = std::vector<command_usage>{ serveUsage() };
    for (const auto &entry : clientCommands()) {
        usages.push_back(entry.usage);
    }
    usages.push_back(versionUsage());
    for (const auto &usage : usages) {
        std::printf("  %-9s %s\n", usage.name.c_str(), usage.summary.c_str());
    }
    std::printf("\n'marjoramloom COMMAND --help' shows options and examples.\n\n%s", exitCodeHelp);
}

auto exitCodeFor(parse_outcome outcome) -> int
{
    return static_cast<int>(outcome == parse_outcome::helpShown ? exit_code::success : exit_code::usage);
}

auto runServe(int argc, const char *const *argv, const serve_function &serve) -> int
{
    auto outcome = parse_outcome::usageError;
    const auto arguments = parseArguments(serveUsage(), argc, argv, outcome);
    if (!arguments) {
        return exitCodeFor(outcome);
    }
    if (!arguments->has("settings")) {
        std::fprintf(stderr, "marjoramloom serve: --settings FILE is required\nTry 'marjoramloom serve --help'.\n");
        return static_cast<int>(exit_code::usage);
    }
    return serve(arguments->value("settings"));
}

auto runVersion(int argc, const char *const *argv) -> int
{
    auto outcome = parse_outcome::usageError;
    const auto arguments = parseArguments(versionUsage(), argc, argv, outcome);
    if (!arguments) {
        return exitCodeFor(outcome);
    }
    std::printf(arguments->has("json") ? "{\"version\":\"%s\"}\n" : "marjoramloom %s\n",
                std::strchr(versionText, ' ') + 1);
    return static_cast<int>(exit_code::success);
}

} // namespace

auto runCommand(int argc, const char *const *argv, const serve_function &serve) -> int
{
    const auto name = std::string(argc > 1 ? argv[1] : "--help");
    if (name == "--help" || name == "-h" || name == "help") {
        printOverview();
        return static_cast<int>(argc > 1 ? exit_code::success : exit_code::usage);
    }
    if (name == "serve") {
        return runServe(argc - 1, argv + 1, serve);
    }
    if (name == "version" || name == "--version") {
        return runVersion(argc - 1, argv + 1);
    }
    for (const auto &entry : clientCommands()) {
        if (entry.usage.name != name) {
            continue;
        }
        auto outcome = parse_outcome::usageError;
        const auto arguments = parseArguments(entry.usage, argc - 1, argv + 1, outcome);
        return arguments ? entry.run(*arguments) : exitCodeFor(outcome);
    }
    std::fprintf(stderr, "marjoramloom: there is no command '%s'\nTry 'marjoramloom --help'.\n", name.c_str());
    return static_cast<int>(exit_code::usage);
}

} // namespace marjoramloom
