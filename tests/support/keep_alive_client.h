#pragma once

#include "support/http_call.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace marjoramloom::test {

/// HTTP client that reuses one connection until the server closes it. Calls block. Not thread safe.
class keep_alive_client
{
public:
    explicit keep_alive_client(std::string address);

    /// Sends a request and waits for the response. Opens a new connection if there is none.
    auto call(const http_request &request) -> http_answer;

private:
    auto exchange(const http_request &request, http_answer &answer) -> boost::asio::awaitable<void>;

    std::string m_address;
    boost::asio::io_context m_context{ 1 };
    std::optional<boost::beast::tcp_stream> m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace marjoramloom::test
