#include "marjoramloom/router/http_exchange.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json.hpp>
#include <cassert>
#include <cerrno>
#include <cstdio>
#include <sys/socket.h>
#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Time between two checks of a connection on which a pipelined request is unread.
constexpr auto pipelinedPollPeriod = std::chrono::seconds(1);

constexpr std::string_view bearerPrefix = "Bearer ";

/// State of the connection of a caller whose request is being processed.
enum class caller_state {
    waiting,
    pipelining, ///< The caller already sent another request.
    disconnected,
};

/// Checks the connection without consuming bytes. A readiness event alone does not show that the caller closed the
/// connection: it may be for bytes that another thread has read since.
auto probeCaller(asio::ip::tcp::socket &socket) -> caller_state
{
    auto byte = char();
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return caller_state::pipelining;
    }
    const auto nothingYet = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return nothingYet ? caller_state::waiting : caller_state::disconnected;
}

/// Formats the status line and fields of \p head, without the empty line that ends them.
auto formatHead(const http::response_header<> &head) -> std::string
{
    const auto reason = head.reason();
    auto text = std::string("HTTP/1.1 ") + std::to_string(head.result_int()) + " ";
    text.append(reason.data(), reason.size()).append("\r\n");
    for (const auto &field : head) {
        text.append(field.name_string().data(), field.name_string().size()).append(": ");
        text.append(field.value().data(), field.value().size()).append("\r\n");
    }
    return text;
}

auto formatChunk(std::string_view text) -> std::string
{
    auto size = std::array<char, 24>{};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    auto chunk = std::string(size.data(), static_cast<std::size_t>(length));
    return chunk.append(text).append("\r\n");
}

} // namespace

http_exchange::http_exchange(boost::beast::tcp_stream &stream, connection_memory &memory, request_type request,
                             std::string peer, duration writeTimeout, long_fields longFields)
    : m_stream(stream)
    , m_memory(memory)
    , m_request(std::move(request))
    , m_longFields(std::move(longFields))
    , m_peer(std::move(peer))
    , m_writeTimeout(writeTimeout)
    , m_reusable(m_request.keep_alive())
{
}

http_exchange::~http_exchange()
{
    if (m_output) {
        m_output->detach();
    }
}

auto http_exchange::request() const -> const request_type &
{
    return m_request;
}

auto http_exchange::longFields() const -> const long_fields &
{
    return m_longFields;
}

auto http_exchange::target() const -> std::string_view
{
    const auto target = m_request.target();
    return { target.data(), target.size() };
}

auto http_exchange::header(std::string_view name) const -> std::string_view
{
    const auto found = m_request.find(boost::beast::string_view(name.data(), name.size()));
    if (found == m_request.end()) {
        return {};
    }
    return { found->value().data(), found->value().size() };
}

auto http_exchange::peer() const -> const std::string &
{
    return m_peer;
}

auto http_exchange::bearerToken() const -> std::string_view
{
    const auto value = header("Authorization");
    return value.starts_with(bearerPrefix) ? value.substr(bearerPrefix.size()) : std::string_view();
}

auto http_exchange::memory() -> connection_memory &
{
    return m_memory;
}

auto http_exchange::closeAfterAnswer() -> void
{
    m_reusable = false;
}

auto http_exchange::reply(http_reply answer) -> asio::awaitable<bool>
{
    assert(!m_answered);
    m_answered = true;
    auto response = http::response<http::string_body>(http::int_to_status(answer.status), m_request.version());
    response.set(http::field::content_type, answer.contentType);
    for (const auto &[name, value] : answer.headers) {
        response.set(name, value);
    }
    response.keep_alive(m_reusable);
    response.body() = std::move(answer.body);
    response.prepare_payload();
    auto error = boost::system::error_code();
    m_stream.expires_after(m_writeTimeout);
    co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, error));
    m_reusable = m_reusable && !error;
    co_return !error;
}

auto http_exchange::startEvents(std::vector<std::pair<std::string, std::string>> headers) -> asio::awaitable<bool>
{
    assert(!m_answered);
    m_answered = true;
    auto head = http::response<http::empty_body>(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.set(http::field::cache_control, "no-store");
    for (const auto &[name, value] : headers) {
        head.set(name, value);
    }
    head.keep_alive(m_reusable);
    head.chunked(true);
    auto serializer = http::response_serializer<http::empty_body>(head);
    auto error = boost::system::error_code();
    m_stream.expires_after(m_writeTimeout);
    co_await http::async_write_header(m_stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    m_reusable = m_reusable && !error;
    co_return !error;
}

auto http_exchange::writeEvent(std::string text) -> asio::awaitable<bool>
{
    assert(m_answered);
    co_return co_await write(formatChunk(text));
}

auto http_exchange::finishEvents() -> asio::awaitable<bool>
{
    assert(m_answered);
    co_return co_await write("0\r\n\r\n");
}

auto http_exchange::abortEvents() -> void
{
    m_reusable = false;
    auto error = boost::system::error_code();
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, error);
}

auto http_exchange::beginRelay(const http::response_header<> &head) -> void
{
    assert(!m_answered);
    m_answered = true;
    m_unsentHead = formatHead(head);
    m_unsentHead +=
        m_reusable ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto http_exchange::relayChunk(std::string_view data) -> asio::awaitable<bool>
{
    assert(m_answered);
    auto text = std::exchange(m_unsentHead, {});
    text += formatChunk(data);
    m_reusable = co_await output().write(text) && m_reusable;
    co_return !m_output->hasFailed();
}

auto http_exchange::flushRelay() -> asio::awaitable<bool>
{
    co_return !m_output || co_await m_output->drain();
}

auto http_exchange::finishRelay() -> asio::awaitable<bool>
{
    assert(m_answered);
    const auto written = co_await output().write(std::exchange(m_unsentHead, {}) + "0\r\n\r\n");
    const auto isDone = written && co_await m_output->drain();
    m_reusable = isDone && m_reusable;
    co_return isDone;
}

auto http_exchange::relayComplete(const http::response_header<> &head, std::string_view body) -> asio::awaitable<bool>
{
    assert(!m_answered);
    m_answered = true;
    auto text = formatHead(head);
    if (!m_reusable) {
        text += "Connection: close\r\n";
    }
    if (head.result() != http::status::no_content && head.result() != http::status::not_modified) {
        text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    }
    text += "\r\n";
    const auto hasBody = m_request.method() != http::verb::head;
    co_return co_await write(std::move(text), hasBody ? body : std::string_view());
}

auto http_exchange::isCallerDisconnected() -> bool
{
    return probeCaller(m_stream.socket()) == caller_state::disconnected;
}

auto http_exchange::closeWithoutAnswer() -> void
{
    assert(!m_answered);
    m_answered = true;
    abortEvents();
}

auto http_exchange::waitForCallerDisconnect() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    auto error = boost::system::error_code();
    while (true) {
        co_await m_stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                              asio::redirect_error(asio::use_awaitable, error));
        const auto state = error ? caller_state::disconnected : probeCaller(m_stream.socket());
        if (state == caller_state::disconnected) {
            co_return;
        }
        if (state == caller_state::pipelining) {
            // While the next request is unread, recv() does not show that the connection was closed.
            timer.expires_after(pipelinedPollPeriod);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

auto http_exchange::answered() const -> bool
{
    return m_answered;
}

auto http_exchange::reusable() const -> bool
{
    return m_reusable;
}

auto http_exchange::output() -> output_queue &
{
    if (!m_output) {
        m_output = std::make_shared<output_queue>(m_stream.socket(), m_memory, m_writeTimeout);
    }
    return *m_output;
}

/// Sends \p text and then \p body, which outlives the write.
auto http_exchange::write(std::string text, std::string_view body) -> asio::awaitable<bool>
{
    auto error = boost::system::error_code();
    auto &socket = m_stream.socket();
    // Try a synchronous write first: if the socket buffer has room, no timer and no event loop iteration are needed.
    if (!socket.non_blocking()) {
        socket.non_blocking(true, error);
    }
    auto rest = std::array{ asio::const_buffer(asio::buffer(text)), asio::const_buffer(body.data(), body.size()) };
    const auto take = [&rest](std::size_t written) {
        const auto ofText = std::min(written, rest[0].size());
        rest[0] += ofText;
        rest[1] += written - ofText;
    };
    take(error ? std::size_t(0) : socket.write_some(rest, error));
    if (error == asio::error::would_block) {
        error = {};
    }
    if (asio::buffer_size(rest) > 0 && !error) {
        const auto scope = eviction_scope(m_memory, "unread answer", [this] { abortEvents(); });
        m_memory.noteProgress();
        m_stream.expires_after(m_writeTimeout);
        while (asio::buffer_size(rest) > 0 && !error) {
            take(co_await m_stream.async_write_some(rest, asio::redirect_error(asio::use_awaitable, error)));
            m_memory.noteProgress();
        }
        m_stream.expires_never();
    }
    m_reusable = m_reusable && !error;
    co_return !error;
}

auto errorBody(const last_reason &why) -> std::string
{
    const auto error = boost::json::object{
        { "kind", nameOf(why.kind) },
        { "step", why.step },
        { "peer", why.peer },
        { "detail", why.detail },
    };
    return boost::json::serialize(boost::json::object{ { "error", error } }) + "\n";
}

auto statusOf(failure_kind kind) -> unsigned
{
    switch (kind) {
    case failure_kind::none:
        return 200;
    case failure_kind::invalidInput:
        return 400;
    case failure_kind::unauthorized:
        return 401;
    case failure_kind::notFound:
        return 404;
    case failure_kind::conflict:
        return 409;
    case failure_kind::overloaded:
        return 429;
    case failure_kind::protocolViolation:
        return 502;
    case failure_kind::notSent:
    case failure_kind::unavailable:
    case failure_kind::deadlineExceeded:
    case failure_kind::leaving:
        return 503;
    case failure_kind::unknownOutcome:
        return 504;
    case failure_kind::cancelled:
        return 499; // Non-standard code of nginx: client closed request.
    case failure_kind::internal:
        return 500;
    }
    return 500;
}

auto errorReply(const last_reason &why) -> http_reply
{
    auto answer = http_reply();
    answer.status = statusOf(why.kind);
    answer.body = errorBody(why);
    return answer;
}

auto refuseForMemory() -> http_reply
{
    // The values are spread so that callers refused together do not retry at the same moment.
    constexpr auto firstRetrySeconds = 0.3;
    constexpr auto retrySteps = 16U;
    constexpr auto stepSeconds = 0.05;
    static std::atomic<unsigned> refusals = 0;
    auto seconds = std::array<char, 16>{};
    std::snprintf(seconds.data(), seconds.size(), "%.2f", firstRetrySeconds + (refusals++ % retrySteps) * stepSeconds);
    auto answer = http_reply();
    answer.status = 503;
    answer.contentType = "text/plain";
    answer.body = "no memory for the request\n";
    answer.headers.emplace_back("Retry-After", seconds.data());
    answer.headers.emplace_back("X-Not-Run", nameOf(failure_kind::overloaded));
    return answer;
}

} // namespace marjoramloom
