#include "marjoramloom/call/http_connection.h"

#include "marjoramloom/core/endpoint.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cassert>
#include <netinet/tcp.h>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Formats the head of \p message with \p extraFields. Unlike the library's serializer, this sets no limit to a field.
auto formatHead(const http_connection::request &message, std::string_view extraFields) -> std::string
{
    auto text = std::string();
    const auto append = [&](boost::beast::string_view part) {
        text.append(part.data(), part.size());
    };
    append(message.method_string());
    text += ' ';
    append(message.target());
    text += " HTTP/1.1\r\n";
    for (const auto &field : message) {
        append(field.name_string());
        text += ": ";
        append(field.value());
        text += "\r\n";
    }
    text += extraFields;
    text += "\r\n";
    return text;
}

} // namespace

http_connection::http_connection(const asio::any_io_executor &executor, std::string peer)
    : m_peer(std::move(peer))
    , m_socket(executor)
{
    bindExecutor(executor);
}

auto http_connection::bindExecutor(const asio::any_io_executor &executor) -> void
{
    m_timeout = std::make_shared<operation_timeout>(executor, [this] { interrupt(); });
}

auto http_connection::unbindExecutor() -> void
{
    m_timeout->detach();
}

http_connection::~http_connection()
{
    unbindExecutor();
}

auto http_connection::connect(duration limit, last_reason &why) -> asio::awaitable<bool>
{
    const auto endpoint = parseEndpoint(m_peer, why);
    if (!endpoint) {
        why.kind = failure_kind::notSent;
        co_return false;
    }
    auto error = error_code();
    m_timeout->arm(limit);
    co_await m_socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    m_timeout->disarm();
    if (error || m_timeout->expired()) {
        why.fail(failure_kind::notSent, "connect", m_peer, m_timeout->expired() ? "timed out" : error.message());
        co_return false;
    }
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    m_socket.set_option(user_timeout(static_cast<int>(UNACKNOWLEDGED_LIMIT.count())), error);
    co_return true;
}

auto http_connection::send(const request &message, duration limit, last_reason &why, std::string extraFields)
    -> asio::awaitable<bool>
{
    co_return co_await sendWithBody(message, message.body(), limit, why, std::move(extraFields));
}

auto http_connection::sendWithBody(const request &message, std::string_view body, duration limit, last_reason &why,
                                   std::string extraFields) -> asio::awaitable<bool>
{
    assert(!message.chunked());
    auto error = error_code();
    const auto head = formatHead(message, extraFields);
    const auto buffers = std::array{ asio::buffer(head), asio::const_buffer(body.data(), body.size()) };
    m_anythingSent = true;
    m_expectsNoBody = message.method() == http::verb::head;
    m_parser.reset();
    m_timeout->arm(limit);
    co_await asio::async_write(m_socket, buffers, asio::redirect_error(asio::use_awaitable, error));
    m_timeout->disarm();
    if (error) {
        fail("send request", error, why);
        co_return false;
    }
    co_return true;
}

auto http_connection::readHead(duration limit, last_reason &why) -> asio::awaitable<bool>
{
    auto error = error_code();
    auto interimHeads = std::size_t(0);
    m_timeout->arm(limit);
    while (true) {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
        m_parser->skip(m_expectsNoBody);
        co_await http::async_read_header(m_socket, m_buffer, *m_parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        // Compares the number because Beast does not know every interim status.
        constexpr auto firstStatus = 100U;
        constexpr auto firstFinalStatus = 200U;
        constexpr auto lastStatus = 599U;
        const auto status = error ? 0U : m_parser->get().result_int();
        if (!error && (status < firstStatus || status > lastStatus)) {
            m_timeout->disarm();
            interrupt();
            why.fail(failure_kind::protocolViolation, "read answer head", m_peer,
                     "status " + std::to_string(status) + " does not exist");
            co_return false;
        }
        if (error || status >= firstFinalStatus) {
            break;
        }
        if (++interimHeads > MAX_INTERIM_HEADS) {
            m_timeout->disarm();
            interrupt();
            why.fail(failure_kind::protocolViolation, "read answer head", m_peer, "too many interim answers");
            co_return false;
        }
    }
    m_timeout->disarm();
    if (error) {
        fail("read answer head", error, why);
        co_return false;
    }
    co_return true;
}

auto http_connection::readPart(duration limit, last_reason &why) -> asio::awaitable<std::optional<std::string_view>>
{
    assert(m_parser && m_parser->is_header_done());
    m_timeout->arm(limit);
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = m_part.data();
        body.size = m_part.size();
        body.more = true;
        auto error = error_code();
        co_await http::async_read_some(m_socket, m_buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
        const auto read = m_part.size() - m_parser->get().body().size;
        if (error && error != http::error::need_buffer) {
            m_timeout->disarm();
            fail("read answer", error, why);
            co_return std::nullopt;
        }
        if (read > 0) {
            m_timeout->disarm();
            co_return std::string_view(m_part.data(), read);
        }
    }
    m_timeout->disarm();
    co_return std::string_view();
}

auto http_connection::readRest(std::size_t sizeLimit, duration limit, last_reason &why)
    -> asio::awaitable<std::optional<std::string>>
{
    auto content = std::string();
    const auto append = [&](std::string_view part) {
        const auto fits = content.size() + part.size() <= sizeLimit;
        content += fits ? part : std::string_view();
        return fits;
    };
    if (!co_await readAllParts(append, limit, why)) {
        co_return std::nullopt;
    }
    co_return content;
}

auto http_connection::skipRest(std::size_t sizeLimit, duration limit, last_reason &why) -> asio::awaitable<bool>
{
    auto skipped = std::size_t(0);
    const auto skip = [&](std::string_view part) {
        skipped += part.size();
        return skipped <= sizeLimit;
    };
    co_return co_await readAllParts(skip, limit, why);
}

auto http_connection::readAllParts(std::function<bool(std::string_view)> accept, duration limit, last_reason &why)
    -> asio::awaitable<bool>
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (true) {
        const auto part = co_await readPart(deadline - std::chrono::steady_clock::now(), why);
        if (!part) {
            co_return false;
        }
        if (part->empty()) {
            co_return true;
        }
        if (!accept(*part)) {
            interrupt();
            why.fail(failure_kind::protocolViolation, "read answer", m_peer, "answer over the size limit");
            co_return false;
        }
    }
}

auto http_connection::bufferedInput() const -> std::string_view
{
    return { static_cast<const char *>(m_buffer.data().data()), m_buffer.size() };
}

auto http_connection::head() const -> const http::response_header<> &
{
    assert(m_parser && m_parser->is_header_done());
    return m_parser->get().base();
}

auto http_connection::setIdleLimit(duration limit) -> void
{
    m_idleLimit = limit;
}

auto http_connection::idleLimit() const -> duration
{
    return m_idleLimit;
}

auto http_connection::status() const -> unsigned
{
    assert(m_parser && m_parser->is_header_done());
    return m_parser->get().result_int();
}

auto http_connection::header(std::string_view name) const -> std::string
{
    assert(m_parser && m_parser->is_header_done());
    const auto value = m_parser->get()[boost::beast::string_view(name.data(), name.size())];
    return { value.data(), value.size() };
}

auto http_connection::endsWithConnection() const -> bool
{
    assert(m_parser && m_parser->is_header_done());
    return m_parser->need_eof();
}

auto http_connection::anythingSent() const -> bool
{
    return m_anythingSent;
}

auto http_connection::endedCleanly() const -> bool
{
    return m_socket.is_open() && m_parser && m_parser->is_done() && m_parser->keep_alive() && m_buffer.size() == 0;
}

auto http_connection::isIdleAndOpen() -> bool
{
    auto error = error_code();
    auto byte = char();
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

auto http_connection::interrupt() -> void
{
    auto ignored = error_code();
    m_socket.close(ignored);
}

auto http_connection::peer() const -> const std::string &
{
    return m_peer;
}

auto http_connection::fail(std::string_view step, const error_code &error, last_reason &why) -> void
{
    why.fail(m_timeout->expired() ? failure_kind::deadlineExceeded : failure_kind::unknownOutcome, step, m_peer,
             m_timeout->expired() ? "timed out" : error.message());
    interrupt();
}

} // namespace marjoramloom
