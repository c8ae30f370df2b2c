#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/http_exchange.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <concepts>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

/// Answers requests. Called on the connection's own strand, from several connections at once.
template<typename Handler>
concept http_handler = requires(Handler &handler, http_exchange &exchange)
{
    {
        handler.handle(exchange)
        } -> std::same_as<boost::asio::awaitable<void>>;
};

/// Limits of a listener.
struct http_limits
{
    std::uint32_t bodyBytes = 4U << 20U;
    std::uint32_t headerBytes = 32U << 10U;
    duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request to its last.
    duration idleTimeout = std::chrono::seconds(60); ///< Between requests, and for one write.
    /// While more connections than this are open, each is closed after its answer.
    std::size_t keptConnections = std::numeric_limits<std::size_t>::max();
};

/// How a server's connections share its context.
enum class session_concurrency {
    strands, ///< The context has several threads; each connection has a strand.
    oneThread, ///< The context has one thread, so that strands would only cost time.
};

/// Listens on one address and serves HTTP/1.1 connections.
///
/// Thread safe. At a stop, connections with a request finish it; idle ones answer one more request or close after a
/// short while, so that no request that is on its way is lost.
template<http_handler Handler>
class http_server : public std::enable_shared_from_this<http_server<Handler>>
{
public:
    /// Preconditions: \p handler, \p counters and \p context outlive the server. \p name labels its counters.
    http_server(boost::asio::io_context &context, Handler &handler, counter_registry &counters, std::string name,
                http_limits limits, session_concurrency concurrency = session_concurrency::strands);

    /// Replaces the limits for requests that are still to come. Call on the only thread of the context.
    auto setLimits(http_limits limits) -> void;

    /// Connections that come while \p takesMore says no are closed unread, so that their callers turn to another router
    /// at the least cost. Call before listen().
    auto setGate(std::function<bool()> takesMore) -> void;

    /// Starts listening. Returns the port, or nothing where the address cannot be had.
    auto listen(const std::string &address, last_reason &why) -> std::optional<std::uint16_t>;

    /// Takes no new connections from now on, and closes each connection after its answer.
    auto stopAccepting() -> void;

    /// Open connections.
    [[nodiscard]] auto connections() const -> std::size_t;

private:
    using tcp = boost::asio::ip::tcp;

    auto acceptLoop() -> boost::asio::awaitable<void>;
    auto spawnConnection(tcp::socket socket) -> void;
    auto makeExecutor() const -> boost::asio::any_io_executor;
    auto serve(tcp::socket socket) -> boost::asio::awaitable<void>;
    auto serveRequests(boost::beast::tcp_stream &stream, std::string peer) -> boost::asio::awaitable<void>;
    auto waitForRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer)
        -> boost::asio::awaitable<bool>;
    auto serveOne(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const std::string &peer)
        -> boost::asio::awaitable<bool>;
    auto readHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, boost::system::error_code &error)
        -> boost::asio::awaitable<bool>;
    auto refuse(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, const std::string &peer,
                boost::system::error_code error) -> boost::asio::awaitable<void>;
    auto runHandler(http_exchange &exchange) -> boost::asio::awaitable<void>;

    boost::asio::io_context &m_context;
    Handler &m_handler;
    counter_registry &m_counters;
    std::string m_name;
    http_limits m_limits;
    session_concurrency m_concurrency;
    std::function<bool()> m_takesMore;
    counter &m_turnedAway;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_connections = 0;
};

} // namespace marjoramloom

#include "marjoramloom/router/http_server.inl"
