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

/// Runs one model request: waits for a grant, runs the attempt, delivers the pieces of the answer in order, and settles
/// the cost. If an engine fails, or the call is suspended or moved, it continues from the delivered text under a new
/// grant.
///
/// Runs on the executor of its control block, which must be a strand; not thread safe. \p environment, \p source and
/// \p sink must outlive run(); environment and source must also outlive the asynchronous clean-up of cancelled
/// attempts.
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
    /// An attempt of the current round and the grant that it runs under.
    struct round_attempt
    {
        grant granted;
        std::shared_ptr<engine_attempt> attempt;
        double promptTokens = 0; ///< Estimated from the length of the prompt.
        time_point startedAt;
        time_point firstPieceAt;
        duration deliveryTime{}; ///< Time spent waiting for the caller to accept pieces.
        std::uint64_t pieces = 0;
        bool ended = false; ///< Finished, failed or abandoned.
    };

    /// Events from outside of the call's coroutine. Shared with timers and coroutines that may outlive the call.
    struct call_signals
    {
        std::shared_ptr<attempt_channel> channel;
        bool timedOut = false;
        bool hedgeDelayElapsed = false;

        auto wake() -> void;
    };

    /// State of a request for a second grant, shared with the coroutine that acquires it.
    struct hedge_state
    {
        bool noLongerNeeded = false;
        std::optional<grant> granted;
    };

    /// How a round ended. A round is one grant and its attempt, together with an optional hedge.
    enum class round_end {
        complete,
        failed,
        refused, ///< The engine refused the request because it is leaving, so it did not start it.
        suspended,
        moved,
        cancelled,
        timedOut,
    };

    auto runRounds() -> boost::asio::awaitable<call_state>;
    auto acquireGrant() -> boost::asio::awaitable<std::optional<grant>>;
    auto rejectGrant(const grant &granted) -> void;
    auto makeTicket() -> ticket;
    auto prepareNextRound(round_end ended) -> boost::asio::awaitable<bool>;
    auto stateIfIncomplete() const -> call_state;

    auto runRound(grant granted) -> boost::asio::awaitable<round_end>;
    auto handleEvent(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>;
    auto onPiece(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>;
    auto handleFailure(const attempt_event &event) -> std::optional<round_end>;
    auto handleSignals() -> std::optional<round_end>;
    auto deliver(const attempt_event &event) -> boost::asio::awaitable<bool>;
    auto startAttempt(grant granted) -> bool;
    auto otherAttemptsRun(const round_attempt &excluding) const -> bool;
    auto chooseWinner(std::size_t winner) -> void;
    auto abandonAttempt(round_attempt &abandoned) -> void;
    auto settleFinishedAttempt(round_attempt &finished, const std::optional<token_usage> &usage) -> void;
    auto settleAttempt(round_attempt &ended) -> double;
    auto endRound() -> void;

    auto armDeadline() -> void;
    auto armHedge() -> void;
    auto requestHedge() -> void;
    auto reportPace(const round_attempt &sampled, bool failed) const -> void;
    auto costOf(const round_attempt &charged) const -> double;
    auto logStep(std::string_view event, const round_attempt &logged, std::string_view reason) const -> void;

    static auto acquireHedge(Source &source, hedge_policy &hedges, ticket waiting,
                             std::shared_ptr<call_control> control, std::shared_ptr<hedge_state> state,
                             std::shared_ptr<call_signals> signals) -> boost::asio::awaitable<void>;
    static auto cancelAndSettle(Source &source, connection_pool &connections, std::shared_ptr<engine_attempt> attempt,
                                ticket_id id, double cost, duration limit) -> boost::asio::awaitable<void>;

    static constexpr std::size_t CHANNEL_EVENTS = 16; ///< An attempt waits while this many events are undelivered.
    static constexpr std::uint64_t PIECES_PER_SAMPLE = 24;
    static constexpr duration MAX_HEDGE_WAIT = std::chrono::seconds(1); ///< For a second grant.

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

    std::string m_deliveredText;
    std::uint64_t m_deliveredPieces = 0;
    std::uint32_t m_retries = 0; ///< Since the last delivered piece.
    bool m_mayHaveRun = false;
    bool m_promptCharged = false;
    std::vector<object_id> m_excluded; ///< Servers that failed or are leaving, since the last delivered piece.

    std::vector<round_attempt> m_roundAttempts; ///< All attempts of the current round, also ended ones.
    std::optional<std::size_t> m_winner; ///< Index of the attempt of the round that delivered the first piece.
    std::shared_ptr<hedge_state> m_hedge; ///< Of the current round.
};

} // namespace marjoramloom

#include "marjoramloom/call/model_call.inl"
