#include "cli/change_plan.h"

#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/core/hash.h"

#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <set>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto idBytes = std::size_t(12);

auto authorOf(const command_arguments &arguments) -> std::string
{
    const auto *user = std::getenv("USER");
    return arguments.value("author", user == nullptr || *user == '\0' ? "operator" : user);
}

auto titleOf(const configuration_operation &operation) -> std::string
{
    return std::string(nameOf(operation.kind)) + "/" + operation.name;
}

auto describePut(const std::optional<configuration_object> &before, const configuration_operation &operation)
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{ (before ? "~ " : "+ ") + titleOf(operation) };
    const auto old = before ? toJson(*before) : json::object();
    for (const auto &entry : toJson(operation.object)) {
        const auto *was = old.if_contains(entry.key());
        if (entry.key() == "name" || (was != nullptr && *was == entry.value())) {
            continue;
        }
        const auto from = was == nullptr ? std::string() : json::serialize(*was) + " -> ";
        lines.push_back("    " + std::string(entry.key()) + ": " + from + json::serialize(entry.value()));
    }
    return lines;
}

auto printAccepted(const configuration &before, const std::vector<configuration_operation> &operations,
                   std::uint64_t sequence, bool asJson) -> void
{
    if (asJson) {
        std::printf("{\"sequence\":%llu,\"operations\":%zu}\n", static_cast<unsigned long long>(sequence),
                    operations.size());
        return;
    }
    for (const auto &line : describe(before, operations)) {
        std::printf("%s\n", line.c_str());
    }
    std::printf("accepted as change %llu\n", static_cast<unsigned long long>(sequence));
}

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

auto printProblems(const json::array &rows, const std::vector<placed_object> &objects) -> void
{
    auto problems = configuration_problems();
    for (const auto &row : rows) {
        if (row.is_object()) {
            const auto &body = row.get_object();
            problems.push_back({ {}, 0, textAt(body, "object"), textAt(body, "key"), textAt(body, "text") });
        }
    }
    placeProblems(objects, problems);
    for (const auto &problem : problems) {
        std::fprintf(stderr, "%s\n", problem.message().c_str());
    }
}

auto printOthers(const json::array &rows) -> void
{
    for (const auto &row : rows) {
        if (!row.is_object()) {
            continue;
        }
        const auto &body = row.get_object();
        auto objects = std::string();
        const auto *listed = body.if_contains("objects");
        for (const auto &object : listed != nullptr && listed->is_array() ? listed->get_array() : json::array()) {
            objects += ", " + (object.is_string() ? json::value_to<std::string>(object) : std::string());
        }
        const auto sequence = body.contains("sequence") ? json::serialize(body.at("sequence")) : "?";
        std::fprintf(stderr, "change %s by %s%s\n", sequence.c_str(), textAt(body, "author").c_str(), objects.c_str());
    }
}

auto reportRefusal(const router_answer &answer, const std::vector<placed_object> &objects) -> int
{
    const auto *problems = answer.body.if_contains("problems");
    if (problems != nullptr && problems->is_array()) {
        printProblems(problems->get_array(), objects);
    }
    const auto *others = answer.body.if_contains("changes");
    if (others != nullptr && others->is_array()) {
        printOthers(others->get_array());
    }
    return reportFailure(reasonOf(answer));
}

} // namespace

auto loadFiles(const std::vector<std::string> &paths) -> std::optional<std::vector<placed_object>>
{
    auto problems = configuration_problems();
    auto all = std::vector<placed_object>();
    auto seen = std::map<std::pair<object_kind, std::string>, std::string>();
    for (const auto &path : paths) {
        for (auto &placed : loadObjects(path, problems)) {
            const auto key = std::pair(kindOf(placed.object), nameOf(placed.object));
            const auto title = std::string(nameOf(key.first)) + "/" + key.second;
            const auto place = placed.file + ":" + std::to_string(placed.line);
            const auto [entry, fresh] = seen.emplace(key, place);
            if (!fresh) {
                problems.push_back({ placed.file, placed.line, title, {}, "is already declared at " + entry->second });
            }
            all.push_back(std::move(placed));
        }
    }
    for (const auto &problem : problems) {
        std::fprintf(stderr, "%s\n", problem.message().c_str());
    }
    return problems.empty() ? std::optional(std::move(all)) : std::nullopt;
}

auto findObject(const configuration &all, object_kind kind, const std::string &name)
    -> std::optional<configuration_object>
{
    auto result = std::optional<configuration_object>();
    forEachKind(all, [&](object_kind at, const auto &objects) {
        const auto found = objects.find(name);
        if (at == kind && found != objects.end()) {
            result = configuration_object(found->second);
        }
    });
    return result;
}

auto planPuts(const configuration &before, const std::vector<placed_object> &objects)
    -> std::vector<configuration_operation>
{
    auto operations = std::vector<configuration_operation>();
    for (const auto &placed : objects) {
        const auto kind = kindOf(placed.object);
        const auto &name = nameOf(placed.object);
        const auto standing = findObject(before, kind, name);
        if (!standing || toJson(*standing) != toJson(placed.object)) {
            operations.push_back({ operation_kind::put, kind, name, placed.object });
        }
    }
    return operations;
}

auto describe(const configuration &before, const std::vector<configuration_operation> &operations)
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (const auto &operation : operations) {
        if (operation.operation == operation_kind::remove) {
            lines.push_back("- " + titleOf(operation));
            continue;
        }
        const auto standing = findObject(before, operation.kind, operation.name);
        const auto more = describePut(standing, operation);
        lines.insert(lines.end(), more.begin(), more.end());
    }
    return lines;
}

auto proposeAndReport(router_client &router, const configuration &before,
                      std::vector<configuration_operation> operations, const std::vector<placed_object> &objects,
                      const command_arguments &arguments) -> int
{
    auto why = last_reason();
    const auto proposal = proposed_change{ .id = randomHex(idBytes),
                                           .author = authorOf(arguments),
                                           .baseSequence = before.sequence,
                                           .operations = operations };
    const auto answer = router.propose(proposal, why);
    if (!answer) {
        return reportFailure(why);
    }
    if (answer->status != 200) {
        return reportRefusal(*answer, objects);
    }
    const auto *sequence = answer->body.if_contains("sequence");
    const auto number = sequence != nullptr && sequence->is_number() ? sequence->to_number<std::uint64_t>() : 0;
    printAccepted(before, operations, number, arguments.has("json"));
    return static_cast<int>(exit_code::success);
}

auto changeOptions() -> std::vector<command_option>
{
    auto options = routerOptions();
    options.push_back({ "author", "NAME", "Who makes the change (else USER)" });
    return options;
}

} // namespace marjoramloom
