#include "marjoramloom/call/event_checker.h"

#include <boost/json.hpp>
#include <cassert>
#include <charconv>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto END_MARKER = std::string_view("[DONE]");

/// Parses the sequence number of an event id `REQUEST_ID:SEQUENCE`. Returns nothing if the id is malformed or belongs
/// to another request.
auto sequenceOf(std::string_view id, std::string_view requestId) -> std::optional<std::uint64_t>
{
    if (!id.starts_with(requestId) || id.size() <= requestId.size() || id[requestId.size()] != ':') {
        return std::nullopt;
    }
    id.remove_prefix(requestId.size() + 1);
    auto sequence = std::uint64_t();
    const auto parsed = std::from_chars(id.data(), id.data() + id.size(), sequence);
    if (parsed.ec != std::errc() || parsed.ptr != id.data() + id.size()) {
        return std::nullopt;
    }
    return sequence;
}

auto numberAt(const json::object &object, std::string_view key) -> std::uint64_t
{
    const auto *value = object.if_contains(key);
    auto error = boost::system::error_code();
    const auto number = value ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

} // namespace

event_checker::event_checker(std::string requestId)
    : m_requestId(std::move(requestId))
{
    assert(!m_requestId.empty());
}

auto event_checker::check(const sse_event &event) -> checked_event
{
    auto result = checked_event();
    const auto sequence = sequenceOf(event.id, m_requestId);
    if (!sequence) {
        result.verdict = event_verdict::crossed;
        return result;
    }
    if (*sequence != m_nextSequence) {
        result.verdict = *sequence < m_nextSequence ? event_verdict::repeated : event_verdict::gap;
        return result;
    }
    result.verdict = parseBody(event.data, result);
    const auto accepted = result.verdict == event_verdict::next || result.verdict == event_verdict::finish
        || result.verdict == event_verdict::done;
    if (accepted) {
        ++m_nextSequence;
        m_finished = m_finished || result.verdict == event_verdict::finish;
    }
    return result;
}

auto event_checker::lastEventId() const -> std::string
{
    return m_nextSequence == 0 ? std::string() : m_requestId + ':' + std::to_string(m_nextSequence - 1);
}

auto event_checker::accepted() const -> std::uint64_t
{
    return m_nextSequence;
}

auto event_checker::finished() const -> bool
{
    return m_finished;
}

auto event_checker::parseBody(const std::string &data, checked_event &result) const -> event_verdict
{
    if (data == END_MARKER) {
        return m_finished ? event_verdict::done : event_verdict::malformed;
    }
    auto error = boost::system::error_code();
    const auto body = json::parse(data, error);
    if (error || !body.is_object() || m_finished) {
        return event_verdict::malformed;
    }
    const auto *id = body.get_object().if_contains("id");
    if (!id || !id->is_string() || std::string_view(id->get_string()) != m_requestId) {
        return event_verdict::crossed;
    }
    const auto *content = body.find_pointer("/choices/0/delta/content", error);
    if (content && content->is_string()) {
        result.text = content->get_string();
    }
    const auto *usage = body.find_pointer("/usage", error);
    if (usage && usage->is_object()) {
        const auto &counts = usage->get_object();
        result.usage = token_usage{ numberAt(counts, "prompt_tokens"), numberAt(counts, "cached_tokens"),
                                    numberAt(counts, "completion_tokens") };
    }
    const auto *reason = body.find_pointer("/choices/0/finish_reason", error);
    if (reason && reason->is_string()) {
        result.finishReason = reason->get_string();
        return event_verdict::finish;
    }
    return event_verdict::next;
}

} // namespace marjoramloom
