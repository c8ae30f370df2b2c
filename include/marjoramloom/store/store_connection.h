#pragma once

#include "marjoramloom/core/last_reason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace marjoramloom {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/// What is known of a request that got no response.
enum class sent_state {
    notSent, ///< It is certain that no byte was handed to the network.
    maybeSent,
};

/// One HTTP/1.1 client connection. One coroutine may use it at a time, on any executor, because the I/O runs on the
/// connection's own strand.
class store_connection : public std::enable_shared_from_this<store_connection>
{
public:
    /// Precondition: \p address is "IP:port".
    store_connection(const boost::asio::any_io_executor &executor, std::string address);

    /// Opens the connection within \p limit. On failure returns false and sets \p why, with the kind notSent unless the
    /// address is malformed.
    auto connect(std::chrono::milliseconds limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Sends \p request and reads the whole response within \p limit. Where no response is returned, \p sent says
    /// whether the peer may have received the request, and the connection must not be used again. Precondition:
    /// connected.
    auto exchange(http_request request, std::chrono::milliseconds limit, sent_state &sent, last_reason &why)
        -> boost::asio::awaitable<std::optional<http_response>>;

    /// Whether an idle connection can be reused: the peer has neither closed it nor sent unexpected bytes.
    [[nodiscard]] auto isReusable() -> bool;

    [[nodiscard]] auto address() const -> const std::string &
    {
        return m_address;
    }

private:
    auto connectOnStrand(std::chrono::milliseconds limit, last_reason &why) -> boost::asio::awaitable<bool>;
    auto exchangeOnStrand(http_request request, std::chrono::milliseconds limit, sent_state &sent, last_reason &why)
        -> boost::asio::awaitable<std::optional<http_response>>;

    /// Limit of the bytes that are buffered for the parser: heads, chunk headers and trailers must be shorter.
    static constexpr std::size_t MAX_BUFFERED_BYTES = 64 * 1024;

    std::string m_address;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer{ MAX_BUFFERED_BYTES };
};

} // namespace marjoramloom
