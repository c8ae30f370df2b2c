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
using nothing_awaitable = boost::asio::awaitable<void>;

/// A whole answer.
struct http_reply
{
    http::status status = http::status::ok;
    std::string body = "{}";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
};

/// Moved on by the freeze_open fault: connections that were open by then fall silent for good.
struct freeze_epoch
{
    std::uint64_t value = 0;
};

/// One request on one connection, and the ways to answer it. Not thread safe.
class http_exchange
{
public:
    http_exchange(beast::tcp_stream &stream, http::request<http::string_body> request, const freeze_epoch &epoch,
                  std::uint64_t openedAt);

    [[nodiscard]] auto method() const -> std::string;
    [[nodiscard]] auto path() const -> const std::string &;
    [[nodiscard]] auto query(const std::string &key) const -> std::string;
    [[nodiscard]] auto header(std::string_view name) const -> std::string;
    [[nodiscard]] auto body() const -> const std::string &;
    [[nodiscard]] auto subject(std::string key) const -> fault_subject;
    [[nodiscard]] auto entry() const -> execution_entry;

    /// Sends a whole answer.
    auto reply(http_reply answer) -> nothing_awaitable;

    /// Sends the header of a chunked answer.
    auto startStream(std::string contentType, std::vector<std::pair<std::string, std::string>> headers = {})
        -> nothing_awaitable;
    auto writePiece(std::string piece) -> nothing_awaitable;
    auto finishStream() -> nothing_awaitable;

    /// Closes the connection at once.
    auto close() -> void;

    /// Never returns; the connection stays open without a word.
    auto fallSilent() -> nothing_awaitable;

    /// Suspends for \p milliseconds.
    auto pause(std::int64_t milliseconds) -> nothing_awaitable;

    /// Whether the connection can take another request.
    [[nodiscard]] auto keepAlive() const -> bool;

private:
    auto silentIfFrozen() -> nothing_awaitable;

    beast::tcp_stream &m_stream;
    http::request<http::string_body> m_request;
    const freeze_epoch &m_epoch;
    std::uint64_t m_openedAt;
    std::string m_path;
    std::map<std::string, std::string> m_query;
    bool m_closed = false;
};

/// Suspends the calling coroutine for \p milliseconds.
auto sleepFor(std::int64_t milliseconds) -> nothing_awaitable;

} // namespace standins
