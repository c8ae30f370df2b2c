#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace marjoramloom::test {

/// A client connection that can send arbitrary bytes. Calls block. Not thread safe.
class raw_connection
{
public:
    /// Connects to \p address, which has the form IP:port. Throws boost::system::system_error if that fails.
    explicit raw_connection(const std::string &address);

    /// Throws boost::system::system_error if the peer has closed the connection.
    auto send(const std::string &bytes) -> void;

    /// Sends \p bytes until the peer closes the connection or \p limit bytes are sent. Returns the number of bytes
    /// sent.
    auto sendRepeatedly(const std::string &bytes, std::size_t limit) -> std::size_t;

    auto closeSending() -> void;

    /// Reads until the peer closes the connection.
    auto readAll() -> std::string;

    /// Reads \p size bytes at most; fewer where the peer closes the connection.
    auto read(std::size_t size) -> std::string;

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};

} // namespace marjoramloom::test
