#include "marjoramloom/call/engine_attempt.h"

#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto HTTP_VERSION = 11U;
constexpr auto MAX_REFUSAL_BODY_BYTES = std::size_t(64 * 1024);
/// Short, because an engine sends its end marker right after the last piece.
constexpr auto END_MARKER_TIMEOUT = duration(std::chrono::milliseconds(500));
constexpr auto MAX_RECONNECTS_WITHOUT_PROGRESS = 6U;

auto makeRequest(http::verb verb, std::string_view target, const std::string &host) -> http_connection::request
{
    auto request =
        http_connection::request(verb, boost::beast::string_view(target.data(), target.size()), HTTP_VERSION);
    request.set(http::field::host, host);
    return request;
}

/// Whether the stream can continue on its connection after an event with \p verdict.
auto keepsStreamValid(event_verdict verdict) -> bool
{
    return verdict != event_verdict::gap && verdict != event_verdict::crossed && verdict != event_verdict::malformed;
}

} // namespace

engine_attempt::engine_attempt(asio::any_io_executor executor, connection_pool &connections, engine_limits limits,
                               std::string address, std::string attemptId, std::string body)
    : m_executor(std::move(executor))
    , m_connections(connections)
    , m_limits(limits)
    , m_address(std::move(address))
    , m_attemptId(std::move(attemptId))
    , m_body(std::move(body))
    , m_checker(m_attemptId)
{
}

auto engine_attempt::start(std::size_t index, std::shared_ptr<attempt_channel> channel) -> void
{
    assert(!m_channel);
    m_index = index;
    m_channel = std::move(channel);
    m_lastProgress = std::chrono::steady_clock::now();
    asio::co_spawn(m_executor, run(shared_from_this()), asio::detached);
}

auto engine_attempt::stop() -> void
{
    m_stopped = true;
    if (m_connection) {
        m_connection->interrupt();
    }
}

auto engine_attempt::mayHaveStarted() const -> bool
{
    return m_mayHaveStarted;
}

auto engine_attempt::refusedAsLeaving() const -> bool
{
    return m_refusedAsLeaving;
}

auto engine_attempt::needsCancel() const -> bool
{
    return m_mayHaveStarted && !m_checker.finished();
}

auto engine_attempt::id() const -> const std::string &
{
    return m_attemptId;
}

auto engine_attempt::address() const -> const std::string &
{
    return m_address;
}

auto engine_attempt::run(std::shared_ptr<engine_attempt> /*self*/) -> asio::awaitable<void>
{
    auto outcome = co_await post();
    while (outcome == read_outcome::broken && mayResume()) {
        ++m_reconnects;
        outcome = co_await resume();
    }
    if (m_stopped || outcome == read_outcome::finished) {
        co_return;
    }
    auto event = attempt_event();
    event.step = attempt_step::failed;
    event.reason = m_reason;
    co_await emit(std::move(event));
}

auto engine_attempt::post() -> asio::awaitable<read_outcome>
{
    const auto connection = co_await openConnection(false);
    if (!connection) {
        co_return read_outcome::refused;
    }
    auto request = makeRequest(http::verb::post, "/v1/chat/completions", m_address);
    request.set("X-Request-Id", m_attemptId);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(m_body);
    request.prepare_payload();
    m_mayHaveStarted = true;
    if (!co_await connection->send(request, m_limits.reconnectAfter, m_reason)) {
        co_return read_outcome::broken;
    }
    co_return co_await readAnswer(connection);
}

auto engine_attempt::resume() -> asio::awaitable<read_outcome>
{
    log_line(log_level::info, "resume stream")
        .with("request", m_attemptId)
        .with("server", m_address)
        .with("after", m_checker.lastEventId())
        .with("reason", m_reason.text());
    const auto connection = co_await openConnection(true);
    if (!connection) {
        co_return read_outcome::refused;
    }
    auto request = makeRequest(http::verb::get, "/v1/streams/" + m_attemptId, m_address);
    if (const auto last = m_checker.lastEventId(); !last.empty()) {
        request.set("Last-Event-ID", last);
    }
    if (!co_await connection->send(request, m_limits.reconnectAfter, m_reason)) {
        co_return read_outcome::broken;
    }
    co_return co_await readAnswer(connection);
}

auto engine_attempt::openConnection(bool forceNew) -> asio::awaitable<std::shared_ptr<http_connection>>
{
    auto connection = forceNew ? nullptr : m_connections.take(m_address, m_executor);
    if (!connection) {
        connection = std::make_shared<http_connection>(m_executor, m_address);
        m_connection = connection;
        if (!co_await connection->connect(m_limits.connect, m_reason)) {
            m_connection = nullptr;
            co_return nullptr;
        }
    }
    m_connection = connection;
    if (m_stopped) {
        co_return nullptr;
    }
    co_return connection;
}

auto engine_attempt::readAnswer(std::shared_ptr<http_connection> connection) -> asio::awaitable<read_outcome>
{
    if (!co_await connection->readHead(nextReadTimeout(), m_reason)) {
        co_return read_outcome::broken;
    }
    if (connection->status() != static_cast<unsigned>(http::status::ok)) {
        co_return co_await readRefusal(connection);
    }
    auto reader = sse_reader();
    while (true) {
        const auto part = co_await connection->readPart(nextReadTimeout(), m_reason);
        if (!part) {
            co_return read_outcome::broken;
        }
        if (part->empty() || reader.overflowed()) {
            m_reason.fail(failure_kind::protocolViolation, "read event", m_address,
                          part->empty() ? "stream ended early" : "event over the size limit");
            connection->interrupt();
            co_return read_outcome::broken;
        }
        const auto events = reader.feed(*part);
        for (const auto &event : events) {
            const auto verdict = co_await forwardEvent(event);
            if (m_stopped || !keepsStreamValid(verdict)) {
                rejectEvent(event, verdict);
                co_return m_checker.finished() ? read_outcome::finished : read_outcome::broken;
            }
        }
        if (m_checker.finished()) {
            co_await drainConnection(connection, reader);
            co_return read_outcome::finished;
        }
    }
}

auto engine_attempt::rejectEvent(const sse_event &event, event_verdict verdict) -> void
{
    m_reason.fail(failure_kind::protocolViolation, "check event", m_address,
                  std::string(nameOf(verdict)) + " event " + event.id);
    m_connection->interrupt();
}

auto engine_attempt::readRefusal(std::shared_ptr<http_connection> connection) -> asio::awaitable<read_outcome>
{
    const auto status = connection->status();
    const auto leaving = connection->header("X-Leaving") == "true";
    auto ignored = last_reason();
    co_await connection->readRest(MAX_REFUSAL_BODY_BYTES, m_limits.connect, ignored);
    m_connections.giveBack(connection);
    m_connection = nullptr;
    if (leaving && m_checker.accepted() == 0 && m_reconnects == 0) {
        m_refusedAsLeaving = true;
        m_mayHaveStarted = false;
        m_reason.fail(failure_kind::leaving, "send request", m_address, "leaving");
        co_return read_outcome::refused;
    }
    m_reason.fail(failure_kind::unavailable, "send request", m_address, "status " + std::to_string(status));
    co_return read_outcome::refused;
}

auto engine_attempt::forwardEvent(const sse_event &event) -> asio::awaitable<event_verdict>
{
    auto checked = m_checker.check(event);
    if (checked.verdict != event_verdict::next && checked.verdict != event_verdict::finish) {
        co_return checked.verdict;
    }
    m_lastProgress = std::chrono::steady_clock::now();
    m_reconnects = 0;
    auto forwarded = attempt_event();
    forwarded.step = checked.verdict == event_verdict::finish ? attempt_step::finished : attempt_step::piece;
    forwarded.text = std::move(checked.text);
    forwarded.finishReason = std::move(checked.finishReason);
    forwarded.usage = checked.usage;
    const auto verdict = checked.verdict;
    co_await emit(std::move(forwarded));
    // The time spent waiting for a slow caller does not count as silence of the engine.
    m_lastProgress = std::chrono::steady_clock::now();
    co_return verdict;
}

auto engine_attempt::drainConnection(std::shared_ptr<http_connection> connection, sse_reader &reader)
    -> asio::awaitable<void>
{
    auto ignored = last_reason();
    auto bodyEnded = false;
    while (!bodyEnded) {
        const auto part = co_await connection->readPart(END_MARKER_TIMEOUT, ignored);
        if (!part) {
            break;
        }
        bodyEnded = part->empty();
        const auto events = reader.feed(*part);
        const auto allValid = std::ranges::all_of(
            events, [&](const sse_event &event) { return keepsStreamValid(m_checker.check(event).verdict); });
        if (!allValid) {
            connection->interrupt();
            break;
        }
    }
    m_connection = nullptr;
    m_connections.giveBack(std::move(connection));
}

auto engine_attempt::emit(attempt_event event) -> asio::awaitable<void>
{
    if (m_stopped) {
        co_return;
    }
    event.attempt = m_index;
    auto closed = boost::system::error_code();
    co_await m_channel->async_send({}, std::move(event), asio::redirect_error(asio::use_awaitable, closed));
    m_stopped = m_stopped || closed;
}

auto engine_attempt::nextReadTimeout() const -> duration
{
    const auto reconnectTimeout =
        m_limits.reconnectAfter * (1U << std::min(m_reconnects, MAX_RECONNECTS_WITHOUT_PROGRESS));
    const auto silenceLimit = m_checker.accepted() == 0 ? m_limits.firstEvent : m_limits.betweenEvents;
    const auto remaining = m_lastProgress + silenceLimit - std::chrono::steady_clock::now();
    return std::max(duration(std::chrono::milliseconds(1)), std::min<duration>(reconnectTimeout, remaining));
}

auto engine_attempt::mayResume() const -> bool
{
    const auto silenceLimit = m_checker.accepted() == 0 ? m_limits.firstEvent : m_limits.betweenEvents;
    const auto withinLimit = std::chrono::steady_clock::now() < m_lastProgress + silenceLimit;
    return !m_stopped && withinLimit && m_reconnects < MAX_RECONNECTS_WITHOUT_PROGRESS;
}

auto cancelAtEngine(connection_pool &connections, std::string address, std::string attemptId, duration limit)
    -> asio::awaitable<bool>
{
    auto ignored = last_reason();
    // Uses a new connection, because the attempt's connection may be the one that does not respond.
    const auto executor = co_await asio::this_coro::executor;
    const auto connection = std::make_shared<http_connection>(executor, address);
    if (!co_await connection->connect(limit, ignored)) {
        co_return false;
    }
    const auto request = makeRequest(http::verb::delete_, "/v1/streams/" + attemptId, address);
    if (!co_await connection->send(request, limit, ignored) || !co_await connection->readHead(limit, ignored)) {
        co_return false;
    }
    const auto rest = co_await connection->readRest(MAX_REFUSAL_BODY_BYTES, limit, ignored);
    if (rest) {
        connections.giveBack(connection);
    }
    co_return rest.has_value();
}

} // namespace marjoramloom
