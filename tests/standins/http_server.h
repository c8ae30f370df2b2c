#pragma once

#include "http_exchange.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/json.hpp>
#include <concepts>
#include <iostream>
#include <set>

namespace standins {

/// What every stand-in has: its faults and its record.
struct standin_context
{
    fault_set faults;
    execution_record record;
    freeze_epoch epoch;
};

/// A stand-in answers requests, and may have control paths of its own.
template<typename Standin>
concept http_standin = requires(Standin &standin, http_exchange &exchange, const boost::json::value &document)
{
    {
        standin.handle(exchange)
        } -> std::same_as<nothing_awaitable>;
    {
        standin.control(exchange, document)
        } -> std::same_as<http_reply>;
};

/// Listener and connections of one stand-in, all on one thread.
template<http_standin Standin>
class http_server
{
public:
    http_server(boost::asio::io_context &context, Standin &standin, standin_context &shared);

    /// Opens the listener and prints `listening IP:PORT`.
    auto start(const std::string &address, std::uint16_t port) -> void;

private:
    using tcp = boost::asio::ip::tcp;

    auto open() -> void;
    auto acceptAll() -> nothing_awaitable;
    auto serve(tcp::socket socket) -> nothing_awaitable;
    auto serveRequests(beast::tcp_stream &stream) -> nothing_awaitable;
    auto control(http_exchange &exchange) -> nothing_awaitable;
    auto replaceFaults(const boost::json::value &document) -> http_reply;
    auto refuseConnections(std::int64_t milliseconds) -> nothing_awaitable;

    boost::asio::io_context &m_context;
    Standin &m_standin;
    standin_context &m_shared;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_endpoint;
    std::set<beast::tcp_stream *> m_open;
};

} // namespace standins

#include "http_server.inl"
