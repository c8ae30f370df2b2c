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

auto qualifiedNameOf(const configuration_operation &operation) -> std::string
{
    return std::string(nameOf(operation.kind)) + "/" + operation.name;
}

auto describePut(const std::optional<configuration_object> &before, const configuration_operation &operation)
    -> std::vector<std::string>
{
    auto lines = std::vector<std::string>{ (before ? "~ " : "+ ") + qualifiedNameOf(operation) };
    const auto oldFields = before ? toJson(*before) : json::object();
    for (const auto &entry : toJson(operation.object)) {
        const auto *oldValue = oldFields.if_contains(entry.key());
        if (entry.key() == "name" || (oldValue != nullptr && *oldValue == entry.value())) {
            continue;
        }
        const auto prefix = oldValue == nullptr ? std::string() : json::serialize(*oldValue) + " -> ";
        lines.push_back("    " + std::string(entry.key()) + ": " + prefix + json::serialize(entry.value()));
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

auto printProblems(const json::array &elements, const std::vector<located_object> &objects) -> void
{
    auto problems = configuration_problems();
    for (const auto &element : elements) {
        if (element.is_object()) {
            const auto &body = element.get_object();
            problems.push_back({ {}, 0, textAt(body, "object"), textAt(body, "key"), textAt(body, "text") });
        }
    }
    locateProblems(objects, problems);
    for (const auto &problem : problems) {
        std::fprintf(stderr, "%s\n", problem.message().c_str());
    }
}

auto printConcurrentChanges(const json::array &elements) -> void
{
    for (const auto &element : elements) {
        if (!element.is_object()) {
            continue;
        }
        const auto &body = element.get_object();
        auto objects = std::string();
        const auto *listed = body.if_contains("objects");
        for (const auto &object : listed != nullptr && listed->is_array() ? listed->get_array() : json::array()) {
            objects += ", " + (object.is_string() ? json::value_to<std::string>(object) : std::string());
        }
        const auto sequence = body.contains("sequence") ? json::serialize(body.at("sequence")) : "?";
        std::fprintf(stderr, "change %s by %s%s\n", sequence.c_str(), textAt(body, "author").c_str(), objects.c_str());
    }
}

auto reportRejection(const router_answer &answer, const std::vector<located_object> &objects) -> int
{
    const auto *problems = answer.body.if_contains("problems");
    if (problems != nullptr && problems->is_array()) {
        printProblems(problems->get_array(), objects);
    }
    const auto *concurrentChanges = answer.body.if_contains("changes");
    if (concurrentChanges != nullptr && concurrentChanges->is_array()) {
        printConcurrentChanges(concurrentChanges->get_array());
    }
    return reportFailure(reasonOf(answer));
}

} // namespace

auto loadFiles(const std::vector<std::string> &paths) -> std::optional<std::vector<located_object>>
{
    auto problems = configuration_problems();
    auto all = std::vector<located_object>();
    auto firstLocations = std::map<std::pair<object_kind, std::string>, std::string>();
    for (const auto &path : paths) {
        for (auto &located : loadObjects(path, problems)) {
            const auto key = std::pair(kindOf(located.object), nameOf(located.object));
            const auto qualifiedName = std::string(nameOf(key.first)) + "/" + key.second;
            const auto location = located.file + ":" + std::to_string(located.line);
            const auto [entry, inserted] = firstLocations.emplace(key, location);
            if (!inserted) {
                problems.push_back(
                    { located.file, located.line, qualifiedName, {}, "is already declared at " + entry->second });
            }
            all.push_back(std::move(located));
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
    forEachKind(all, [&](object_kind visitedKind, const auto &objects) {
        const auto match = objects.find(name);
        if (visitedKind == kind && match != objects.end()) {
            result = configuration_object(match->second);
        }
    });
    return result;
}

auto planPuts(const configuration &before, const std::vector<located_object> &objects)
    -> std::vector<configuration_operation>
{
    auto operations = std::vector<configuration_operation>();
    for (const auto &located : objects) {
        const auto kind = kindOf(located.object);
        const auto &name = nameOf(located.object);
        const auto existing = findObject(before, kind, name);
        if (!existing || toJson(*existing) != toJson(located.object)) {
            operations.push_back({ operation_kind::put, kind, name, located.object });
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
            lines.push_back("- " + qualifiedNameOf(operation));
            continue;
        }
        const auto existing = findObject(before, operation.kind, operation.name);
        const auto putLines = describePut(existing, operation);
        lines.insert(lines.end(), putLines.begin(), putLines.end());
    }
    return lines;
}

auto proposeAndReport(router_client &router, const configuration &before,
                      std::vector<configuration_operation> operations, const std::vector<located_object> &objects,
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
        return reportRejection(*answer, objects);
    }
    const auto *sequence = answer->body.if_contains("sequence");
    const auto number = sequence != nullptr && sequence->is_number() ? sequence->to_number<std::uint64_t>() : 0;
    printAccepted(before, operations, number, arguments.has("json"));
    return static_cast<int>(exit_code::success);
}

auto changeOptions() -> std::vector<command_option>
{
    auto options = routerOptions();
    options.push_back({ "author", "NAME", "Author of the change (default: USER)" });
    return options;
}

} // namespace marjoramloom
