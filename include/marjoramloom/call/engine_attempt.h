#pragma once

#include "marjoramloom/call/call_types.h"
#include "marjoramloom/call/event_checker.h"
#include "marjoramloom/call/http_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/channel.hpp>
#include <memory>
#include <string>

namespace marjoramloom {

/// What an attempt tells the call that started it.
enum class attempt_step {
    piece,
    finished, ///< The whole answer has come.
    failed, ///< Nothing more will come.
    wake, ///< Not of an attempt: look at the call's own state.
};

struct attempt_event
{
    std::size_t attempt = 0; ///< Index within the call's round.
    attempt_step step = attempt_step::wake;
    std::string text;
    std::string finishReason;
    std::optional<token_usage> usage;
    last_reason reason; ///< Of a failure.
};

using attempt_channel = boost::asio::experimental::channel<void(boost::system::error_code, attempt_event)>;

/// One attempt of a request at one model engine: sends it, checks the events of its stream, and resumes the stream on a
/// new connection where the one it came on broke or fell silent.
///
/// Runs as a coroutine of its own on the call's executor and hands its events over through a channel, which also holds
/// it back where the caller reads slowly. Not thread safe.
class engine_attempt : public std::enable_shared_from_this<engine_attempt>
{
public:
    /// \p attemptId is unique over all attempts of all requests; \p body asks for a stream.
    engine_attempt(boost::asio::any_io_executor executor, connection_pool &connections, engine_limits limits,
                   std::string address, std::string attemptId, std::string body);

    /// Starts; events carry \p index. The attempt keeps itself and the channel alive. Call once.
    auto start(std::size_t index, std::shared_ptr<attempt_channel> channel) -> void;

    /// Ends the attempt: no event follows. The engine goes on until it is told by cancelAtEngine().
    auto stop() -> void;

    /// Whether the engine may have started the request.
    [[nodiscard]] auto maybeStarted() const -> bool;

    /// Whether the engine refused because it is leaving.
    [[nodiscard]] auto refusedLeaving() const -> bool;

    /// Whether the engine still has to be told if the answer is not wanted any more.
    [[nodiscard]] auto needsCancel() const -> bool;

    [[nodiscard]] auto id() const -> const std::string &;
    [[nodiscard]] auto address() const -> const std::string &;

private:
    enum class read_outcome {
        finished,
        broken, ///< The connection is of no more use; the engine may still have the stream.
        refused, ///< The engine does not have the stream.
    };

    auto run(std::shared_ptr<engine_attempt> self) -> boost::asio::awaitable<void>;
    auto post() -> boost::asio::awaitable<read_outcome>;
    auto resume() -> boost::asio::awaitable<read_outcome>;
    auto readAnswer(std::shared_ptr<http_connection> connection) -> boost::asio::awaitable<read_outcome>;
    auto readRefusal(std::shared_ptr<http_connection> connection) -> boost::asio::awaitable<read_outcome>;
    auto reject(const sse_event &event, event_verdict verdict) -> void;
    auto handOver(const sse_event &event) -> boost::asio::awaitable<event_verdict>;
    auto finishConnection(std::shared_ptr<http_connection> connection, sse_reader &reader)
        -> boost::asio::awaitable<void>;
    auto open(bool fresh) -> boost::asio::awaitable<std::shared_ptr<http_connection>>;
    auto emit(attempt_event event) -> boost::asio::awaitable<void>;
    auto silenceLimit() const -> duration;
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
    std::uint32_t m_redials = 0; ///< Since the last progress.
    bool m_stopped = false;
    bool m_maybeStarted = false;
    bool m_refusedLeaving = false;
};

/// Tells the engine at \p address to drop the stream \p attemptId. True where the engine answered, so that its slot is
/// free. Parameters are by value: it may outlive the call that starts it.
auto cancelAtEngine(connection_pool &connections, std::string address, std::string attemptId, duration limit)
    -> boost::asio::awaitable<bool>;

} // namespace marjoramloom
