#pragma once

#include "marjoramloom/call/step_limit.h"
#include "marjoramloom/core/last_reason.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// One HTTP/1.1 connection to a backend server, with a time limit on every step.
///
/// Used by one coroutine at a time, on the executor given to adopt(); not thread safe.
class http_connection
{
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    /// A connection that is not open yet. \p peer is IP:port.
    http_connection(const boost::asio::any_io_executor &executor, std::string peer);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    auto operator=(const http_connection &) -> http_connection & = delete;

    /// Opens the connection. False (why: notSent) proves that nothing was sent.
    auto connect(duration limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Sends \p message whole. Precondition: the connection is open and the answer before it ended cleanly.
    auto send(const request &message, duration limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// Reads the head of the answer, past any interim ones. Precondition: send() succeeded.
    auto readHead(duration limit, last_reason &why) -> boost::asio::awaitable<bool>;

    /// The next bytes of the answer's body, valid until the next call; empty at its end. Precondition: readHead()
    /// succeeded.
    auto readPart(duration limit, last_reason &why) -> boost::asio::awaitable<std::optional<std::string_view>>;

    /// The rest of the answer's body, up to \p sizeLimit bytes, within \p limit. Precondition: readHead() succeeded.
    auto readRest(std::size_t sizeLimit, duration limit, last_reason &why)
        -> boost::asio::awaitable<std::optional<std::string>>;

    /// Head of the answer, valid until the next send(). Precondition: readHead() succeeded.
    [[nodiscard]] auto head() const -> const boost::beast::http::response_header<> &;

    /// How long the connection may stay idle and still be used again; 0 for not at all.
    auto limitIdle(duration limit) -> void;
    [[nodiscard]] auto idleLimit() const -> duration;

    /// Status of the answer. Precondition: readHead() succeeded.
    [[nodiscard]] auto status() const -> unsigned;

    /// Value of a header of the answer, empty where absent. Precondition: readHead() succeeded.
    [[nodiscard]] auto header(std::string_view name) const -> std::string;

    /// Whether any byte of a request may have left on this connection.
    [[nodiscard]] auto anythingSent() const -> bool;

    /// Whether the answer ended as it should, so that the connection can carry another request.
    [[nodiscard]] auto endedCleanly() const -> bool;

    /// Whether the peer has neither closed an idle connection nor sent anything unasked.
    [[nodiscard]] auto idleAndOpen() -> bool;

    /// Closes the socket; a step that is under way fails.
    auto interrupt() -> void;

    /// Binds the time limits to the coroutine that takes the connection over. Precondition: no step is under way, and
    /// release() was called.
    auto adopt(const boost::asio::any_io_executor &executor) -> void;

    /// Unbinds the time limits. Call on the executor that was adopted last.
    auto release() -> void;

    [[nodiscard]] auto peer() const -> const std::string &;

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    auto fail(std::string_view step, const boost::system::error_code &error, last_reason &why) -> void;

    static constexpr std::size_t PART_BYTES = 16 * 1024;
    /// Unacknowledged bytes end the connection after this long: a peer without power answers nothing at all.
    static constexpr std::chrono::milliseconds UNACKNOWLEDGED_LIMIT{ 1'500 };

    std::string m_peer;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<step_limit> m_limit;
    bool m_anythingSent = false;
    bool m_expectsNoBody = false; ///< The answer to a HEAD request has none, whatever its head says.
    duration m_idleLimit = duration::max();
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    std::array<char, PART_BYTES> m_part;
};

} // namespace marjoramloom
