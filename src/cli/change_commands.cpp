#include "cli/change_plan.h"
#include "cli/commands.h"

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto maxFiles = std::size_t(1'000);

auto unixMsNow() -> std::int64_t
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Parses a time: RFC 3339, "now", or +N with the unit s, m or h, counted from \p start. Returns milliseconds since
/// 1970.
auto parseTimeArgument(const std::string &text, std::int64_t start) -> std::optional<std::int64_t>
{
    constexpr auto millisecondsPerUnit =
        std::array{ std::pair('s', std::int64_t(1'000)), std::pair('m', std::int64_t(60'000)),
                    std::pair('h', std::int64_t(3'600'000)) };
    if (text == "now") {
        return start;
    }
    if (!text.starts_with('+')) {
        return parseTime(text);
    }
    for (const auto &[unit, milliseconds] : millisecondsPerUnit) {
        const auto digits = text.substr(1, text.size() - 2);
        const auto numeric =
            !digits.empty() && digits.size() < 8 && digits.find_first_not_of("0123456789") == std::string::npos;
        if (text.ends_with(unit) && numeric) {
            return start + std::stoll(digits) * milliseconds;
        }
    }
    return std::nullopt;
}

auto runApply(const command_arguments &arguments) -> int
{
    const auto objects = loadFiles(arguments.positional);
    if (!objects) {
        return static_cast<int>(exit_code::invalid);
    }
    auto router = router_client(arguments);
    auto why = last_reason();
    const auto before = router.readConfiguration(why);
    if (!before) {
        return reportFailure(why);
    }
    auto operations = planPuts(*before, *objects);
    if (operations.empty()) {
        std::printf(arguments.has("json") ? "{\"sequence\":%llu,\"operations\":0}\n"
                                          : "nothing to change; the configuration is at change %llu\n",
                    static_cast<unsigned long long>(before->sequence));
        return static_cast<int>(exit_code::success);
    }
    return proposeAndReport(router, *before, std::move(operations), *objects, arguments);
}

auto runDiff(const command_arguments &arguments) -> int
{
    const auto objects = loadFiles(arguments.positional);
    if (!objects) {
        return static_cast<int>(exit_code::invalid);
    }
    auto router = router_client(arguments);
    auto why = last_reason();
    const auto before = router.readConfiguration(why);
    if (!before) {
        return reportFailure(why);
    }
    const auto lines = describe(*before, planPuts(*before, *objects));
    if (arguments.has("json")) {
        const auto body = json::object{ { "sequence", before->sequence }, { "differences", json::value_from(lines) } };
        std::printf("%s\n", json::serialize(body).c_str());
    } else {
        for (const auto &line : lines) {
            std::printf("%s\n", line.c_str());
        }
    }
    return static_cast<int>(lines.empty() ? exit_code::success : exit_code::differs);
}

auto runDelete(const command_arguments &arguments) -> int
{
    const auto kind = parseEnum<object_kind>(arguments.positional[0]);
    auto why = last_reason();
    if (!kind) {
        why.fail(failure_kind::invalidInput, "read arguments", "",
                 "there is no kind '" + arguments.positional[0] + "'");
        return reportFailure(why);
    }
    auto router = router_client(arguments);
    const auto before = router.readConfiguration(why);
    if (!before) {
        return reportFailure(why);
    }
    const auto &name = arguments.positional[1];
    if (!findObject(*before, *kind, name)) {
        why.fail(failure_kind::notFound, "delete", "", "there is no " + arguments.positional[0] + " '" + name + "'");
        return reportFailure(why);
    }
    return proposeAndReport(router, *before, { { operation_kind::remove, *kind, name, {} } }, {}, arguments);
}

auto makeStop(const command_arguments &arguments, last_reason &why) -> std::optional<planned_stop>
{
    const auto at = parseTimeArgument(arguments.value("at", "now"), unixMsNow());
    const auto until = at ? parseTimeArgument(arguments.value("until"), *at) : std::nullopt;
    if (!at || !until) {
        return why.fail(failure_kind::invalidInput, "read arguments", "",
                        "--at and --until expect a time such as 2026-12-04T05:00:00Z, now, +90s, +10m or +2h");
    }
    auto stop = planned_stop();
    stop.backendServer = arguments.positional[0];
    stop.name = arguments.value("name", "stop-" + stop.backendServer);
    stop.atUnixMs = *at;
    stop.untilUnixMs = *until;
    return stop;
}

auto runStop(const command_arguments &arguments) -> int
{
    auto why = last_reason();
    const auto stop = makeStop(arguments, why);
    if (!stop) {
        return reportFailure(why);
    }
    auto router = router_client(arguments);
    const auto before = router.readConfiguration(why);
    if (!before) {
        return reportFailure(why);
    }
    const auto operation = configuration_operation{ operation_kind::put, object_kind::plannedStop, stop->name, *stop };
    return proposeAndReport(router, *before, { operation }, {}, arguments);
}

} // namespace

auto makeApplyCommand() -> command
{
    return { .usage = { .name = "apply",
                        .arguments = "FILE...",
                        .summary = "Creates or changes configuration objects, all in one change.",
                        .examples = "  marjoramloom apply accounts.toml services.toml\n"
                                    "  marjoramloom apply --router 10.0.0.5:7002 --author tigist profiles.toml\n",
                        .options = changeOptions(),
                        .minArguments = 1,
                        .maxArguments = maxFiles },
             .run = runApply };
}

auto makeDiffCommand() -> command
{
    return { .usage = { .name = "diff",
                        .arguments = "FILE...",
                        .summary = "Shows what apply would change. Exit code 8 where there are differences.",
                        .examples = "  marjoramloom diff profiles.toml\n",
                        .options = routerOptions(),
                        .minArguments = 1,
                        .maxArguments = maxFiles },
             .run = runDiff };
}

auto makeDeleteCommand() -> command
{
    return { .usage = { .name = "delete",
                        .arguments = "KIND NAME",
                        .summary = "Deletes a configuration object.",
                        .examples = "  marjoramloom delete planned_stop stop-engine-3\n",
                        .options = changeOptions(),
                        .minArguments = 2,
                        .maxArguments = 2 },
             .run = runDelete };
}

auto makeStopCommand() -> command
{
    auto options = changeOptions();
    options.push_back({ "at", "TIME", "Start of the stop: RFC 3339, now, or +N with s, m or h (default: now)" });
    options.push_back({ "until", "TIME", "End of the stop; +N counts from --at" });
    options.push_back({ "name", "NAME", "Name of the planned stop (default: stop-BACKEND_SERVER)" });
    return { .usage = { .name = "stop",
                        .arguments = "BACKEND_SERVER",
                        .summary = "Plans a stop of a backend server; running requests finish.",
                        .examples = "  marjoramloom stop engine-3 --at 2026-12-04T22:00:00+03:00 --until +2h\n"
                                    "  marjoramloom stop engine-3 --until +30m\n"
                                    "  marjoramloom delete planned_stop stop-engine-3\n",
                        .options = options,
                        .minArguments = 1,
                        .maxArguments = 1 },
             .run = runStop };
}

} // namespace marjoramloom
