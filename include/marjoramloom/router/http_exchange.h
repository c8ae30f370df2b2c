#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/header_field.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/router/memory_budget.h"
#include "marjoramloom/router/output_queue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marjoramloom {

/// A complete response, not yet sent.
struct http_reply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// One request on a caller's or operator's connection, and the functions that answer it.
///
/// Not thread safe; call on the connection's strand. Exactly one answer is sent, in one of these ways:
/// - reply() or relayComplete() sends a complete response.
/// - startEvents() begins an event stream. writeEvent() follows, and then finishEvents() or abortEvents().
/// - beginRelay() begins a chunked response. relayChunk() follows, and then finishRelay() or abortEvents().
/// - closeWithoutAnswer() sends nothing.
class http_exchange
{
public:
    using request_type = boost::beast::http::request<boost::beast::http::string_body>;

    /// Preconditions: \p stream and \p memory outlive the exchange. \p longFields are the fields that \p request could
    /// not hold.
    http_exchange(boost::beast::tcp_stream &stream, connection_memory &memory, request_type request, std::string peer,
                  duration writeTimeout, long_fields longFields = {});
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    auto operator=(const http_exchange &) -> http_exchange & = delete;

    [[nodiscard]] auto request() const -> const request_type &;

    /// Fields of the request that are too long for request().
    [[nodiscard]] auto longFields() const -> const long_fields &;

    /// Path and query of the request.
    [[nodiscard]] auto target() const -> std::string_view;

    /// Returns the value of a header, or an empty text if it is absent.
    [[nodiscard]] auto header(std::string_view name) const -> std::string_view;

    /// Address of the client.
    [[nodiscard]] auto peer() const -> const std::string &;

    /// Returns the token of `Authorization: Bearer`, or an empty text if it is absent.
    [[nodiscard]] auto bearerToken() const -> std::string_view;

    /// The memory that the connection holds.
    [[nodiscard]] auto memory() -> connection_memory &;

    /// Makes the connection close after this answer.
    auto closeAfterAnswer() -> void;

    /// Records whether this is the first request of its connection.
    auto setFirst(bool isFirst) -> void
    {
        m_isFirst = isFirst;
    }

    /// Whether this is the first request of its connection.
    [[nodiscard]] auto isFirst() const -> bool
    {
        return m_isFirst;
    }

    /// Sends a complete response. Returns false if the write failed: the caller disconnected or the write timed out.
    auto reply(http_reply answer) -> boost::asio::awaitable<bool>;

    /// Sends the head of a chunked `text/event-stream` response. Returns false if the write failed.
    auto startEvents(std::vector<std::pair<std::string, std::string>> headers) -> boost::asio::awaitable<bool>;

    /// Sends one chunk. Returns false if the write failed. Precondition: startEvents() was called.
    auto writeEvent(std::string text) -> boost::asio::awaitable<bool>;

    /// Ends the chunked body. Returns false if the write failed.
    auto finishEvents() -> boost::asio::awaitable<bool>;

    /// Closes the connection without ending the chunked body, so that the caller detects that the answer is incomplete.
    auto abortEvents() -> void;

    /// Begins a response that is forwarded in chunks. The head is sent together with the first chunk.
    auto beginRelay(const boost::beast::http::response_header<> &head) -> void;

    /// Sends \p data as one chunk, after the head if that is not sent yet. Returns once it is sent or queued; waits
    /// only if the caller has left too much unread. Returns false if the write failed. Precondition: beginRelay() was
    /// called.
    auto relayChunk(std::string_view data) -> boost::asio::awaitable<bool>;

    /// Waits until all chunks are sent, for example before abortEvents(). Returns false if a write failed.
    auto flushRelay() -> boost::asio::awaitable<bool>;

    /// Ends the response that beginRelay() began. Returns false if the write failed.
    auto finishRelay() -> boost::asio::awaitable<bool>;

    /// Forwards a response with \p head and the complete \p body. Returns false if the write failed.
    auto relayComplete(const boost::beast::http::response_header<> &head, std::string_view body)
        -> boost::asio::awaitable<bool>;

    /// Whether the caller has closed its side of the connection. While a pipelined request is unread, this cannot be
    /// seen and the result is false.
    [[nodiscard]] auto isCallerDisconnected() -> bool;

    /// Closes the connection without an answer. Precondition: answered() is false.
    auto closeWithoutAnswer() -> void;

    /// Completes when the caller closes its side of the connection.
    auto waitForCallerDisconnect() -> boost::asio::awaitable<void>;

    /// Whether an answer was begun, or the connection closed without one.
    [[nodiscard]] auto answered() const -> bool;

    /// Whether the connection can serve another request after this one.
    [[nodiscard]] auto reusable() const -> bool;

private:
    auto write(std::string text, std::string_view body = {}) -> boost::asio::awaitable<bool>;
    auto output() -> output_queue &;

    boost::beast::tcp_stream &m_stream;
    connection_memory &m_memory;
    request_type m_request;
    long_fields m_longFields;
    std::string m_peer;
    duration m_writeTimeout;
    bool m_answered = false;
    bool m_isFirst = true;
    bool m_reusable = true;
    std::shared_ptr<output_queue> m_output; ///< Null until a part of a relayed response is sent.
    std::string m_unsentHead; ///< Head of a relayed response, until the first chunk is sent.
};

/// Returns the JSON body of an error response, with the kind, step, peer and detail of \p why. Thread safe.
auto errorBody(const last_reason &why) -> std::string;

/// Returns the HTTP status code for a failure of \p kind. Thread safe.
auto statusOf(failure_kind kind) -> unsigned;

/// Returns the response to a request that was not read because there was no room for it: 503 with Retry-After. Thread
/// safe.
auto refuseForMemory() -> http_reply;

/// Returns the error response for \p why. Thread safe.
auto errorReply(const last_reason &why) -> http_reply;

} // namespace marjoramloom
