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

/// What goes wrong with the answer on one connection, once.
enum class engine_fault {
    none,
    close, ///< The connection is closed before event `at`.
    silence, ///< Nothing more comes from event `at` on.
    repeat, ///< Event `at` comes twice.
    drop, ///< Event `at` is left out.
    swap, ///< Event `at` comes after its successor.
    crossId, ///< Before event `at` comes one with another request's id.
    crossBody, ///< Event `at` carries another request's body under its own id.
    garbage, ///< Event `at` is not JSON.
    noMarker, ///< The end marker is missing, and the body ends.
    lateEvent, ///< After the whole answer comes an event of another request.
    refuse, ///< 503 without a reason; not executed.
    dieAfter, ///< The engine closes everything and forgets its streams before event `at`.
};

struct planned_fault
{
    engine_fault fault = engine_fault::none;
    std::uint64_t at = 0;
};

/// The whole answer that an engine gives to \p messages, in tokens; a prefix of it in a last assistant message is not
/// part of the question.
auto answerTokens(boost::json::array messages) -> std::vector<std::string>;

/// As answerTokens(), for a user's one message.
auto answerText(const std::string &question) -> std::string;

/// A completions body that asks \p question.
auto questionBody(const std::string &question, std::uint64_t maxTokens = 0) -> std::string;

/// A model engine in the test's own process, with one planned fault per answer that it sends.
class fake_engine
{
public:
    explicit fake_engine(boost::asio::io_context &context);
    ~fake_engine();

    [[nodiscard]] auto address() const -> std::string;

    /// Refuses connections from now on, closes the open ones and forgets all streams.
    auto die() -> void;

    std::deque<planned_fault> faults; ///< For the next answers, in order.
    bool leaving = false;
    duration firstEventDelay{}; ///< Of answers to POST.
    duration eventDelay{};
    std::vector<std::string> executed; ///< Ids of the requests that it started.
    std::vector<std::string> cancelled;
    std::size_t connections = 0; ///< Accepted so far.

private:
    using socket = boost::asio::ip::tcp::socket;
    using request = boost::beast::http::request<boost::beast::http::string_body>;

    struct stream
    {
        std::vector<std::string> tokens;
        std::string finishReason;
    };

    auto accept() -> boost::asio::awaitable<void>;
    auto serve(std::shared_ptr<socket> peer) -> boost::asio::awaitable<void>;
    auto answer(std::shared_ptr<socket> peer, request asked) -> boost::asio::awaitable<bool>;
    auto start(const request &asked) -> std::string;
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
