#pragma once

#include "marjoramloom/gateway/traffic/connection_tunnel.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace marjoramloom::test {

constexpr auto patience = std::chrono::seconds(5);

/// Polls without handling events of the tunnel.
inline auto waitFor(const std::function<bool()> &condition) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return true;
}

/// One end of a tunnel, as its user sees it. Calls do not block.
class tunnel_end
{
public:
    explicit tunnel_end(boost::asio::ip::tcp::socket &&socket)
        : m_socket(std::move(socket))
    {
        m_socket.non_blocking(true);
    }

    /// Sends what the system takes of \p bytes from \p offset on.
    auto send(const std::string &bytes, std::size_t &offset) -> void
    {
        auto error = boost::system::error_code();
        while (!error && offset < bytes.size()) {
            offset += m_socket.write_some(boost::asio::buffer(bytes.data() + offset, bytes.size() - offset), error);
        }
    }

    auto send(const std::string &bytes) -> void
    {
        auto offset = std::size_t(0);
        send(bytes, offset);
        BOOST_REQUIRE_EQUAL(offset, bytes.size());
    }

    /// Reads \p limit bytes at most into `received`.
    auto read(std::size_t limit = std::size_t(1) << 20U) -> void
    {
        auto buffer = std::string(limit, '\0');
        auto error = boost::system::error_code();
        received.append(buffer.data(), m_socket.read_some(boost::asio::buffer(buffer), error));
        ended = ended || error == boost::asio::error::eof;
        isReset = isReset || error == boost::asio::error::connection_reset;
    }

    auto readUntilEnd() -> bool
    {
        read();
        return ended || isReset;
    }

    auto closeSending() -> void
    {
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }

    auto close() -> void
    {
        m_socket.close();
    }

    /// Closes so that the other side sees a reset.
    auto reset() -> void
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    /// Ends what this side sends, and waits until the system of the other side has received all of it.
    auto closeSendingAndWait() -> void
    {
        closeSending();
        BOOST_REQUIRE(waitFor([&] {
            auto info = tcp_info();
            auto size = static_cast<socklen_t>(sizeof(info));
            ::getsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
            return info.tcpi_state == TCP_FIN_WAIT2 || info.tcpi_state == TCP_TIME_WAIT || info.tcpi_state == TCP_CLOSE;
        }));
    }

    std::string received;
    bool ended = false;
    bool isReset = false;

private:
    boost::asio::ip::tcp::socket m_socket;
};

/// A tunnel between a caller and a router, on real sockets of the loopback interface.
class tunnel_rig
{
public:
    static constexpr std::uint64_t VERSION = 0x0102030405060708; ///< Of the configuration that a router needs.

    explicit tunnel_rig(memory_budget *budget = nullptr, int bufferBytes = 0)
        : m_bufferBytes(bufferBytes)
        , m_events(::epoll_create1(EPOLL_CLOEXEC))
    {
        auto socket = boost::asio::ip::tcp::socket(m_context);
        open(socket);
        socket.connect(m_callers.local_endpoint());
        auto accepted = m_callers.accept();
        tunnel = std::make_unique<connection_tunnel>(accepted.release(), budget);
        caller = std::make_unique<tunnel_end>(std::move(socket));
        if (bufferBytes > 0) {
            m_routers.set_option(boost::asio::socket_base::receive_buffer_size(bufferBytes));
            m_routers.set_option(boost::asio::socket_base::send_buffer_size(bufferBytes));
        }
    }
    ~tunnel_rig()
    {
        tunnel.reset();
        ::close(m_events);
    }
    tunnel_rig(const tunnel_rig &) = delete;
    auto operator=(const tunnel_rig &) -> tunnel_rig & = delete;

    auto connect(std::uint64_t id = 7) -> bool
    {
        return tunnel->connect(id, m_routers.local_endpoint(), VERSION, m_events);
    }

    /// Connects, accepts as the router and waits until the tunnel is open.
    auto open() -> void
    {
        BOOST_REQUIRE(connect());
        accept();
        BOOST_REQUIRE(pumpUntil([&] { return tunnel->current() == connection_tunnel::state::open; }));
    }

    /// Accepts as the router, and takes the tunnel with the opening of a configuration.
    auto accept(std::uint64_t version = VERSION) -> void
    {
        acceptOnly();
        const auto opening = connection_tunnel::makeOpening(version);
        router->send({ opening.data(), opening.size() });
    }

    /// Accepts as the system of a router whose process does not take the tunnel.
    auto acceptOnly() -> void
    {
        router = std::make_unique<tunnel_end>(m_routers.accept());
    }

    /// Closes the listener of the router, so that it refuses connections.
    auto refuseConnections() -> void
    {
        m_refused = m_routers.local_endpoint();
        m_routers.close();
    }

    auto connectToRefusing(std::uint64_t id) -> bool
    {
        return tunnel->connect(id, m_refused, VERSION, m_events);
    }

    auto listenAgain() -> void
    {
        m_routers = boost::asio::ip::tcp::acceptor(m_context, { boost::asio::ip::address_v4::loopback(), 0 });
    }

    /// Handles the events that have arrived.
    auto pump(int waitMs = 0) -> void
    {
        auto events = std::array<epoll_event, 8>();
        const auto count = ::epoll_wait(m_events, events.data(), static_cast<int>(events.size()), waitMs);
        for (auto index = 0; index < count; ++index) {
            const auto &event = events.at(static_cast<std::size_t>(index));
            tunnel->handle(*static_cast<const connection_tunnel::side *>(event.data.ptr), event.events);
        }
    }

    auto pumpUntil(const std::function<bool()> &condition) -> bool
    {
        const auto deadline = std::chrono::steady_clock::now() + patience;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= deadline) {
                return false;
            }
            pump(1);
        }
        return true;
    }

    std::unique_ptr<connection_tunnel> tunnel;
    std::unique_ptr<tunnel_end> caller;
    std::unique_ptr<tunnel_end> router; ///< Set by accept().

private:
    auto open(boost::asio::ip::tcp::socket &socket) const -> void
    {
        socket.open(boost::asio::ip::tcp::v4());
        if (m_bufferBytes > 0) {
            socket.set_option(boost::asio::socket_base::receive_buffer_size(m_bufferBytes));
            socket.set_option(boost::asio::socket_base::send_buffer_size(m_bufferBytes));
        }
    }

    int m_bufferBytes;
    int m_events;
    boost::asio::io_context m_context{ 1 };
    boost::asio::ip::tcp::acceptor m_callers{ m_context, { boost::asio::ip::address_v4::loopback(), 0 } };
    boost::asio::ip::tcp::acceptor m_routers{ m_context, { boost::asio::ip::address_v4::loopback(), 0 } };
    boost::asio::ip::tcp::endpoint m_refused;
};

} // namespace marjoramloom::test
