#include "cli/change_plan.h"
#include "cli/commands.h"
#include "marjoramloom/contract/configuration_check.h"
#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/router/settings.h"

#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto maxFiles = std::size_t(1'000);

/// Settings files hold plain tables, files of configuration objects hold arrays of tables: the first header decides.
auto isSettingsFile(const std::string &path) -> bool
{
    auto in = std::ifstream(path);
    auto line = std::string();
    while (in && std::getline(in, line)) {
        if (line.starts_with('[')) {
            return !line.starts_with("[[");
        }
    }
    return false;
}

auto checkSettings(const std::string &path) -> bool
{
    auto why = last_reason();
    const auto read = loadSettings(path, why);
    if (!read) {
        std::fprintf(stderr, "%s\n", why.detail.c_str());
    }
    return read.has_value();
}

auto checkObjects(const std::vector<std::string> &paths, bool whole) -> bool
{
    const auto objects = loadFiles(paths);
    if (!objects || !whole) {
        return objects.has_value();
    }
    auto change = configuration_change{ .sequence = 1, .id = {}, .author = {}, .unixMs = 0, .operations = {} };
    for (const auto &located : *objects) {
        change.operations.push_back(
            { operation_kind::put, kindOf(located.object), nameOf(located.object), located.object });
    }
    auto problems = checkConfiguration(applyOperations({}, change));
    locateProblems(*objects, problems);
    for (const auto &problem : problems) {
        std::fprintf(stderr, "%s\n", problem.message().c_str());
    }
    return problems.empty();
}

auto runCheck(const command_arguments &arguments) -> int
{
    auto objectFiles = std::vector<std::string>();
    auto valid = true;
    for (const auto &path : arguments.positional) {
        if (isSettingsFile(path)) {
            valid = checkSettings(path) && valid;
        } else {
            objectFiles.push_back(path);
        }
    }
    valid = (objectFiles.empty() || checkObjects(objectFiles, arguments.has("whole"))) && valid;
    if (arguments.has("json")) {
        std::printf("{\"valid\":%s}\n", valid ? "true" : "false");
    } else if (valid) {
        std::printf("%zu file%s valid\n", arguments.positional.size(), arguments.positional.size() == 1 ? "" : "s");
    }
    return static_cast<int>(valid ? exit_code::success : exit_code::invalid);
}

auto selectObjects(const configuration &all, std::optional<object_kind> kind, const std::string &name)
    -> std::vector<configuration_object>
{
    auto selected = std::vector<configuration_object>();
    forEachKind(all, [&](object_kind visitedKind, const auto &objects) {
        for (const auto &[key, object] : objects) {
            if ((!kind || *kind == visitedKind) && (name.empty() || name == key)) {
                selected.emplace_back(object);
            }
        }
    });
    return selected;
}

auto printObjects(std::uint64_t sequence, const std::vector<configuration_object> &objects, bool asJson) -> void
{
    if (!asJson) {
        std::printf("# change %llu\n", static_cast<unsigned long long>(sequence));
        for (const auto &object : objects) {
            std::printf("\n%s", toToml(object).c_str());
        }
        return;
    }
    auto elements = json::array();
    for (const auto &object : objects) {
        auto element = toJson(object);
        element["object_kind"] = nameOf(kindOf(object));
        elements.push_back(std::move(element));
    }
    const auto body = json::object{ { "sequence", sequence }, { "objects", std::move(elements) } };
    std::printf("%s\n", json::serialize(body).c_str());
}

auto runGet(const command_arguments &arguments) -> int
{
    auto why = last_reason();
    const auto &positional = arguments.positional;
    const auto kind = positional.empty() ? std::nullopt : parseEnum<object_kind>(positional[0]);
    if (!positional.empty() && !kind) {
        why.fail(failure_kind::invalidInput, "read arguments", "", "there is no kind '" + positional[0] + "'");
        return reportFailure(why);
    }
    auto router = router_client(arguments);
    const auto all = router.readConfiguration(why);
    if (!all) {
        return reportFailure(why);
    }
    const auto name = positional.size() > 1 ? positional[1] : std::string();
    const auto selected = selectObjects(*all, kind, name);
    if (!name.empty() && selected.empty()) {
        why.fail(failure_kind::notFound, "get", "", "there is no " + positional[0] + " '" + name + "'");
        return reportFailure(why);
    }
    printObjects(all->sequence, selected, arguments.has("json"));
    return static_cast<int>(exit_code::success);
}

/// Prints JSON as indented `key: value` lines.
auto printTree(const json::value &value, const std::string &indent) -> void
{
    if (const auto *elements = value.if_array()) {
        for (const auto &element : *elements) {
            const auto scalar = !element.is_object() && !element.is_array();
            std::printf("%s-%s\n", indent.c_str(), scalar ? (" " + json::serialize(element)).c_str() : "");
            if (!scalar) {
                printTree(element, indent + "  ");
            }
        }
        return;
    }
    for (const auto &entry : value.get_object()) {
        const auto key = std::string(entry.key());
        const auto &held = entry.value();
        if (held.is_object() || held.is_array()) {
            std::printf("%s%s:\n", indent.c_str(), key.c_str());
            printTree(held, indent + "  ");
        } else {
            const auto text = held.is_string() ? json::value_to<std::string>(held) : json::serialize(held);
            std::printf("%s%s: %s\n", indent.c_str(), key.c_str(), text.c_str());
        }
    }
}

auto printTarget(const command_arguments &arguments, const std::string &target) -> int
{
    auto why = last_reason();
    auto router = router_client(arguments);
    const auto answer = router.get(target, why);
    if (!answer) {
        return reportFailure(why);
    }
    if (answer->status != 200) {
        return reportFailure(reasonOf(*answer));
    }
    if (arguments.has("json")) {
        std::printf("%s\n", json::serialize(answer->body).c_str());
    } else {
        printTree(json::value(answer->body), "");
    }
    return static_cast<int>(exit_code::success);
}

auto runStatus(const command_arguments &arguments) -> int
{
    return printTarget(arguments, "/v1/status");
}

auto runOrders(const command_arguments &arguments) -> int
{
    return printTarget(arguments, "/v1/orders");
}

} // namespace

auto makeCheckCommand() -> command
{
    return { .usage = { .name = "check",
                        .arguments = "FILE...",
                        .summary = "Checks settings files and files of configuration objects, without a router.",
                        .examples = "  marjoramloom check router.toml\n"
                                    "  marjoramloom check --whole accounts.toml services.toml profiles.toml\n",
                        .options = { { "whole", "", "The files are the whole configuration: check references, too" },
                                     { "json", "", "Print JSON" } },
                        .minArguments = 1,
                        .maxArguments = maxFiles },
             .run = runCheck };
}

auto makeGetCommand() -> command
{
    return { .usage = { .name = "get",
                        .arguments = "[KIND [NAME]]",
                        .summary = "Prints configuration objects as TOML that apply takes.",
                        .examples = "  marjoramloom get\n  marjoramloom get profile\n"
                                    "  marjoramloom get backend_server engine-3 --json\n",
                        .options = routerOptions(),
                        .minArguments = 0,
                        .maxArguments = 2 },
             .run = runGet };
}

auto makeStatusCommand() -> command
{
    return { .usage = { .name = "status",
                        .arguments = "",
                        .summary = "Shows the fleet as one router sees it: routers, active changes, backend servers.",
                        .examples = "  marjoramloom status\n  marjoramloom status --json\n",
                        .options = routerOptions() },
             .run = runStatus };
}

auto makeOrdersCommand() -> command
{
    return { .usage = { .name = "orders",
                        .arguments = "",
                        .summary = "Lists orders without a stored outcome. Reads all order records: use it sparingly.",
                        .examples = "  marjoramloom orders\n  marjoramloom orders --json\n",
                        .options = routerOptions() },
             .run = runOrders };
}

} // namespace marjoramloom
