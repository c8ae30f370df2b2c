#include "cli/command_line.h"

#include <cstdio>
#include <memory>
#include <popt.h>

namespace marjoramloom {

namespace {

constexpr auto helpCode = 1'000;

struct context_deleter
{
    auto operator()(poptContext context) const -> void
    {
        poptFreeContext(context);
    }
};

using popt_context = std::unique_ptr<poptContext_s, context_deleter>;

auto makeTable(const command_usage &usage) -> std::vector<poptOption>
{
    auto table = std::vector<poptOption>();
    auto code = 1;
    for (const auto &option : usage.options) {
        auto row = poptOption{};
        row.longName = option.name.c_str();
        row.argInfo = option.valueName.empty() ? POPT_ARG_NONE : POPT_ARG_STRING;
        row.val = code++;
        row.descrip = option.help.c_str();
        row.argDescrip = option.valueName.empty() ? nullptr : option.valueName.c_str();
        table.push_back(row);
    }
    auto help = poptOption{};
    help.longName = "help";
    help.shortName = 'h';
    help.argInfo = POPT_ARG_NONE;
    help.val = helpCode;
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

auto complain(const command_usage &usage, const std::string &what) -> std::nullopt_t
{
    std::fprintf(stderr, "marjoramloom %s: %s\nTry 'marjoramloom %s --help'.\n", usage.name.c_str(), what.c_str(),
                 usage.name.c_str());
    return std::nullopt;
}

auto takeOption(poptContext context, const command_option &option, command_arguments &arguments) -> void
{
    auto value = std::string("1");
    if (!option.valueName.empty()) {
        const auto text = std::unique_ptr<char, decltype(&std::free)>(poptGetOptArg(context), &std::free);
        value = text ? text.get() : "";
    }
    arguments.options[option.name] = std::move(value);
}

auto takeWords(poptContext context, const command_usage &usage, command_arguments &arguments) -> bool
{
    for (const auto *word = poptGetArg(context); word != nullptr; word = poptGetArg(context)) {
        arguments.words.emplace_back(word);
    }
    const auto count = arguments.words.size();
    return count >= usage.leastArguments && count <= usage.mostArguments;
}

} // namespace

auto parseArguments(const command_usage &usage, int argc, const char *const *argv, parse_end &end)
    -> std::optional<command_arguments>
{
    end = parse_end::wrong;
    const auto table = makeTable(usage);
    auto words = std::vector<const char *>(argv, argv + argc);
    const auto name = "marjoramloom " + usage.name;
    words.front() = name.c_str();
    words.push_back(nullptr);
    const auto context = popt_context(poptGetContext("marjoramloom", argc, words.data(), table.data(), 0));
    poptSetOtherOptionHelp(context.get(), ("[OPTION...] " + usage.arguments).c_str());
    auto arguments = command_arguments();
    auto code = poptGetNextOpt(context.get());
    for (; code >= 0; code = poptGetNextOpt(context.get())) {
        if (code == helpCode) {
            printHelp(context.get(), usage);
            end = parse_end::helpShown;
            return std::nullopt;
        }
        takeOption(context.get(), usage.options[static_cast<std::size_t>(code) - 1], arguments);
    }
    if (code < -1) {
        return complain(usage,
                        std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " + poptStrerror(code));
    }
    if (!takeWords(context.get(), usage, arguments)) {
        return complain(usage, usage.arguments.empty() ? "takes no arguments" : "expects " + usage.arguments);
    }
    return arguments;
}

} // namespace marjoramloom
