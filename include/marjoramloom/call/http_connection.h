#pragma once

#include "marjoramloom/call/operation_timeout.h"
#include "marjoramloom/core/last_reason.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// One HTTP/1.1 connection to a backend server, with a timeout on every operation.
///
/// Used by one coroutine at a time, on the executor given to bindExecutor(); not thread safe.
class http_connection
{
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    /// Creates a connection that is not open yet. \p peer is IP:port.
    http_connection(const boost::asio::any_io_executor &executor, std::string peer);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    auto operator=(const http_connection &) -> http_connection & = delete;

    /// Opens the connection. If it returns false (why: notSent), nothing was sent.
    auto connect(duration limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Sends all of \p message, and \p extraFields, which are complete header lines, after its fields. Preconditions:
    /// the connection is open and the previous answer ended cleanly; \p message is not chunked.
    auto send(const request &message, duration limit, last_reason &why, std::string extraFields = {})
        -> boost::asio::awaitable<bool>;

    /// Sends the head of \p message with \p body in place of its own, which is not copied. \p body outlives the call.
    auto sendWithBody(const request &message, std::string_view body, duration limit, last_reason &why,
                      std::string extraFields) -> boost::asio::awaitable<bool>;

    /// Reads the head of the answer, and skips interim (1xx) answers. Precondition: send() succeeded.
    auto readHead(duration limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Reads the next bytes of the answer's body. The result is valid until the next call and empty at the end of the
    /// body. Precondition: readHead() succeeded.
    auto readPart(duration limit, last_reason &why) -> boost::asio::awaitable<std::optional<std::string_view>>;

    /// Reads the rest of the answer's body within \p limit; fails if it exceeds \p sizeLimit bytes. Precondition:
    /// readHead() succeeded.
    auto readRest(std::size_t sizeLimit, duration limit, last_reason &why)
        -> boost::asio::awaitable<std::optional<std::string>>;

    /// Reads the rest of the answer's body like readRest(), and drops it.
    auto skipRest(std::size_t sizeLimit, duration limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Passes the rest of the answer's body to \p accept, part by part, within \p limit. Fails once \p accept returns
    /// false because the answer is too large. Precondition: readHead() succeeded.
    auto readAllParts(std::function<bool(std::string_view)> accept, duration limit, last_reason &why)
        -> boost::asio::awaitable<bool>;

    /// Head of the answer, valid until the next send(). Precondition: readHead() succeeded.
    /// The bytes that were received and not parsed yet, with the framing of the answer. Valid until the next call.
    [[nodiscard]] auto bufferedInput() const -> std::string_view;

    [[nodiscard]] auto head() const -> const boost::beast::http::response_header<> &;

    /// Maximum idle time after which the connection may be reused; 0 if it may not be reused.
    auto setIdleLimit(duration limit) -> void;
    [[nodiscard]] auto idleLimit() const -> duration;

    /// HTTP status of the answer. Precondition: readHead() succeeded.
    [[nodiscard]] auto status() const -> unsigned;

    /// Value of a header of the answer; empty if absent. Precondition: readHead() succeeded.
    [[nodiscard]] auto header(std::string_view name) const -> std::string;

    /// Whether the end of the connection is the only sign of the answer's end: it has neither a length nor chunks.
    /// Precondition: readHead() succeeded.
    [[nodiscard]] auto endsWithConnection() const -> bool;

    /// Whether any byte of a request may have been sent on this connection.
    [[nodiscard]] auto anythingSent() const -> bool;

    /// Whether the answer was read to its end and the connection can carry another request.
    [[nodiscard]] auto endedCleanly() const -> bool;

    /// Whether an idle connection is still open and the peer has sent no unsolicited data.
    [[nodiscard]] auto isIdleAndOpen() -> bool;

    /// Closes the socket; an operation in progress fails.
    auto interrupt() -> void;

    /// Runs the timeouts on \p executor, which is that of the coroutine that uses the connection next. Precondition: no
    /// operation is in progress, and unbindExecutor() was called.
    auto bindExecutor(const boost::asio::any_io_executor &executor) -> void;

    /// Stops the timeouts. Call on the executor that was bound last.
    auto unbindExecutor() -> void;

    [[nodiscard]] auto peer() const -> const std::string &;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    auto fail(std::string_view step, const boost::system::error_code &error, last_reason &why) -> void;

    static constexpr std::size_t PART_BYTES = 16 * 1024;
    /// Limit of the bytes that are buffered for the parser: heads, chunk headers and trailers must be shorter.
    static constexpr std::size_t MAX_BUFFERED_BYTES = 64 * 1024;
    /// Interim (1xx) answers that may precede an answer.
    static constexpr std::size_t MAX_INTERIM_HEADS = 16;
    /// TCP_USER_TIMEOUT: detects a peer host that lost power, which sends no reset.
    static constexpr std::chrono::milliseconds UNACKNOWLEDGED_LIMIT{ 1'500 };

    std::string m_peer;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<operation_timeout> m_timeout;
    bool m_anythingSent = false;
    bool m_expectsNoBody = false; ///< The answer to a HEAD request has no body, even if its Content-Length is set.
    duration m_idleLimit = duration::max();
    boost::beast::flat_buffer m_buffer{ MAX_BUFFERED_BYTES };
    std::optional<parser> m_parser;
    std::array<char, PART_BYTES> m_part;
};

} // namespace marjoramloom
