#include "marjoramloom/contract/operator_api.h"

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto maxIdLength = std::size_t(64);

auto toJson(const configuration_problems &problems) -> json::array
{
    auto elements = json::array();
    for (const auto &problem : problems) {
        elements.push_back(
            json::object{ { "object", problem.object }, { "key", problem.key }, { "text", problem.text } });
    }
    return elements;
}

auto textAt(const json::object &object, std::string_view key) -> std::string
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? json::value_to<std::string>(*value) : std::string();
}

auto readOperations(const json::value *elements, proposed_change &proposal, configuration_problems &problems) -> void
{
    if (elements == nullptr || !elements->is_array() || elements->get_array().size() > maxOperationsPerChange) {
        problems.push_back({ {},
                             0,
                             {},
                             "operations",
                             "a list of 1 to " + std::to_string(maxOperationsPerChange) + " operations is expected" });
        return;
    }
    for (const auto &element : elements->get_array()) {
        if (!element.is_object()) {
            problems.push_back({ {}, 0, {}, "operations", "an object is expected" });
            continue;
        }
        auto operation = operationFromJson(element.get_object(), unknown_keys::refused, problems);
        if (operation) {
            proposal.operations.push_back(std::move(*operation));
        }
    }
}

auto statusOf(commit_result result) -> unsigned
{
    switch (result) {
    case commit_result::accepted:
        return 200;
    case commit_result::conflict:
        return 409;
    case commit_result::invalid:
        return 422;
    case commit_result::refused:
        return 503;
    case commit_result::unknown:
        return 504;
    }
    return 500;
}

auto errorBody(const last_reason &why) -> json::object
{
    return json::object{
        { "kind", nameOf(why.kind) }, { "step", why.step }, { "peer", why.peer }, { "detail", why.detail }
    };
}

} // namespace

auto parseProposal(std::string_view text, configuration_problems &problems) -> std::optional<proposed_change>
{
    const auto before = problems.size();
    auto error = boost::system::error_code();
    const auto root = json::parse({ text.data(), text.size() }, error);
    if (error || !root.is_object()) {
        problems.push_back({ {}, 0, {}, {}, "the body is not a JSON object" });
        return std::nullopt;
    }
    const auto &body = root.get_object();
    auto proposal = proposed_change();
    proposal.id = textAt(body, "id");
    proposal.author = textAt(body, "author");
    if (proposal.id.empty() || proposal.id.size() > maxIdLength) {
        problems.push_back({ {}, 0, {}, "id", "a text of 1 to 64 characters is expected" });
    }
    if (proposal.author.empty() || proposal.author.size() > maxIdLength) {
        problems.push_back({ {}, 0, {}, "author", "a text of 1 to 64 characters is expected" });
    }
    const auto *base = body.if_contains("base_sequence");
    proposal.baseSequence = base != nullptr && base->is_number() ? base->to_number<std::uint64_t>(error) : 0;
    if (base == nullptr || !base->is_number() || error) {
        problems.push_back({ {}, 0, {}, "base_sequence", "a whole number is expected" });
    }
    readOperations(body.if_contains("operations"), proposal, problems);
    return problems.size() == before ? std::optional(std::move(proposal)) : std::nullopt;
}

auto toJson(const proposed_change &proposal) -> json::object
{
    auto operations = json::array();
    for (const auto &operation : proposal.operations) {
        operations.push_back(toJson(operation));
    }
    return json::object{ { "id", proposal.id },
                         { "author", proposal.author },
                         { "base_sequence", proposal.baseSequence },
                         { "operations", std::move(operations) } };
}

auto toJson(const std::vector<change_summary> &summaries) -> json::array
{
    auto elements = json::array();
    for (const auto &summary : summaries) {
        elements.push_back(json::object{ { "sequence", summary.sequence },
                                         { "id", summary.id },
                                         { "author", summary.author },
                                         { "unix_ms", summary.unixMs },
                                         { "objects", json::value_from(summary.objects) } });
    }
    return elements;
}

auto toResponse(const commit_outcome &outcome, const last_reason &why) -> operator_response
{
    auto body = json::object{ { "sequence", outcome.sequence } };
    if (outcome.result != commit_result::accepted) {
        body["error"] = errorBody(why);
    }
    if (outcome.result == commit_result::conflict) {
        body["changes"] = toJson(outcome.concurrentChanges);
    }
    if (outcome.result == commit_result::invalid) {
        body["problems"] = toJson(outcome.problems);
    }
    return { statusOf(outcome.result), std::move(body) };
}

auto toResponse(const configuration_problems &problems) -> operator_response
{
    auto why = last_reason();
    why.fail(failure_kind::invalidInput, "read change", "operator", "the change is malformed");
    auto body = json::object{ { "error", errorBody(why) }, { "problems", toJson(problems) } };
    return { 422, std::move(body) };
}

auto errorResponse(unsigned status, const last_reason &why) -> operator_response
{
    return { status, json::object{ { "error", errorBody(why) } } };
}

} // namespace marjoramloom
