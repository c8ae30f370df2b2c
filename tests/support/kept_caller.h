#pragma once

#include "support/http_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace marjoramloom::test {

/// A caller that keeps its connection until the other side closes it. Blocks; not thread safe.
class kept_caller
{
public:
    explicit kept_caller(std::string address);

    /// One request; a new connection is made where the old one is closed.
    auto call(const http_request &request) -> http_answer;

private:
    auto exchange(const http_request &request, http_answer &answer) -> boost::asio::awaitable<void>;

    std::string m_address;
    boost::asio::io_context m_context{ 1 };
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace marjoramloom::test
