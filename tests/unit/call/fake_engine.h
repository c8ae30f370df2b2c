#pragma once

#include "marjoramloom/core/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/array.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace marjoramloom::test {

/// Fault in the answer on one connection.
enum class engine_fault {
    none,
    close, ///< The connection is closed before event `at`.
    silence, ///< Nothing is sent from event `at` on; the connection stays open.
    repeat, ///< Event `at` is sent twice.
    drop, ///< Event `at` is left out.
    swap, ///< Event `at` is sent after its successor.
    crossId, ///< An event with another request's id is sent before event `at`.
    crossBody, ///< Event `at` carries another request's body under its own id.
    garbage, ///< Event `at` is not JSON.
    noMarker, ///< The connection is closed without the end marker.
    lateEvent, ///< An event of another request is sent after the complete answer.
    refuse, ///< Answered with 503 but without X-Leaving; not executed.
    dieAfter, ///< The engine calls die() before event `at`.
};

/// A fault and the sequence number of the event that it affects.
struct planned_fault
{
    engine_fault fault = engine_fault::none;
    std::uint64_t at = 0;
};

/// Tokens of the complete answer to \p messages. A last assistant message is a prefix of the answer and does not
/// influence it.
auto answerTokens(boost::json::array messages) -> std::vector<std::string>;

/// Text of the complete answer to a single user message.
auto answerText(const std::string &question) -> std::string;

/// Body of a completions request for \p question.
auto questionBody(const std::string &question, std::uint64_t maxTokens = 0) -> std::string;

/// A model engine in the test process, with one planned fault per answer that it sends.
class fake_engine
{
public:
    explicit fake_engine(boost::asio::io_context &context);
    ~fake_engine();

    [[nodiscard]] auto address() const -> std::string;

    /// Simulates a crash: closes the listener and all connections, and drops all streams.
    auto die() -> void;

    std::deque<planned_fault> faults; ///< Faults of the next answers, in order.
    bool leaving = false;
    duration firstEventDelay{}; ///< Applies to answers to POST.
    duration eventDelay{};
    std::vector<std::string> executed; ///< Ids of the requests that were started.
    std::vector<std::string> cancelled;
    std::size_t connections = 0; ///< Number of connections accepted so far.

private:
    using socket = boost::asio::ip::tcp::socket;
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    /// The answer to one request.
    struct stream
    {
        std::vector<std::string> tokens;
        std::string finishReason;
    };

    auto accept() -> boost::asio::awaitable<void>;
    auto serve(std::shared_ptr<socket> peer) -> boost::asio::awaitable<void>;
    auto answer(std::shared_ptr<socket> peer, request received) -> boost::asio::awaitable<bool>;
    auto start(const request &received) -> std::string;
    auto sendStatus(std::shared_ptr<socket> peer, unsigned status, bool leavingHeader, std::string body = "{}")
        -> boost::asio::awaitable<void>;
    auto sendStream(std::shared_ptr<socket> peer, std::string id, std::uint64_t from, planned_fault planned)
        -> boost::asio::awaitable<bool>;
    auto sendEvent(std::shared_ptr<socket> peer, std::string text) -> boost::asio::awaitable<bool>;
    auto pause(duration delay) -> boost::asio::awaitable<void>;
    auto nextFault() -> planned_fault;

    boost::asio::io_context &m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, stream> m_streams;
    std::vector<std::weak_ptr<socket>> m_sockets;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace marjoramloom::test
