#include "marjoramloom/store/store_connection.h"

#include "marjoramloom/core/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A page of a list has 1 MB at most, and a watch fetches the changes of seconds.
constexpr auto maxResponseBytes = std::uint64_t(16) << 20U;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

auto isTimeout(const beast::error_code &error) -> bool
{
    return error == beast::error::timeout || error == asio::error::operation_aborted;
}

} // namespace

store_connection::store_connection(const asio::any_io_executor &executor, std::string address)
    : m_address(std::move(address))
    , m_stream(asio::any_io_executor(asio::make_strand(executor)))
{
}

auto store_connection::connect(std::chrono::milliseconds limit, last_reason &why) -> asio::awaitable<bool>
{
    const auto self = shared_from_this();
    co_return co_await asio::co_spawn(m_stream.get_executor(), connectOnStrand(limit, why), asio::use_awaitable);
}

auto store_connection::exchange(http_request request, std::chrono::milliseconds limit, sent_state &sent,
                                last_reason &why) -> asio::awaitable<std::optional<http_response>>
{
    const auto self = shared_from_this();
    sent = sent_state::maybeSent;
    co_return co_await asio::co_spawn(m_stream.get_executor(), exchangeOnStrand(std::move(request), limit, sent, why),
                                      asio::use_awaitable);
}

auto store_connection::connectOnStrand(std::chrono::milliseconds limit, last_reason &why) -> asio::awaitable<bool>
{
    const auto endpoint = parseEndpoint(m_address, why);
    if (!endpoint) {
        co_return false;
    }
    m_stream.expires_after(limit);
    const auto [error] = co_await m_stream.async_connect(*endpoint, asTuple);
    if (error) {
        why.fail(failure_kind::notSent, "connect", m_address, error.message());
        co_return false;
    }
    auto ignored = beast::error_code();
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return true;
}

auto store_connection::exchangeOnStrand(http_request request, std::chrono::milliseconds limit, sent_state &sent,
                                        last_reason &why) -> asio::awaitable<std::optional<http_response>>
{
    m_stream.expires_after(limit);
    const auto [writeError, written] = co_await http::async_write(m_stream, request, asTuple);
    if (writeError) {
        const auto isCertainlyUnsent = written == 0 && !isTimeout(writeError);
        sent = isCertainlyUnsent ? sent_state::notSent : sent_state::maybeSent;
        const auto kind = isCertainlyUnsent ? failure_kind::notSent : failure_kind::unknownOutcome;
        co_return why.fail(kind, "send request", m_address, writeError.message());
    }
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(maxResponseBytes);
    const auto [readError, received] = co_await http::async_read(m_stream, m_buffer, parser, asTuple);
    if (readError) {
        co_return why.fail(failure_kind::unknownOutcome, "read answer", m_address, readError.message());
    }
    m_stream.expires_never();
    co_return parser.release();
}

auto store_connection::isReusable() -> bool
{
    auto error = beast::error_code();
    auto &socket = m_stream.socket();
    socket.non_blocking(true, error);
    auto byte = char();
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace marjoramloom
