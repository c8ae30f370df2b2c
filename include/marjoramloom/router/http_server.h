#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/connection_registry.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/http_limits.h"
#include "marjoramloom/router/memory_budget.h"
#include "marjoramloom/router/request_reader.h"

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

/// Requirements of a request handler. handle() is called on the strand of each connection, concurrently for several
/// connections. A handler may also have addToRefusal(head, reply), which adds fields to the refusal of a request that
/// was not read to its end.
template<typename Handler>
concept http_handler = requires(Handler &handler, http_exchange &exchange)
{
    {
        handler.handle(exchange)
        } -> std::same_as<boost::asio::awaitable<void>>;
};

/// How the connections of a server are synchronized.
enum class session_concurrency {
    strands, ///< Several threads run the context; each connection has its own strand.
    singleThread, ///< One thread runs the context; strands would be needless overhead.
};

/// What becomes of a new connection.
enum class connection_gate_result {
    serve,
    refuse, ///< It is closed without being read.
    taken, ///< The gate has taken over the descriptor.
};

/// Listens on one address and serves HTTP/1.1 connections.
///
/// Thread safe, except for setLimits(), setConnectionGate() and setMemoryBudget(). After stopAccepting(), connections
/// with a running request finish it. Idle connections stay open for a short time and answer one more request, so that a
/// request already on its way is not lost.
template<http_handler Handler>
class http_server : public std::enable_shared_from_this<http_server<Handler>>
{
public:
    /// Preconditions: \p handler, \p counters and \p context outlive the server. \p name labels its counters.
    http_server(boost::asio::io_context &context, Handler &handler, counter_registry &counters, std::string name,
                http_limits limits, session_concurrency concurrency = session_concurrency::strands);

    /// Replaces the limits of later requests. Call on the thread of a context that has only one.
    auto setLimits(http_limits limits) -> void;

    /// Decides about a new connection, of which nothing has been read.
    using connection_gate = std::function<connection_gate_result(int descriptor)>;

    /// Sets a function that is called for each new connection. A connection that it refuses is closed at once, and no
    /// other one is accepted for a moment: callers whose connections are refused open new ones, and further ones wait
    /// in the queue of the listening socket at no cost. Call before listen().
    auto setConnectionGate(connection_gate gate) -> void;

    /// Answer to a request on a refused connection; empty if \p request is not complete.
    using refusal_writer = std::function<std::string(std::string_view request)>;

    /// Sets a function that writes the answer to a request that has arrived with a refused connection. Without it, and
    /// if no whole request has arrived, the connection is closed without an answer. Call before listen().
    auto setRefusalWriter(refusal_writer writer) -> void;

    /// Counts the memory of all connections in \p budget, which outlives the server, and applies
    /// http_limits::maxConnections. Call before listen(). Precondition: session_concurrency::singleThread.
    auto setMemoryBudget(memory_budget &budget) -> void;

    /// Starts listening. Returns the port, or nothing if the server cannot listen on \p address.
    auto listen(const std::string &address, last_reason &why) -> std::optional<std::uint16_t>;

    /// Stops accepting connections, and closes each open connection after its answer.
    auto stopAccepting() -> void;

    /// Number of open connections.
    [[nodiscard]] auto connections() const -> std::size_t;

private:
    using tcp = boost::asio::ip::tcp;

    auto acceptLoop() -> boost::asio::awaitable<void>;
    auto spawnConnection(tcp::socket socket) -> void;
    auto refuseConnection(int descriptor) -> void;
    auto makeExecutor() const -> boost::asio::any_io_executor;
    auto serve(tcp::socket socket) -> boost::asio::awaitable<void>;
    auto serveRequests(boost::beast::tcp_stream &stream, std::string peer) -> boost::asio::awaitable<void>;
    auto waitForRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer)
        -> boost::asio::awaitable<bool>;
    auto serveRequest(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, connection_memory &memory,
                      const std::string &peer, bool isFirst) -> boost::asio::awaitable<bool>;
    auto rejectRequest(boost::beast::tcp_stream &stream, connection_memory &memory, const std::string &peer,
                       boost::system::error_code error) -> boost::asio::awaitable<void>;
    auto refuseForLackOfMemory(boost::beast::tcp_stream &stream, connection_memory &memory, const std::string &peer,
                               const request_reader &reader) -> boost::asio::awaitable<void>;
    auto discardInput(boost::beast::tcp_stream &stream) -> boost::asio::awaitable<void>;
    auto runHandler(http_exchange &exchange) -> boost::asio::awaitable<void>;

    boost::asio::io_context &m_context;
    Handler &m_handler;
    counter_registry &m_counters;
    std::string m_name;
    http_limits m_limits;
    session_concurrency m_concurrency;
    connection_gate m_connectionGate;
    refusal_writer m_refusalWriter;
    memory_budget *m_memoryBudget = nullptr;
    connection_registry m_registry; ///< Used if there is a memory budget.
    counter &m_refusedConnections;
    counter &m_connectionsOverLimit;
    tcp::acceptor m_acceptor;
    tcp m_protocol = tcp::v4();
    std::atomic<bool> m_stopping = false;
    std::atomic<std::size_t> m_connections = 0;
};

} // namespace marjoramloom

#include "marjoramloom/router/http_server.inl"
#include "marjoramloom/router/http_server_accept.inl"
