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
constexpr auto REFUSAL_BODY_BYTES = std::size_t(64 * 1024);
/// An engine sends its end marker right after the last piece.
constexpr auto END_MARKER_LIMIT = duration(std::chrono::milliseconds(500));
constexpr auto REDIALS_WITHOUT_PROGRESS = 6U;

auto makeRequest(http::verb verb, std::string_view target, const std::string &host) -> http_connection::request
{
    auto request =
        http_connection::request(verb, boost::beast::string_view(target.data(), target.size()), HTTP_VERSION);
    request.set(http::field::host, host);
    return request;
}

/// Whether a stream can go on after an event with this verdict.
auto belongs(event_verdict verdict) -> bool
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

auto engine_attempt::maybeStarted() const -> bool
{
    return m_maybeStarted;
}

auto engine_attempt::refusedLeaving() const -> bool
{
    return m_refusedLeaving;
}

auto engine_attempt::needsCancel() const -> bool
{
    return m_maybeStarted && !m_checker.finished();
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
        ++m_redials;
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
    const auto connection = co_await open(false);
    if (!connection) {
        co_return read_outcome::refused;
    }
    auto request = makeRequest(http::verb::post, "/v1/chat/completions", m_address);
    request.set("X-Request-Id", m_attemptId);
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(m_body);
    request.prepare_payload();
    m_maybeStarted = true;
    if (!co_await connection->send(request, m_limits.redialAfter, m_reason)) {
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
    const auto connection = co_await open(true);
    if (!connection) {
        co_return read_outcome::refused;
    }
    auto request = makeRequest(http::verb::get, "/v1/streams/" + m_attemptId, m_address);
    if (const auto last = m_checker.lastEventId(); !last.empty()) {
        request.set("Last-Event-ID", last);
    }
    if (!co_await connection->send(request, m_limits.redialAfter, m_reason)) {
        co_return read_outcome::broken;
    }
    co_return co_await readAnswer(connection);
}

auto engine_attempt::open(bool fresh) -> asio::awaitable<std::shared_ptr<http_connection>>
{
    auto connection = fresh ? nullptr : m_connections.take(m_address, m_executor);
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
    if (!co_await connection->readHead(silenceLimit(), m_reason)) {
        co_return read_outcome::broken;
    }
    if (connection->status() != static_cast<unsigned>(http::status::ok)) {
        co_return co_await readRefusal(connection);
    }
    auto reader = sse_reader();
    while (true) {
        const auto part = co_await connection->readPart(silenceLimit(), m_reason);
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
            const auto verdict = co_await handOver(event);
            if (m_stopped || !belongs(verdict)) {
                reject(event, verdict);
                co_return m_checker.finished() ? read_outcome::finished : read_outcome::broken;
            }
        }
        if (m_checker.finished()) {
            co_await finishConnection(connection, reader);
            co_return read_outcome::finished;
        }
    }
}

auto engine_attempt::reject(const sse_event &event, event_verdict verdict) -> void
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
    co_await connection->readRest(REFUSAL_BODY_BYTES, m_limits.connect, ignored);
    m_connections.giveBack(connection);
    m_connection = nullptr;
    if (leaving && m_checker.accepted() == 0 && m_redials == 0) {
        m_refusedLeaving = true;
        m_maybeStarted = false;
        m_reason.fail(failure_kind::leaving, "send request", m_address, "leaving");
        co_return read_outcome::refused;
    }
    m_reason.fail(failure_kind::unavailable, "send request", m_address, "status " + std::to_string(status));
    co_return read_outcome::refused;
}

auto engine_attempt::handOver(const sse_event &event) -> asio::awaitable<event_verdict>
{
    auto checked = m_checker.check(event);
    if (checked.verdict != event_verdict::next && checked.verdict != event_verdict::finish) {
        co_return checked.verdict;
    }
    m_lastProgress = std::chrono::steady_clock::now();
    m_redials = 0;
    auto next = attempt_event();
    next.step = checked.verdict == event_verdict::finish ? attempt_step::finished : attempt_step::piece;
    next.text = std::move(checked.text);
    next.finishReason = std::move(checked.finishReason);
    next.usage = checked.usage;
    const auto verdict = checked.verdict;
    co_await emit(std::move(next));
    // Waiting for a slow caller is no silence of the engine.
    m_lastProgress = std::chrono::steady_clock::now();
    co_return verdict;
}

auto engine_attempt::finishConnection(std::shared_ptr<http_connection> connection, sse_reader &reader)
    -> asio::awaitable<void>
{
    auto ignored = last_reason();
    auto ended = false;
    while (!ended) {
        const auto part = co_await connection->readPart(END_MARKER_LIMIT, ignored);
        if (!part) {
            break;
        }
        ended = part->empty();
        const auto rest = reader.feed(*part);
        const auto ours =
            std::ranges::all_of(rest, [&](const sse_event &event) { return belongs(m_checker.check(event).verdict); });
        if (!ours) {
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

auto engine_attempt::silenceLimit() const -> duration
{
    const auto patience = m_limits.redialAfter * (1U << std::min(m_redials, REDIALS_WITHOUT_PROGRESS));
    const auto whole = m_checker.accepted() == 0 ? m_limits.firstEvent : m_limits.betweenEvents;
    const auto left = m_lastProgress + whole - std::chrono::steady_clock::now();
    return std::max(duration(std::chrono::milliseconds(1)), std::min<duration>(patience, left));
}

auto engine_attempt::mayResume() const -> bool
{
    const auto whole = m_checker.accepted() == 0 ? m_limits.firstEvent : m_limits.betweenEvents;
    const auto inTime = std::chrono::steady_clock::now() < m_lastProgress + whole;
    return !m_stopped && inTime && m_redials < REDIALS_WITHOUT_PROGRESS;
}

auto cancelAtEngine(connection_pool &connections, std::string address, std::string attemptId, duration limit)
    -> asio::awaitable<bool>
{
    auto ignored = last_reason();
    // A fresh connection: the attempt's own may be the one that went silent.
    const auto executor = co_await asio::this_coro::executor;
    const auto connection = std::make_shared<http_connection>(executor, address);
    if (!co_await connection->connect(limit, ignored)) {
        co_return false;
    }
    const auto request = makeRequest(http::verb::delete_, "/v1/streams/" + attemptId, address);
    if (!co_await connection->send(request, limit, ignored) || !co_await connection->readHead(limit, ignored)) {
        co_return false;
    }
    const auto rest = co_await connection->readRest(REFUSAL_BODY_BYTES, limit, ignored);
    if (rest) {
        connections.giveBack(connection);
    }
    co_return rest.has_value();
}

} // namespace marjoramloom
