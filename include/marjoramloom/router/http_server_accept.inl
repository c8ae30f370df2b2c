#pragma once

// The part of http_server that accepts or refuses connections.

#include "marjoramloom/core/endpoint.h"
#include "marjoramloom/core/event_loop.h"
#include "marjoramloom/core/log.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace marjoramloom {

/// Backlog of the listening socket. An overloaded router accepts some hundred connections a second, and a caller that
/// is not accepted within a second retries on another router. In a longer backlog, callers would wait without an
/// answer.
constexpr int listenBacklog = 128;
/// Connections accepted in one iteration of the event loop: several, so that an overloaded server still accepts new
/// ones, but no more than leave time for those that are open.
constexpr std::size_t maxAcceptBatch = 32;
/// Time for which nothing is accepted after a connection was refused.
constexpr auto refusalPause = std::chrono::milliseconds(2);
/// A refused connection is read once, with this many bytes at most.
constexpr std::size_t refusedReadBytes = 64U << 10U;
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

template<http_handler Handler>
auto http_server<Handler>::listen(const std::string &address, last_reason &why) -> std::optional<std::uint16_t>
{
    const auto endpoint = parseEndpoint(address, why);
    if (!endpoint) {
        return std::nullopt;
    }
    auto error = boost::system::error_code();
    m_acceptor.open(endpoint->protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
        m_acceptor.bind(*endpoint, error);
    }
    if (!error) {
        // Accepted sockets inherit the option.
        m_acceptor.set_option(tcp::no_delay(true), error);
        m_acceptor.listen(listenBacklog, error);
        m_protocol = endpoint->protocol();
    }
    if (error) {
        return why.fail(failure_kind::unavailable, "listen", address, error.message());
    }
    runTask(m_acceptor.get_executor(), "accept", m_counters,
            [self = this->shared_from_this()] { return self->acceptLoop(); });
    return m_acceptor.local_endpoint().port();
}

template<http_handler Handler>
auto http_server<Handler>::acceptLoop() -> boost::asio::awaitable<void>
{
    auto error = boost::system::error_code();
    auto pause = boost::asio::steady_timer(m_acceptor.get_executor());
    m_acceptor.non_blocking(true, error);
    while (!m_stopping) {
        co_await m_acceptor.async_wait(tcp::acceptor::wait_read,
                                       boost::asio::redirect_error(boost::asio::use_awaitable, error));
        for (auto accepted = std::size_t(0); !error && accepted < maxAcceptBatch; ++accepted) {
            const auto descriptor = ::accept(m_acceptor.native_handle(), nullptr, nullptr);
            if (descriptor < 0) {
                const auto isOfOneConnection = errno == EINTR || errno == ECONNABORTED;
                error = isOfOneConnection ? error : boost::system::error_code(errno, boost::system::system_category());
                continue;
            }
            const auto result = m_connectionGate ? m_connectionGate(descriptor) : connection_gate_result::serve;
            if (result == connection_gate_result::refuse) {
                refuseConnection(descriptor);
                pause.expires_after(refusalPause);
                co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
                break;
            } else if (result == connection_gate_result::serve) {
                auto socket = tcp::socket(makeExecutor());
                socket.assign(m_protocol, descriptor, error);
                if (error) {
                    ::close(descriptor);
                } else if (!m_registry.makeRoom(m_limits.maxConnections)) {
                    m_connectionsOverLimit.add();
                } else {
                    spawnConnection(std::move(socket));
                }
            }
        }
        if (error && error != boost::asio::error::would_block) {
            log_line(log_level::warning, "accept_failed").with("listener", m_name).with("reason", error.message());
            pause.expires_after(acceptRetryDelay);
            co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        }
    }
}

/// Closes a connection without the cost of its registration with the event loop.
template<http_handler Handler>
auto http_server<Handler>::refuseConnection(int descriptor) -> void
{
    m_refusedConnections.add();
    if (m_refusalWriter) {
        thread_local auto buffer = std::array<char, refusedReadBytes>();
        const auto peeked = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT | MSG_PEEK);
        const auto answer =
            peeked > 0 ? m_refusalWriter({ buffer.data(), static_cast<std::size_t>(peeked) }) : std::string();
        if (!answer.empty()) {
            // A connection that is closed with unread bytes is reset, and the caller may lose the answer by that.
            ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
            ::send(descriptor, answer.data(), answer.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        }
    }
    ::close(descriptor);
}

template<http_handler Handler>
auto http_server<Handler>::makeExecutor() const -> boost::asio::any_io_executor
{
    if (m_concurrency == session_concurrency::singleThread) {
        return m_context.get_executor();
    }
    return boost::asio::make_strand(m_context);
}

template<http_handler Handler>
auto http_server<Handler>::spawnConnection(tcp::socket socket) -> void
{
    auto executor = socket.get_executor();
    auto connection = std::make_shared<tcp::socket>(std::move(socket));
    boost::asio::co_spawn(
        executor, [self = this->shared_from_this(), connection] { return self->serve(std::move(*connection)); },
        boost::asio::detached);
}

} // namespace marjoramloom
