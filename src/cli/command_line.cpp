#include "cli/command_line.h"

#include <cstdio>
#include <memory>
#include <popt.h>

namespace marjoramloom {

namespace {

constexpr auto helpOptionValue = 1'000;

struct context_deleter
{
    auto operator()(poptContext context) const -> void
    {
        poptFreeContext(context);
    }
};

using popt_context = std::unique_ptr<poptContext_s, context_deleter>;

auto makeOptionTable(const command_usage &usage) -> std::vector<poptOption>
{
    auto table = std::vector<poptOption>();
    auto code = 1;
    for (const auto &option : usage.options) {
        auto entry = poptOption{};
        entry.longName = option.name.c_str();
        entry.argInfo = option.valueName.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        entry.val = code++;
        entry.descrip = option.help.c_str();
        entry.argDescrip = option.valueName.empty() ? nullptr : option.valueName.c_str();
        table.push_back(entry);
    }
    auto help = poptOption{};
    help.longName = "help";
    help.shortName = 'h';
    help.argInfo = POPT_ARG_NONE;
    help.val = helpOptionValue;
    help.descrip = "Show this help";
    table.push_back(help);
    table.push_back(poptOption{});
    return table;
}

auto printHelp(poptContext context, const command_usage &usage) -> void
{
    std::printf("%s\n\n", usage.summary.c_str());
    std::fflush(stdout);
    poptPrintHelp(context, stdout, 0);
    std::printf("\nExamples:\n%s", usage.examples.c_str());
}

auto printUsageError(const command_usage &usage, const std::string &problem) -> std::nullopt_t
{
    std::fprintf(stderr, "marjoramloom %s: %s\nTry 'marjoramloom %s --help'.\n", usage.name.c_str(), problem.c_str(),
                 usage.name.c_str());
    return std::nullopt;
}

auto storeOption(poptContext context, const command_option &option, command_arguments &arguments) -> void
{
    auto value = std::string("1");
    if (!option.valueName.empty()) {
        const auto text = std::unique_ptr<char, decltype(&std::free)>(poptGetOptArg(context), &std::free);
        value = text ? text.get() : "";
    }
    arguments.options[option.name] = std::move(value);
}

auto readPositional(poptContext context, const command_usage &usage, command_arguments &arguments) -> bool
{
    for (const auto *word = poptGetArg(context); word != nullptr; word = poptGetArg(context)) {
        arguments.positional.emplace_back(word);
    }
    const auto count = arguments.positional.size();
    return count >= usage.minArguments && count <= usage.maxArguments;
}

} // namespace

auto parseArguments(const command_usage &usage, int argc, const char *const *argv, parse_outcome &outcome)
    -> std::optional<command_arguments>
{
    outcome = parse_outcome::usageError;
    const auto table = makeOptionTable(usage);
    auto words = std::vector<const char *>(argv, argv + argc);
    const auto name = "marjoramloom " + usage.name;
    words.front() = name.c_str();
    words.push_back(nullptr);
    const auto context = popt_context(poptGetContext("marjoramloom", argc, words.data(), table.data(), 0));
    poptSetOtherOptionHelp(context.get(), ("[OPTION...] " + usage.arguments).c_str());
    auto arguments = command_arguments();
    auto code = poptGetNextOpt(context.get());
    for (; code >= 0; code = poptGetNextOpt(context.get())) {
        if (code == helpOptionValue) {
            printHelp(context.get(), usage);
            outcome = parse_outcome::helpShown;
            return std::nullopt;
        }
        storeOption(context.get(), usage.options[static_cast<std::size_t>(code) - 1], arguments);
    }
    if (code < -1) {
        return printUsageError(
            usage, std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(code));
    }
    if (!readPositional(context.get(), usage, arguments)) {
        return printUsageError(usage, usage.arguments.empty() ? "takes no arguments" : "expects " + usage.arguments);
    }
    return arguments;
}

} // namespace marjoramloom
