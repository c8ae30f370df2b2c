#pragma once

#include "http_exchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json.hpp>
#include <concepts>
#include <iostream>
#include <set>

namespace standins {

/// State that every stand-in has: its faults and its execution record.
struct standin_context
{
    fault_set faults;
    execution_record record;
    freeze_epoch epoch;
};

/// Requirements on a stand-in: it answers requests, and control requests that http_server does not handle itself.
template<typename Standin>
concept http_standin = requires(Standin &standin, http_exchange &exchange, const boost::json::value &document)
{
    {
        standin.handle(exchange)
        } -> std::same_as<void_awaitable>;
    {
        standin.control(exchange, document)
        } -> std::same_as<http_reply>;
};

/// HTTP server of one stand-in. Handles the control paths for faults and the execution record, and passes other
/// requests to the stand-in. Runs on the single thread of the io_context.
template<http_standin Standin>
class http_server
{
public:
    http_server(boost::asio::io_context &context, Standin &standin, standin_context &shared);

    /// Opens the listener and prints `listening IP:PORT`, which the starting process reads. Port 0 picks a free port.
    auto start(const std::string &address, std::uint16_t port) -> void;

private:
    using tcp = boost::asio::ip::tcp;

    auto openListener() -> void;
    auto acceptAll() -> void_awaitable;
    auto serve(tcp::socket socket) -> void_awaitable;
    auto serveRequests(beast::tcp_stream &stream) -> void_awaitable;
    auto control(http_exchange &exchange) -> void_awaitable;
    auto replaceFaults(const boost::json::value &document) -> http_reply;
    /// Closes the listener and all connections, and opens the listener again after \p milliseconds.
    auto refuseConnections(std::int64_t milliseconds) -> void_awaitable;

    boost::asio::io_context &m_context;
    Standin &m_standin;
    standin_context &m_shared;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::set<beast::tcp_stream *> m_openStreams;
};

} // namespace standins

#include "http_server.inl"
