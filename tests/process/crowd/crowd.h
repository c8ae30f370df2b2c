#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <string>

namespace marjoramloom::test {

/// Many client connections to one address. Each one sends bytes that do not make up a complete request, or reads no
/// answer, and then stays open. A client whose connection is closed does not come back. Not thread safe.
class crowd
{
public:
    explicit crowd(const std::string &address);
    ~crowd();
    crowd(const crowd &) = delete;
    auto operator=(const crowd &) -> crowd & = delete;

    /// Adds \p count clients. Each one sends \p head, then \p block \p repeats times, and then nothing more.
    auto addSenders(int count, std::string head, std::string block, int repeats) -> void;

    /// Adds \p count clients that send \p bytes one by one, with a pause after each.
    auto addSlowSenders(int count, std::string bytes) -> void;

    /// Adds \p count clients that connect and send nothing.
    auto addSilent(int count) -> void;

    /// Adds \p count clients. Each one sends one request with an id that starts with \p id, and reads nothing.
    auto addNonReaders(int count, const std::string &id) -> void;

    /// Runs the clients until all of them have sent their bytes or lost their connections, and some time longer, so
    /// that the peer reads what was sent.
    auto run() -> void;

private:
    using tcp = boost::asio::ip::tcp;

    /// What one client sends.
    struct script
    {
        std::string head;
        std::string block;
        int repeats = 0;
        bool pauses = false; ///< Sends byte by byte, with pauses.
        bool smallReceiveBuffer = false;
    };

    auto add(int count, script sent) -> void;
    auto play(tcp::socket &socket, const script &sent) -> boost::asio::awaitable<void>;
    auto send(tcp::socket &socket, const script &sent) -> boost::asio::awaitable<void>;

    boost::asio::io_context m_context;
    tcp::endpoint m_endpoint;
    std::deque<script> m_scripts;
    std::deque<tcp::socket> m_sockets;
    int m_sending = 0;
};

} // namespace marjoramloom::test
