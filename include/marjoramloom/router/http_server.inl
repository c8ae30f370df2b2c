#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <utility>

namespace marjoramloom {

/// How long an idle connection stays open after stopAccepting().
constexpr auto idleCloseDelay = std::chrono::seconds(2);
/// An idle connection keeps a buffer of this size at most.
constexpr std::size_t maxIdleBufferBytes = 4U << 10U;
/// Limits of what is read after the refusal of a request that was not read to its end.
constexpr std::size_t maxDiscardedBytes = 256U << 10U;
constexpr std::size_t discardReadBytes = 4U << 10U;
constexpr auto discardTime = std::chrono::milliseconds(200);

/// Counts an open connection for as long as the object lives.
class connection_count
{
public:
    explicit connection_count(std::atomic<std::size_t> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~connection_count()
    {
        --m_count;
    }
    connection_count(const connection_count &) = delete;
    auto operator=(const connection_count &) -> connection_count & = delete;

private:
    std::atomic<std::size_t> &m_count;
};

template<http_handler Handler>
http_server<Handler>::http_server(boost::asio::io_context &context, Handler &handler, counter_registry &counters,
                                  std::string name, http_limits limits, session_concurrency concurrency)
    : m_context(context)
    , m_handler(handler)
    , m_counters(counters)
    , m_name(std::move(name))
    , m_limits(limits)
    , m_concurrency(concurrency)
    , m_refusedConnections(counters.at("marjoramloom_connections_turned_away_total", "listener=\"" + m_name + "\""))
    , m_connectionsOverLimit(counters.at("marjoramloom_connections_over_limit_total", "listener=\"" + m_name + "\""))
    , m_acceptor(makeExecutor())
{
}

template<http_handler Handler>
auto http_server<Handler>::setLimits(http_limits limits) -> void
{
    m_limits = limits;
}

template<http_handler Handler>
auto http_server<Handler>::setConnectionGate(connection_gate gate) -> void
{
    m_connectionGate = std::move(gate);
}

template<http_handler Handler>
auto http_server<Handler>::setRefusalWriter(refusal_writer writer) -> void
{
    m_refusalWriter = std::move(writer);
}

template<http_handler Handler>
auto http_server<Handler>::setMemoryBudget(memory_budget &budget) -> void
{
    assert(m_concurrency == session_concurrency::singleThread);
    m_memoryBudget = &budget;
}

template<http_handler Handler>
auto http_server<Handler>::stopAccepting() -> void
{
    m_stopping = true;
    boost::asio::post(m_acceptor.get_executor(), [self = this->shared_from_this()] {
        auto error = boost::system::error_code();
        self->m_acceptor.close(error);
    });
}

template<http_handler Handler>
auto http_server<Handler>::connections() const -> std::size_t
{
    return m_connections;
}

template<http_handler Handler>
auto http_server<Handler>::serve(tcp::socket socket) -> boost::asio::awaitable<void>
{
    // An exception within an operation of the library ends this coroutine without resuming it.
    const auto counted = connection_count(m_connections);
    auto error = boost::system::error_code();
    const auto remote = socket.remote_endpoint(error);
    auto peer = error ? std::string("unknown") : endpointText(remote);
    auto stream = boost::beast::tcp_stream(std::move(socket));
    try {
        co_await serveRequests(stream, peer);
    } catch (const std::exception &failure) {
        m_counters.at("marjoramloom_session_failures_total", "listener=\"" + m_name + "\"").add();
        log_line(log_level::error, "session_failed").with("peer", peer).with("detail", failure.what());
    }
    stream.socket().shutdown(tcp::socket::shutdown_both, error);
}

template<http_handler Handler>
auto http_server<Handler>::serveRequests(boost::beast::tcp_stream &stream, std::string peer)
    -> boost::asio::awaitable<void>
{
    auto memory = connection_memory(m_memoryBudget, peer);
    if (!memory.hold(memory_use::connection, connection_memory::CONNECTION_BYTES)) {
        co_return;
    }
    auto place = std::optional<connection_registry::entry>();
    if (m_memoryBudget != nullptr) {
        place.emplace(m_registry, [&stream] {
            auto ignored = boost::system::error_code();
            stream.socket().close(ignored);
        });
    }
    auto buffer = boost::beast::flat_buffer();
    auto isFirst = true;
    while (co_await waitForRequest(stream, buffer)) {
        if (place) {
            place->setState(connection_registry::state::busy);
        }
        if (!co_await serveRequest(stream, buffer, memory, peer, std::exchange(isFirst, false))) {
            co_return;
        }
        if (buffer.size() == 0 && buffer.capacity() > maxIdleBufferBytes) {
            buffer.shrink_to_fit();
        }
        memory.hold(memory_use::request, buffer.capacity());
        if (place) {
            place->setState(connection_registry::state::idle);
        }
    }
}

/// Waits for the first bytes of a request. Returns false if the connection is to be closed.
template<http_handler Handler>
auto http_server<Handler>::waitForRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer)
    -> boost::asio::awaitable<bool>
{
    using namespace boost::asio::experimental::awaitable_operators;
    constexpr auto tupled = boost::asio::as_tuple(boost::asio::use_awaitable);
    constexpr std::size_t readSize = 4096;
    auto waited = duration::zero();
    auto timer = boost::asio::steady_timer(stream.get_executor());
    while (buffer.size() == 0) {
        const auto step = std::min<duration>(idleCloseDelay, m_limits.idleTimeout - waited);
        timer.expires_after(step);
        const auto first =
            co_await (stream.socket().async_wait(tcp::socket::wait_read, tupled) || timer.async_wait(tupled));
        if (first.index() == 1) {
            waited += step;
            if (m_stopping || waited >= m_limits.idleTimeout) {
                co_return false;
            }
            continue;
        }
        auto error = boost::system::error_code();
        const auto count = co_await stream.async_read_some(
            buffer.prepare(readSize), boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (error) {
            co_return false;
        }
        buffer.commit(count);
    }
    co_return true;
}

template<http_handler Handler>
auto http_server<Handler>::serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer,
                                        connection_memory &memory, const std::string &peer, bool isFirst)
    -> boost::asio::awaitable<bool>
{
    auto reader = request_reader(stream, buffer, m_limits, memory);
    if (!co_await reader.read()) {
        if (reader.error() == boost::system::errc::not_enough_memory) {
            co_await refuseForLackOfMemory(stream, memory, peer, reader);
        } else {
            co_await rejectRequest(stream, memory, peer, reader.error());
        }
        co_await discardInput(stream);
        co_return false;
    }
    auto exchange =
        http_exchange(stream, memory, reader.releaseRequest(), peer, m_limits.idleTimeout, reader.releaseLongFields());
    exchange.setFirst(isFirst);
    if (m_stopping || m_connections > m_limits.maxKeepAliveConnections) {
        exchange.closeAfterAnswer();
    }
    co_await runHandler(exchange);
    co_return exchange.reusable() && !m_stopping;
}

template<http_handler Handler>
auto http_server<Handler>::rejectRequest(boost::beast::tcp_stream &stream, connection_memory &memory,
                                         const std::string &peer, boost::system::error_code error)
    -> boost::asio::awaitable<void>
{
    m_counters.at("marjoramloom_bad_requests_total", "listener=\"" + m_name + "\"").add();
    log_line(log_level::warning, "bad_request").with("peer", peer).with("detail", error.message());
    if (error == boost::beast::http::error::end_of_stream || error == boost::asio::error::eof
        || error == boost::asio::error::connection_reset) {
        co_return;
    }
    auto why = last_reason();
    why.fail(failure_kind::invalidInput, "read request", peer, error.message());
    auto answer = errorReply(why);
    if (error == boost::beast::http::error::body_limit) {
        answer.status = 413;
    } else if (error == boost::beast::http::error::header_limit) {
        answer.status = 431;
    } else if (error == boost::beast::error::timeout) {
        answer.status = 408;
    }
    answer.headers.emplace_back("X-Not-Run", "invalid_input");
    auto exchange = http_exchange(stream, memory, {}, peer, m_limits.headerTimeout);
    exchange.closeAfterAnswer();
    co_await exchange.reply(std::move(answer));
}

template<http_handler Handler>
auto http_server<Handler>::refuseForLackOfMemory(boost::beast::tcp_stream &stream, connection_memory &memory,
                                                 const std::string &peer, const request_reader &reader)
    -> boost::asio::awaitable<void>
{
    log_line(log_level::warning, "memory_refusal").with("peer", peer);
    auto answer = refuseForMemory();
    if constexpr (requires { m_handler.addToRefusal(reader.head(), answer); }) {
        m_handler.addToRefusal(reader.head(), answer);
    }
    auto exchange = http_exchange(stream, memory, {}, peer, m_limits.headerTimeout);
    exchange.closeAfterAnswer();
    co_await exchange.reply(std::move(answer));
}

/// Reads on for a short time after a refusal. A connection that is closed with unread bytes is reset, and the caller
/// may lose the answer by that.
template<http_handler Handler>
auto http_server<Handler>::discardInput(boost::beast::tcp_stream &stream) -> boost::asio::awaitable<void>
{
    auto bytes = std::array<char, discardReadBytes>();
    auto error = boost::system::error_code();
    stream.socket().shutdown(tcp::socket::shutdown_send, error);
    stream.expires_after(discardTime);
    for (auto discarded = std::size_t(0); !error && discarded < maxDiscardedBytes;) {
        discarded += co_await stream.async_read_some(boost::asio::buffer(bytes),
                                                     boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
}

template<http_handler Handler>
auto http_server<Handler>::runHandler(http_exchange &exchange) -> boost::asio::awaitable<void>
{
    auto failure = std::string();
    try {
        co_await m_handler.handle(exchange);
    } catch (const std::exception &error) {
        failure = error.what();
    }
    if (failure.empty() && exchange.answered()) {
        co_return;
    }
    auto why = last_reason();
    why.fail(failure_kind::internal, "handle request", exchange.peer(), failure);
    log_line(log_level::error, "handler_failed").with("peer", exchange.peer()).with("detail", failure);
    exchange.closeAfterAnswer();
    if (exchange.answered()) {
        exchange.abortEvents();
    } else {
        auto answer = errorReply(why);
        co_await exchange.reply(std::move(answer));
    }
}

} // namespace marjoramloom
