#include "event_writer.h"

#include <boost/json.hpp>

namespace standins {

namespace json = boost::json;

namespace {

constexpr auto foreignId = "another-request";
constexpr auto foreignText = "text of another answer ";

auto usageOf(const generation &work) -> json::object
{
    auto usage = json::object();
    usage["prompt_tokens"] = work.promptTokens;
    usage["completion_tokens"] = work.produced;
    usage["cached_tokens"] = work.cachedTokens;
    return usage;
}

auto choiceOf(const char *field, json::object content, const json::value &finishReason) -> json::array
{
    auto choice = json::object();
    choice["index"] = 0;
    choice[field] = std::move(content);
    choice["finish_reason"] = finishReason;
    auto choices = json::array();
    choices.push_back(std::move(choice));
    return choices;
}

auto formatEvent(const std::string &id, std::size_t number, const std::string &data) -> std::string
{
    return "id: " + id + ":" + std::to_string(number) + "\ndata: " + data + "\n\n";
}

/// Event \p number of an answer, which carries the token of the same number. The event after the last token ends the
/// stream.
auto answerEvent(const generation &work, std::size_t number) -> std::string
{
    const auto &tokens = work.answer.tokens;
    if (number >= tokens.size()) {
        return formatEvent(work.id, number, "[DONE]");
    }
    const auto last = number + 1 == tokens.size();
    auto delta = json::object();
    delta["content"] = tokens[number];
    auto data = json::object();
    data["id"] = work.id;
    data["choices"] = choiceOf("delta", delta, last ? json::value(work.answer.finishReason) : json::value());
    if (last) {
        data["usage"] = usageOf(work);
    }
    return formatEvent(work.id, number, json::serialize(data));
}

/// An event that belongs to another request's answer.
auto foreignEvent(std::size_t number) -> std::string
{
    auto delta = json::object();
    delta["content"] = foreignText;
    auto data = json::object();
    data["id"] = foreignId;
    data["choices"] = choiceOf("delta", delta, json::value());
    return formatEvent(foreignId, number, json::serialize(data));
}

auto takesEffectAt(const std::optional<fault> &candidate, std::size_t number) -> bool
{
    return candidate && candidate->events == number;
}

} // namespace

auto stream_faults::takeFrom(fault_set &faults, const fault_subject &subject) -> stream_faults
{
    auto taken = stream_faults();
    taken.die = faults.take(fault_kind::die, subject);
    taken.freeze = faults.take(fault_kind::freezeStream, subject);
    taken.cross = faults.take(fault_kind::cross, subject);
    taken.repeat = faults.take(fault_kind::repeat, subject);
    taken.drop = faults.take(fault_kind::drop, subject);
    taken.reorder = faults.take(fault_kind::reorder, subject);
    return taken;
}

auto event_writer::sendEvent(http_exchange &exchange, const generation &work, std::size_t number,
                             const stream_faults &faults) -> void_awaitable
{
    if (takesEffectAt(faults.drop, number)) {
        co_return;
    }
    auto event = takesEffectAt(faults.cross, number) ? foreignEvent(number) : answerEvent(work, number);
    if (takesEffectAt(faults.reorder, number)) {
        event = answerEvent(work, number + 1) + event;
    }
    if (takesEffectAt(faults.repeat, number)) {
        event += event;
    }
    co_await exchange.writeChunk(event);
}

auto event_writer::stream(http_exchange &exchange, std::shared_ptr<generation> work, std::size_t first,
                          stream_faults faults) -> void_awaitable
{
    co_await exchange.startStream("text/event-stream");
    const auto tokens = work->answer.tokens.size();
    auto next = first;
    auto sent = std::size_t(0);
    while (next <= tokens) {
        if (takesEffectAt(faults.die, sent)) {
            work->cancelled = work->cancelled || faults.die->forget;
            exchange.close();
            co_return;
        }
        if (takesEffectAt(faults.freeze, sent)) {
            co_await exchange.stall();
        }
        const auto ready = next < work->produced || (next == tokens && work->produced == tokens);
        if (!ready && work->cancelled) {
            exchange.close();
            co_return;
        }
        if (!ready) {
            co_await work->waitForChange();
            continue;
        }
        const auto reordered = takesEffectAt(faults.reorder, next);
        co_await sendEvent(exchange, *work, next, faults);
        next += reordered ? 2 : 1;
        ++sent;
    }
    co_await exchange.finishStream();
}

auto event_writer::whole(http_exchange &exchange, std::shared_ptr<generation> work, stream_faults faults)
    -> void_awaitable
{
    while (!work->done()) {
        co_await work->waitForChange();
    }
    if (faults.freeze) {
        co_await exchange.stall();
    }
    if (faults.die || work->cancelled) {
        exchange.close();
        co_return;
    }
    auto message = json::object();
    message["role"] = "assistant";
    message["content"] = faults.cross ? std::string(foreignText) : work->answer.text();
    auto body = json::object();
    body["id"] = faults.cross ? std::string(foreignId) : work->id;
    body["choices"] = choiceOf("message", message, json::value(work->answer.finishReason));
    body["usage"] = usageOf(*work);
    auto answer = http_reply();
    answer.body = json::serialize(body);
    co_await exchange.reply(answer);
}

} // namespace standins
