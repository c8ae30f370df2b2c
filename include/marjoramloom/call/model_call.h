#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/call/call_types.h"
#include "marjoramloom/call/completion_body.h"
#include "marjoramloom/call/engine_attempt.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjoramloom {

/// Carries out one model request: waits for a grant, runs the attempt, delivers the answer's pieces in order, and
/// settles what was used. Goes on elsewhere from the text so far where an engine fails, or gives up its place.
///
/// Runs on the executor of its control block, a strand; not thread safe. \p environment, \p source and \p sink outlive
/// run(); environment and source also outlive the clean-up that a cancelled attempt leaves running.
template<grant_source Source, answer_sink Sink>
class model_call
{
public:
    model_call(const call_environment &environment, Source &source, Sink &sink, std::shared_ptr<call_control> control,
               model_request request);
    model_call(const model_call &) = delete;
    auto operator=(const model_call &) -> model_call & = delete;

    /// Runs the call to its end. Call once, on the control's executor.
    auto run() -> boost::asio::awaitable<call_result>;

private:
    /// One attempt and the grant that it runs under.
    struct running_attempt
    {
        grant place;
        std::shared_ptr<engine_attempt> attempt;
        double promptTokens = 0; ///< Guessed until the engine counted them.
        time_point startedAt;
        time_point firstPieceAt;
        duration heldBack{}; ///< By the caller, since the first piece.
        std::uint64_t pieces = 0;
        bool ended = false; ///< Failed, or its place was given up.
    };

    /// What may happen to a call from outside of its coroutine; outlives it.
    struct call_signals
    {
        std::shared_ptr<attempt_channel> channel;
        bool timedOut = false;
        bool hedgeDue = false;

        auto wake() -> void;
    };

    /// A second place for a slow request, which comes from a coroutine of its own.
    struct hedge_state
    {
        bool unwanted = false;
        std::optional<grant> place;
    };

    /// How a round, one grant with its hedge, ended.
    enum class round_end {
        complete,
        failed,
        refused, ///< Proved: the engine did not start it, and said so because it is leaving.
        suspended,
        moved,
        cancelled,
        timedOut,
    };

    auto runRounds() -> boost::asio::awaitable<call_state>;
    auto nextPlace() -> boost::asio::awaitable<std::optional<grant>>;
    auto refusePlace(const grant &place) -> void;
    auto makeTicket() -> ticket;
    auto mayGoOn(round_end ended) -> boost::asio::awaitable<bool>;
    auto stateWithoutPlace() const -> call_state;

    auto runRound(grant place) -> boost::asio::awaitable<round_end>;
    auto handle(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>;
    auto onAnswer(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>;
    auto onFailure(const attempt_event &event) -> std::optional<round_end>;
    auto onSignals() -> std::optional<round_end>;
    auto deliver(const attempt_event &event) -> boost::asio::awaitable<bool>;
    auto startAttempt(grant place) -> bool;
    auto othersRun(const running_attempt &than) const -> bool;
    auto chooseWinner(std::size_t winner) -> void;
    auto giveUpPlace(running_attempt &given) -> void;
    auto settleFinished(running_attempt &finished, const std::optional<token_usage> &usage) -> void;
    auto settleNow(running_attempt &ended) -> double;
    auto endRound() -> void;

    auto armDeadline() -> void;
    auto armHedge() -> void;
    auto askForHedge() -> void;
    auto samplePace(const running_attempt &sampled, bool failed) const -> void;
    auto costOf(const running_attempt &of) const -> double;
    auto logStep(std::string_view event, const running_attempt &of, std::string_view reason) const -> void;

    static auto acquireHedge(Source &source, hedge_policy &hedges, ticket waiting,
                             std::shared_ptr<call_control> control, std::shared_ptr<hedge_state> state,
                             std::shared_ptr<call_signals> signals) -> boost::asio::awaitable<void>;
    static auto cancelAndSettle(Source &source, connection_pool &connections, std::shared_ptr<engine_attempt> attempt,
                                ticket_id id, double cost, duration limit) -> boost::asio::awaitable<void>;

    static constexpr std::size_t CHANNEL_EVENTS = 16; ///< An attempt is held back beyond these.
    static constexpr std::uint64_t PIECES_PER_SAMPLE = 24;
    static constexpr duration HEDGE_WAIT = std::chrono::seconds(1); ///< Longest wait of a hedge for a place.

    const call_environment &m_environment;
    Source &m_source;
    Sink &m_sink;
    std::shared_ptr<call_control> m_control;
    boost::asio::any_io_executor m_executor;
    model_request m_request;
    std::optional<completion_body> m_body;
    boost::asio::steady_timer m_deadline;
    boost::asio::steady_timer m_hedgeTimer;
    std::shared_ptr<call_signals> m_signals;
    call_result m_result;

    std::string m_text; ///< Delivered so far.
    std::uint64_t m_delivered = 0; ///< Pieces.
    std::uint32_t m_retries = 0; ///< Since the last piece.
    bool m_maybeRan = false;
    bool m_promptCharged = false;
    std::vector<object_id> m_excluded; ///< Servers that failed since the last piece.

    std::vector<running_attempt> m_running; ///< Of the round.
    std::optional<std::size_t> m_winner; ///< Of the round: the first that had a piece.
    std::shared_ptr<hedge_state> m_hedge; ///< Of the round.
};

} // namespace marjoramloom

#include "marjoramloom/call/model_call.inl"
