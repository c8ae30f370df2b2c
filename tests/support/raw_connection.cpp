#include "support/raw_connection.h"

#include "marjoramloom/core/endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace marjoramloom::test {

raw_connection::raw_connection(const std::string &address)
    : m_socket(m_context)
{
    auto why = last_reason();
    m_socket.connect(*parseEndpoint(address, why));
}

auto raw_connection::send(const std::string &bytes) -> void
{
    boost::asio::write(m_socket, boost::asio::buffer(bytes));
}

auto raw_connection::sendRepeatedly(const std::string &bytes, std::size_t limit) -> std::size_t
{
    auto sent = std::size_t(0);
    auto error = boost::system::error_code();
    while (!error && sent < limit) {
        sent += boost::asio::write(m_socket, boost::asio::buffer(bytes), error);
    }
    return sent;
}

auto raw_connection::closeSending() -> void
{
    auto error = boost::system::error_code();
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
}

auto raw_connection::readAll() -> std::string
{
    auto bytes = std::string();
    auto error = boost::system::error_code();
    boost::asio::read(m_socket, boost::asio::dynamic_buffer(bytes), error);
    return bytes;
}

auto raw_connection::read(std::size_t size) -> std::string
{
    auto bytes = std::string(size, '\0');
    auto error = boost::system::error_code();
    bytes.resize(boost::asio::read(m_socket, boost::asio::buffer(bytes), error));
    return bytes;
}

} // namespace marjoramloom::test
