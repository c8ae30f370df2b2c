#include "routed_standin.h"

#include "common_faults.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace standins {

namespace {

/// Number of events in each stream.
constexpr auto streamLength = 12;
/// Version of the weights that requests may expect (X-Expect-Version).
constexpr auto weightVersion = "1";

} // namespace

routed_standin::routed_standin(standin_context &shared, routed_options options)
    : m_shared(shared)
    , m_options(std::move(options))
    , m_slotFreeAt(m_options.slots)
{
}

auto routed_standin::handle(http_exchange &exchange) -> void_awaitable
{
    const auto id = exchange.header("X-Attempt-Id");
    const auto expectedVersion = exchange.header("X-Expect-Version");
    if (exchange.header("X-Expect-Instance") != m_options.name
        || (!expectedVersion.empty() && expectedVersion != weightVersion)) {
        auto answer = notExecutedReply(exchange, http::status::misdirected_request);
        answer.headers.emplace_back("X-Instance-Id", m_options.name);
        co_await exchange.reply(answer);
        co_return;
    }
    if (const auto refusal = m_shared.faults.take(fault_kind::refuse, exchange.subject(id))) {
        recordExecution(exchange, "refused");
        auto answer = notExecutedReply(exchange, http::status::service_unavailable);
        if (!refusal->value.empty()) {
            answer.headers.emplace_back("Retry-After", refusal->value);
        }
        co_await exchange.reply(std::move(answer));
        co_return;
    }
    if (m_shared.faults.take(fault_kind::fail, exchange.subject(id))) {
        recordExecution(exchange, "started");
        auto answer = http_reply();
        answer.status = http::status::internal_server_error;
        answer.headers = answerHeaders(exchange);
        co_await exchange.reply(std::move(answer));
        co_return;
    }
    if (m_options.slots > 0 && m_calls >= m_options.slots + m_options.queueLength) {
        recordExecution(exchange, "refused");
        const auto answer = notExecutedReply(exchange, http::status::service_unavailable);
        co_await exchange.reply(answer);
        co_return;
    }
    recordExecution(exchange, "started");
    if (exchange.path().ends_with("stream")) {
        co_await answerWithStream(exchange);
    } else {
        co_await answerCall(exchange);
    }
}

auto routed_standin::answerCall(http_exchange &exchange) -> void_awaitable
{
    ++m_calls;
    const auto callMs = m_options.slots > 0 ? reserveSlot() : m_options.callMs;
    if (callMs > 0) {
        co_await sleepFor(callMs);
    }
    --m_calls;
    const auto execute = std::function<http_reply()>([this, &exchange] {
        recordExecution(exchange, "finished");
        auto body = boost::json::object();
        body["served_by"] = m_options.name;
        body["method"] = exchange.method();
        body["path"] = exchange.path();
        body["body_hash"] = std::to_string(marjoramloom::hash64(exchange.body()));
        body["key"] = exchange.header("Authorization");
        body["account"] = exchange.header("X-Tenant-Id");
        body["hold"] = exchange.header("X-Cache-Hold");
        body["custom"] = exchange.header("X-Custom");
        body["time_left"] = exchange.header("X-Deadline-Ms");
        auto answer = http_reply();
        answer.body = boost::json::serialize(body);
        answer.headers = answerHeaders(exchange);
        return answer;
    });
    co_await executeAndReply(exchange, m_shared, exchange.header("X-Attempt-Id"), execute);
}

/// Occupies the slot that becomes free first. Returns the time in milliseconds until the call has finished there.
auto routed_standin::reserveSlot() -> std::int64_t
{
    const auto now = std::chrono::steady_clock::now();
    const auto slot = std::min_element(m_slotFreeAt.begin(), m_slotFreeAt.end());
    *slot = std::max(*slot, now) + std::chrono::milliseconds(m_options.callMs);
    return std::chrono::ceil<std::chrono::milliseconds>(*slot - now).count();
}

auto routed_standin::answerWithStream(http_exchange &exchange) -> void_awaitable
{
    const auto die = m_shared.faults.take(fault_kind::die, exchange.subject(exchange.header("X-Attempt-Id")));
    const auto after = exchange.header("Last-Event-Id");
    const auto first = after.empty() ? 1 : std::atoi(after.c_str()) + 1;
    try {
        const auto headers = answerHeaders(exchange);
        co_await exchange.startStream("text/event-stream", headers);
        auto sent = std::uint32_t(0);
        const auto crashesBefore = m_crashes;
        for (auto number = first; number <= streamLength; ++number) {
            co_await sleepFor(m_options.eventMs);
            if (m_crashes != crashesBefore) {
                recordExecution(exchange, "crashed");
                exchange.close();
                co_return;
            }
            const auto event = "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
            if (die && sent++ == die->events) {
                const auto half = event.substr(0, event.size() / 2);
                co_await exchange.writeChunk(half);
                m_crashes += die->crash ? 1 : 0;
                exchange.close();
                co_return;
            }
            co_await exchange.writeChunk(event);
        }
        co_await exchange.finishStream();
        recordExecution(exchange, "finished");
    } catch (const boost::system::system_error &) {
        recordExecution(exchange, "cancelled");
        exchange.close();
    }
}

auto routed_standin::answerHeaders(const http_exchange &exchange) -> header_list
{
    auto headers = header_list{ { "X-Attempt-Id", exchange.header("X-Attempt-Id") },
                                { "X-Response-Seal", "seal-" + m_options.name } };
    if (const auto leaving = m_shared.faults.take(fault_kind::leaving, exchange.subject(headers.front().second))) {
        headers.emplace_back("Server-Leaving", leaving->value.empty() ? "1" : leaving->value);
    }
    return headers;
}

/// An answer that states that the request was not executed.
auto routed_standin::notExecutedReply(const http_exchange &exchange, http::status status) -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    answer.headers = answerHeaders(exchange);
    answer.headers.emplace_back("X-Not-Executed", "1");
    return answer;
}

auto routed_standin::recordExecution(const http_exchange &exchange, std::string state) -> void
{
    auto entry = exchange.entry();
    entry.requestId = exchange.header("X-Attempt-Id");
    entry.account = exchange.header("X-Tenant-Id");
    entry.state = std::move(state);
    m_shared.record.append(entry);
}

auto routed_standin::control(http_exchange &, const boost::json::value &) -> http_reply
{
    auto answer = http_reply();
    answer.status = http::status::not_found;
    return answer;
}

} // namespace standins
