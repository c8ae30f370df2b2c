#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/call/event_checker.h"
#include "marjoramloom/call/http_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <memory>
#include <string>

namespace marjoramloom {

/// Kinds of events that an attempt sends to its call.
enum class attempt_step {
    piece,
    finished, ///< The last piece of the answer.
    failed, ///< The attempt failed; no event follows.
    wake, ///< Sent by the call itself, not by an attempt: the call checks its signals.
};

/// An event that an attempt sends to its call.
struct attempt_event
{
    std::size_t attempt = 0; ///< Index of the attempt within the call's round.
    attempt_step step = attempt_step::wake;
    std::string text;
    std::string finishReason;
    std::optional<token_usage> usage;
    last_reason reason; ///< Set if the attempt failed.
};

using attempt_channel = boost::asio::experimental::channel<void(boost::system::error_code, attempt_event)>;

/// One attempt to run a request on one model engine: sends the request, checks the events of the answer stream, and
/// resumes the stream on a new connection if the current one breaks or is silent.
///
/// Runs as a separate coroutine on the call's executor and sends its events through a channel, which also applies
/// backpressure when the caller reads slowly. Not thread safe.
class engine_attempt : public std::enable_shared_from_this<engine_attempt>
{
public:
    /// \p attemptId must be unique among all attempts of all requests; \p body must ask for a stream.
    engine_attempt(boost::asio::any_io_executor executor, connection_pool &connections, engine_limits limits,
                   std::string address, std::string attemptId, std::string body);

    /// Starts the attempt, whose events carry \p index. It keeps itself and \p channel alive. Call once.
    auto start(std::size_t index, std::shared_ptr<attempt_channel> channel) -> void;

    /// Stops the attempt: no event follows. The engine continues to generate until cancelAtEngine() is called.
    auto stop() -> void;

    /// Whether the engine may have started the request.
    [[nodiscard]] auto mayHaveStarted() const -> bool;

    /// Whether the engine refused the request because it is leaving.
    [[nodiscard]] auto refusedAsLeaving() const -> bool;

    /// Whether cancelAtEngine() is needed to stop the engine from generating.
    [[nodiscard]] auto needsCancel() const -> bool;

    [[nodiscard]] auto id() const -> const std::string &;
    [[nodiscard]] auto address() const -> const std::string &;

private:
    enum class read_outcome {
        finished,
        broken, ///< The connection failed; the engine may still have the stream.
        refused, ///< The engine does not have the stream.
    };

    auto run(std::shared_ptr<engine_attempt> self) -> boost::asio::awaitable<void>;
    auto post() -> boost::asio::awaitable<read_outcome>;
    auto resume() -> boost::asio::awaitable<read_outcome>;
    auto readAnswer(std::shared_ptr<http_connection> connection) -> boost::asio::awaitable<read_outcome>;
    auto readRefusal(std::shared_ptr<http_connection> connection) -> boost::asio::awaitable<read_outcome>;
    auto rejectEvent(const sse_event &event, event_verdict verdict) -> void;
    auto forwardEvent(const sse_event &event) -> boost::asio::awaitable<event_verdict>;
    auto drainConnection(std::shared_ptr<http_connection> connection, sse_reader &reader)
        -> boost::asio::awaitable<void>;
    auto openConnection(bool forceNew) -> boost::asio::awaitable<std::shared_ptr<http_connection>>;
    auto emit(attempt_event event) -> boost::asio::awaitable<void>;
    auto nextReadTimeout() const -> duration;
    auto mayResume() const -> bool;

    boost::asio::any_io_executor m_executor;
    connection_pool &m_connections;
    engine_limits m_limits;
    std::string m_address;
    std::string m_attemptId;
    std::string m_body;
    std::size_t m_index = 0;
    std::shared_ptr<attempt_channel> m_channel;
    std::shared_ptr<http_connection> m_connection;
    event_checker m_checker;
    last_reason m_reason;
    time_point m_lastProgress;
    std::uint32_t m_reconnects = 0; ///< Since the last accepted event.
    bool m_stopped = false;
    bool m_mayHaveStarted = false;
    bool m_refusedAsLeaving = false;
};

/// Asks the engine at \p address to cancel the stream \p attemptId. Returns true if the engine answered, so that its
/// slot is free. Parameters are passed by value, because the coroutine may outlive the call that starts it.
auto cancelAtEngine(connection_pool &connections, std::string address, std::string attemptId, duration limit)
    -> boost::asio::awaitable<bool>;

} // namespace marjoramloom
