#pragma once

#include "execution_record.h"
#include "fault_set.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace standins {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using void_awaitable = boost::asio::awaitable<void>;

/// A complete response that is not streamed.
struct http_reply
{
    http::status status = http::status::ok;
    std::string body = "{}";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
};

/// Incremented by the freeze_open fault: connections opened in an earlier epoch send nothing any more.
struct freeze_epoch
{
    std::uint64_t value = 0;
};

/// One request on one connection, with the functions to answer it. Not thread safe.
class http_exchange
{
public:
    /// \p openedAt is the value of \p epoch when the connection was opened.
    http_exchange(beast::tcp_stream &stream, http::request<http::string_body> request, const freeze_epoch &epoch,
                  std::uint64_t openedAt);

    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto path() const -> const std::string &;
    [[nodiscard]] auto query(const std::string &key) const -> std::string;
    [[nodiscard]] auto header(std::string_view name) const -> std::string;
    [[nodiscard]] auto body() const -> const std::string &;

    /// This request, for comparison with the conditions of faults.
    [[nodiscard]] auto subject(std::string key) const -> fault_subject;

    /// This request as an entry of the execution record, without tokens and state.
    [[nodiscard]] auto entry() const -> execution_entry;

    /// Sets a header field of every complete response to this request.
    auto setCommonHeader(std::string name, std::string value) -> void;

    /// Sends a complete response. Does nothing after close().
    auto reply(http_reply answer) -> void_awaitable;

    /// Sends the header of a chunked response; writeChunk() and finishStream() send its body.
    auto startStream(std::string contentType, std::vector<std::pair<std::string, std::string>> headers = {})
        -> void_awaitable;
    auto writeChunk(std::string piece) -> void_awaitable;
    auto finishStream() -> void_awaitable;

    /// Closes the connection immediately.
    auto close() -> void;

    /// Never completes. The connection stays open and nothing is sent.
    auto stall() -> void_awaitable;

    /// Suspends for \p milliseconds.
    auto pause(std::int64_t milliseconds) -> void_awaitable;

    /// Whether the connection can be used for another request.
    [[nodiscard]] auto keepAlive() const -> bool;

private:
    /// Calls stall() if the freeze_open fault applies to the connection. Requests to /control/ are exempt.
    auto stallIfFrozen() -> void_awaitable;

    std::map<std::string, std::string> m_commonHeaders;
    beast::tcp_stream &m_stream;
    http::request<http::string_body> m_request;
    const freeze_epoch &m_epoch;
    std::uint64_t m_openedAt;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    bool m_closed = false;
};

/// Suspends the calling coroutine for \p milliseconds.
auto sleepFor(std::int64_t milliseconds) -> void_awaitable;

} // namespace standins
