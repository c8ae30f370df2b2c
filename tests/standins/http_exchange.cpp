#include "http_exchange.h"

#include <boost/asio.hpp>
#include <cctype>

namespace standins {

namespace asio = boost::asio;

namespace {

/// Decodes percent-encoding. In a query, a plus sign stands for a blank (application/x-www-form-urlencoded).
auto decodeComponent(std::string_view text, bool isQuery) -> std::string
{
    constexpr auto escapeLength = std::size_t(3);
    constexpr auto hexadecimal = 16;
    auto decoded = std::string();
    for (auto at = std::size_t(0); at < text.size(); ++at) {
        const auto isEscape = text[at] == '%' && at + escapeLength <= text.size() && std::isxdigit(text[at + 1]) != 0
            && std::isxdigit(text[at + 2]) != 0;
        if (isEscape) {
            const auto digits = std::string(text.substr(at + 1, 2));
            decoded += static_cast<char>(std::strtoul(digits.c_str(), nullptr, hexadecimal));
            at += 2;
        } else {
            decoded += isQuery && text[at] == '+' ? ' ' : text[at];
        }
    }
    return decoded;
}

/// Splits a query of the form a=1&b=2.
auto parseQuery(std::string_view text) -> std::map<std::string, std::string>
{
    auto parsed = std::map<std::string, std::string>();
    while (!text.empty()) {
        const auto end = std::min(text.find('&'), text.size());
        const auto pair = text.substr(0, end);
        const auto equals = std::min(pair.find('='), pair.size());
        const auto value = pair.substr(std::min(equals + 1, pair.size()));
        parsed[decodeComponent(pair.substr(0, equals), true)] = decodeComponent(value, true);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return parsed;
}

} // namespace

auto sleepFor(std::int64_t milliseconds) -> void_awaitable
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
}

http_exchange::http_exchange(beast::tcp_stream &stream, http::request<http::string_body> request,
                             const freeze_epoch &epoch, std::uint64_t openedAt)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_epoch(epoch)
    , m_openedAt(openedAt)
{
    auto target = std::string(m_request.target());
    target.resize(std::min(target.find('#'), target.size())); // A fragment is no part of the resource.
    const auto mark = target.find('?');
    m_path = decodeComponent(target.substr(0, mark), false);
    if (mark != std::string::npos) {
        m_query = parseQuery(std::string_view(target).substr(mark + 1));
    }
}

auto http_exchange::method() const -> std::string
{
    return std::string(m_request.method_string());
}

auto http_exchange::path() const -> const std::string &
{
    return m_path;
}

auto http_exchange::query(const std::string &key) const -> std::string
{
    const auto found = m_query.find(key);
    return found == m_query.end() ? std::string() : found->second;
}

auto http_exchange::header(std::string_view name) const -> std::string
{
    const auto found = m_request.find(beast::string_view(name.data(), name.size()));
    return found == m_request.end() ? std::string() : std::string(found->value());
}

auto http_exchange::body() const -> const std::string &
{
    return m_request.body();
}

auto http_exchange::subject(std::string key) const -> fault_subject
{
    return { std::move(key), method(), m_request.body() };
}

auto http_exchange::entry() const -> execution_entry
{
    auto filled = execution_entry();
    filled.requestId = header("X-Request-Id");
    filled.idempotencyKey = header("Idempotency-Key");
    filled.account = header("X-Account");
    filled.method = method();
    filled.path = m_path;
    filled.body = m_request.body();
    return filled;
}

auto http_exchange::setCommonHeader(std::string name, std::string value) -> void
{
    m_commonHeaders[std::move(name)] = std::move(value);
}

auto http_exchange::reply(http_reply answer) -> void_awaitable
{
    if (m_closed) {
        co_return;
    }
    co_await stallIfFrozen();
    auto response = http::response<http::string_body>(answer.status, m_request.version());
    response.set(http::field::content_type, answer.contentType);
    for (const auto &[name, value] : answer.headers) {
        response.set(name, value);
    }
    for (const auto &[name, value] : m_commonHeaders) {
        response.set(name, value);
    }
    response.keep_alive(m_request.keep_alive());
    response.body() = std::move(answer.body);
    response.prepare_payload();
    co_await http::async_write(m_stream, response, asio::use_awaitable);
}

auto http_exchange::startStream(std::string contentType, std::vector<std::pair<std::string, std::string>> headers)
    -> void_awaitable
{
    co_await stallIfFrozen();
    auto response = http::response<http::empty_body>(http::status::ok, m_request.version());
    response.set(http::field::content_type, contentType);
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.chunked(true);
    auto serializer = http::response_serializer<http::empty_body>(response);
    co_await http::async_write_header(m_stream, serializer, asio::use_awaitable);
}

auto http_exchange::writeChunk(std::string piece) -> void_awaitable
{
    co_await stallIfFrozen();
    const auto chunk = http::make_chunk(asio::buffer(piece));
    co_await asio::async_write(m_stream, chunk, asio::use_awaitable);
}

auto http_exchange::finishStream() -> void_awaitable
{
    co_await stallIfFrozen();
    const auto end = http::make_chunk_last();
    co_await asio::async_write(m_stream, end, asio::use_awaitable);
}

auto http_exchange::close() -> void
{
    m_closed = true;
    auto ignored = beast::error_code();
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    m_stream.close();
}

auto http_exchange::stall() -> void_awaitable
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_at(asio::steady_timer::time_point::max());
    co_await timer.async_wait(asio::use_awaitable);
}

auto http_exchange::pause(std::int64_t milliseconds) -> void_awaitable
{
    return sleepFor(milliseconds);
}

auto http_exchange::keepAlive() const -> bool
{
    return !m_closed && m_request.keep_alive();
}

auto http_exchange::stallIfFrozen() -> void_awaitable
{
    if (m_openedAt != m_epoch.value && !m_path.starts_with("/control/")) {
        co_await stall();
    }
}

} // namespace standins
