#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/last_reason.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjoramloom {

/// A whole response of a handler.
struct http_reply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// One request on a caller's or operator's connection, and the ways to answer it.
///
/// Belongs to its connection's strand; not thread safe. Exactly one answer is sent: reply(), or startEvents() with
/// writeEvent() and one of finishEvents() and abandonEvents().
class http_exchange
{
public:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    /// Preconditions: \p stream and \p buffer outlive the exchange.
    http_exchange(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, request_type request,
                  std::string peer, duration writeTimeout);

    [[nodiscard]] auto request() const -> const request_type &;

    /// Path and query of the request.
    [[nodiscard]] auto target() const -> std::string_view;

    /// A header's value, empty where absent.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;

    /// Address of the other side.
    [[nodiscard]] auto peer() const -> const std::string &;

    /// The token of `Authorization: Bearer`, empty where absent.
    [[nodiscard]] auto bearerToken() const -> std::string_view;

    /// Closes the connection after this answer.
    auto closeAfterwards() -> void;

    /// Sends a whole response. False: the caller is gone.
    auto reply(http_reply answer) -> boost::asio::awaitable<bool>;

    /// Sends the head of a chunked `text/event-stream` response.
    auto startEvents(std::vector<std::pair<std::string, std::string>> headers) -> boost::asio::awaitable<bool>;

    /// Sends one chunk. Precondition: startEvents() was called. False: the caller is gone.
    auto writeEvent(std::string text) -> boost::asio::awaitable<bool>;

    /// Ends the chunked body.
    auto finishEvents() -> boost::asio::awaitable<bool>;

    /// Closes the connection without ending the chunked body, so that the caller sees that the answer is unfinished.
    auto abandonEvents() -> void;

    /// Begins an answer that is passed on piece by piece, as chunks. Nothing is sent before the first piece.
    auto relayHead(const boost::beast::http::response_header<> &head) -> void;

    /// Sends \p piece, behind the head where that is still to be sent. Precondition: relayHead() was called. False: the
    /// caller is gone.
    auto relayPiece(std::string_view piece) -> boost::asio::awaitable<bool>;

    /// Ends the answer that relayHead() began.
    auto relayEnd() -> boost::asio::awaitable<bool>;

    /// Sends \p head with the whole \p body.
    auto relayWhole(const boost::beast::http::response_header<> &head, std::string_view body)
        -> boost::asio::awaitable<bool>;

    /// Whether the caller has closed its side by now. A caller that sent another request behind counts as present.
    [[nodiscard]] auto callerIsGone() -> bool;

    /// Closes the connection without an answer. Precondition: no answer was begun.
    auto drop() -> void;

    /// Completes once the caller closed its side of the connection.
    auto waitForCallerToLeave() -> boost::asio::awaitable<void>;

    /// True once any part of an answer was sent.
    [[nodiscard]] auto answered() const -> bool;

    /// True where the connection can take another request.
    [[nodiscard]] auto reusable() const -> bool;

private:
    auto write(std::string text) -> boost::asio::awaitable<bool>;

    boost::beast::tcp_stream &m_stream;
    boost::beast::flat_buffer &m_buffer;
    request_type m_request;
    std::string m_peer;
    duration m_writeTimeout;
    bool m_answered = false;
    bool m_reusable = true;
    std::string m_unsentHead;
};

/// Body of an error response: kind, step, peer and detail of \p why. Thread safe.
auto errorBody(const last_reason &why) -> std::string;

/// HTTP status that fits \p kind. Thread safe.
auto statusOf(failure_kind kind) -> unsigned;

/// An error response for \p why. Thread safe.
auto errorReply(const last_reason &why) -> http_reply;

} // namespace marjoramloom
