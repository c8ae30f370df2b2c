#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/call/hedge_policy.h"
#include "marjoramloom/call/retry_budget.h"
#include "marjoramloom/call/start_gate.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>

namespace marjoramloom {

template<grant_source Source, answer_sink Sink>
model_call<Source, Sink>::model_call(const call_environment &environment, Source &source, Sink &sink,
                                     std::shared_ptr<call_control> control, model_request request)
    : m_environment(environment)
    , m_source(source)
    , m_sink(sink)
    , m_control(std::move(control))
    , m_executor(m_control->executor())
    , m_request(std::move(request))
    , m_deadline(m_executor)
    , m_hedgeTimer(m_executor)
    , m_signals(std::make_shared<call_signals>())
{
    assert(m_environment.connections && m_environment.addressOf);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::call_signals::wake() -> void
{
    if (channel) {
        // If the channel is full, its reader is about to wake up anyway.
        channel->try_send(boost::system::error_code(), attempt_event());
    }
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::run() -> boost::asio::awaitable<call_result>
{
    m_body = completion_body::parse(m_request.body, m_result.reason);
    if (!m_body) {
        co_return m_result;
    }
    if (m_environment.retries) {
        m_environment.retries->onCall();
    }
    if (m_environment.hedges && m_request.treatment.hedge) {
        m_environment.hedges->onCall();
    }
    armDeadline();
    const auto listenerId = m_control->addListener([signals = m_signals] { signals->wake(); });
    m_result.state = co_await runRounds();
    m_control->removeListener(listenerId);
    m_deadline.cancel();
    co_return m_result;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::runRounds() -> boost::asio::awaitable<call_state>
{
    while (!m_body->limitReached(m_result.generatedTokens)) {
        auto granted = co_await acquireGrant();
        if (m_control->cancelled()) {
            if (granted) {
                m_source.settle(granted->ticket, 0);
            }
            co_return call_state::cancelled;
        }
        if (!granted) {
            co_return stateIfIncomplete();
        }
        const auto mayStart = co_await mayStartAt(m_environment.gate, granted->server);
        if (!mayStart) {
            rejectGrant(*granted);
            continue;
        }
        const auto ended = co_await runRound(std::move(*granted));
        if (ended == round_end::complete) {
            co_return call_state::complete;
        }
        if (ended == round_end::cancelled) {
            co_return call_state::cancelled;
        }
        const auto shouldContinue = co_await prepareNextRound(ended);
        if (!shouldContinue) {
            co_return m_control->cancelled() ? call_state::cancelled : stateIfIncomplete();
        }
    }
    // The stream broke after the last token that max_tokens allows and before the event with the finish reason.
    auto last = attempt_event();
    last.step = attempt_step::finished;
    last.finishReason = "length";
    const auto delivered = co_await deliver(last);
    co_return delivered ? call_state::complete : call_state::cancelled;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::acquireGrant() -> boost::asio::awaitable<std::optional<grant>>
{
    const auto waiting = makeTicket();
    auto granted = co_await m_source.acquire(waiting, m_control, m_result.reason);
    if (granted || m_excluded.empty() || m_control->cancelled() || m_signals->timedOut) {
        co_return granted;
    }
    // No other server is available, so servers that failed before are tried again.
    m_excluded.clear();
    const auto unrestricted = makeTicket();
    co_return co_await m_source.acquire(unrestricted, m_control, m_result.reason);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::rejectGrant(const grant &granted) -> void
{
    m_source.settle(granted.ticket, 0);
    m_excluded.push_back(granted.server);
    m_result.reason.fail(failure_kind::leaving, "start attempt", std::to_string(granted.server.value), "leaving");
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::makeTicket() -> ticket
{
    const auto &treatment = m_request.treatment;
    const auto generatedCost = static_cast<double>(m_result.generatedTokens) * m_environment.weights.generated;
    const auto isFirstAttempt = m_result.attempts == 0;
    auto newTicket = ticket();
    newTicket.id = m_source.nextTicket();
    newTicket.origin = { m_environment.dataCentre, m_request.target.id };
    newTicket.account = m_request.account;
    newTicket.profile = treatment.id;
    newTicket.length = treatment.length;
    newTicket.expectedCost = std::max(m_environment.weights.generated, m_request.expectedCost - generatedCost);
    newTicket.prefixHash = m_request.prefixHash;
    newTicket.submitted = std::chrono::steady_clock::now();
    // The maximum wait applies to the first attempt only: a request that has started is not refused for waiting too
    // long.
    newTicket.deadline =
        m_request.arrived + (isFirstAttempt ? std::min(treatment.maxWait, treatment.timeout) : treatment.timeout);
    newTicket.suspensions = m_result.suspensions;
    newTicket.suspendable = treatment.suspendable && m_result.suspensions < treatment.maxSuspensions;
    newTicket.excluded = m_excluded;
    return newTicket;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::prepareNextRound(round_end ended) -> boost::asio::awaitable<bool>
{
    if (ended == round_end::timedOut) {
        m_result.reason.fail(failure_kind::deadlineExceeded, "run request", "", "request timeout");
        co_return false;
    }
    if (ended == round_end::suspended) {
        ++m_result.suspensions;
    }
    if (ended != round_end::failed) {
        co_return true;
    }
    auto *budget = m_environment.retries;
    const auto anyDelivered = m_deliveredPieces > 0;
    if (m_retries >= m_request.treatment.retries || (!anyDelivered && budget && !budget->take())) {
        co_return false;
    }
    if (budget) {
        auto backoffTimer = boost::asio::steady_timer(m_executor, budget->backoff(m_retries));
        auto ignored = boost::system::error_code();
        co_await backoffTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    ++m_retries;
    co_return !m_control->cancelled();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::stateIfIncomplete() const -> call_state
{
    if (m_deliveredPieces > 0) {
        return call_state::unfinished;
    }
    return m_mayHaveRun ? call_state::unknownOutcome : call_state::notRun;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::runRound(grant granted) -> boost::asio::awaitable<round_end>
{
    m_signals->channel = std::make_shared<attempt_channel>(m_executor, CHANNEL_EVENTS);
    m_roundAttempts.clear();
    m_winner.reset();
    auto ended = std::optional<round_end>();
    if (!startAttempt(std::move(granted))) {
        ended = round_end::failed;
    }
    armHedge();
    while (!ended) {
        auto closed = boost::system::error_code();
        auto event =
            co_await m_signals->channel->async_receive(boost::asio::redirect_error(boost::asio::use_awaitable, closed));
        ended = co_await handleEvent(std::move(event));
    }
    endRound();
    co_return *ended;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::handleEvent(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>
{
    auto ended = std::optional<round_end>();
    switch (event.step) {
    case attempt_step::piece:
    case attempt_step::finished:
        ended = co_await onPiece(std::move(event));
        break;
    case attempt_step::failed:
        ended = handleFailure(event);
        break;
    case attempt_step::wake:
        break;
    }
    co_return ended ? ended : handleSignals();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::onPiece(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>
{
    auto &running = m_roundAttempts[event.attempt];
    if (running.ended) {
        co_return std::nullopt;
    }
    if (!m_winner) {
        chooseWinner(event.attempt);
    }
    ++running.pieces;
    m_result.generatedTokens += event.text.empty() ? 0 : 1;
    const auto arrivedAt = std::chrono::steady_clock::now();
    const auto delivered = co_await deliver(event);
    running.deliveryTime += std::chrono::steady_clock::now() - arrivedAt;
    if (event.step == attempt_step::finished) {
        settleFinishedAttempt(running, event.usage);
        co_return delivered ? round_end::complete : round_end::cancelled;
    }
    if (!delivered) {
        co_return round_end::cancelled;
    }
    m_source.progress(running.granted.ticket, costOf(running));
    if (running.pieces % PIECES_PER_SAMPLE == 0) {
        reportPace(running, false);
    }
    co_return std::nullopt;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::handleFailure(const attempt_event &event) -> std::optional<round_end>
{
    auto &failed = m_roundAttempts[event.attempt];
    if (failed.ended) {
        return std::nullopt;
    }
    const auto server = failed.granted.server;
    const auto leaving = failed.attempt->refusedAsLeaving();
    m_mayHaveRun = m_mayHaveRun || failed.attempt->mayHaveStarted();
    m_result.reason = event.reason;
    m_excluded.push_back(server);
    logStep("attempt failed", failed, event.reason.text());
    if (leaving && m_environment.onLeaving) {
        m_environment.onLeaving(server);
    }
    if (!leaving) {
        reportPace(failed, true);
    }
    abandonAttempt(failed);
    if (otherAttemptsRun(failed)) {
        return std::nullopt;
    }
    return leaving ? round_end::refused : round_end::failed;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::handleSignals() -> std::optional<round_end>
{
    if (m_control->cancelled()) {
        return round_end::cancelled;
    }
    if (m_signals->timedOut) {
        return round_end::timedOut;
    }
    for (auto &running : m_roundAttempts) {
        if (running.ended) {
            continue;
        }
        const auto moved = m_control->takeMove(running.granted.ticket);
        if (!moved && !m_control->takeSuspension(running.granted.ticket)) {
            continue;
        }
        logStep(moved ? "move" : "suspend", running, "signalled");
        if (moved) {
            m_excluded.push_back(running.granted.server);
        }
        abandonAttempt(running);
        if (!otherAttemptsRun(running)) {
            return moved ? round_end::moved : round_end::suspended;
        }
    }
    if (m_signals->hedgeDelayElapsed) {
        m_signals->hedgeDelayElapsed = false;
        requestHedge();
    }
    if (m_hedge && m_hedge->granted && !m_winner) {
        auto granted = std::move(*m_hedge->granted);
        m_hedge->granted.reset();
        const auto *gate = m_environment.gate;
        const auto now = std::chrono::steady_clock::now();
        if (gate && gate->permission(granted.server, now) != start_permission::allowed) {
            rejectGrant(granted);
            return std::nullopt;
        }
        ++m_result.hedges;
        startAttempt(std::move(granted));
    }
    return std::nullopt;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::deliver(const attempt_event &event) -> boost::asio::awaitable<bool>
{
    m_deliveredText += event.text;
    m_retries = 0;
    m_excluded.clear();
    auto piece = answer_piece();
    piece.sequence = m_deliveredPieces++;
    piece.text = event.text;
    piece.last = event.step == attempt_step::finished;
    piece.finishReason = event.finishReason;
    co_return co_await m_sink.deliver(piece);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::startAttempt(grant granted) -> bool
{
    const auto address = m_environment.addressOf(granted.server);
    if (!address) {
        m_source.settle(granted.ticket, 0);
        m_excluded.push_back(granted.server);
        m_result.reason.fail(failure_kind::notSent, "find server", std::to_string(granted.server.value),
                             "no longer configured");
        return false;
    }
    ++m_result.attempts;
    auto started = round_attempt();
    started.promptTokens = static_cast<double>(m_body->estimatedPromptTokens());
    started.startedAt = std::chrono::steady_clock::now();
    started.attempt =
        std::make_shared<engine_attempt>(m_executor, *m_environment.connections, m_environment.limits, *address,
                                         m_request.requestId + '-' + std::to_string(m_result.attempts),
                                         m_body->continuation(m_deliveredText, m_result.generatedTokens));
    started.granted = std::move(granted);
    m_roundAttempts.push_back(std::move(started));
    logStep("attempt", m_roundAttempts.back(), m_roundAttempts.back().granted.reason);
    m_roundAttempts.back().attempt->start(m_roundAttempts.size() - 1, m_signals->channel);
    return true;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::otherAttemptsRun(const round_attempt &excluding) const -> bool
{
    return std::ranges::any_of(m_roundAttempts,
                               [&](const round_attempt &other) { return &other != &excluding && !other.ended; });
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::chooseWinner(std::size_t winner) -> void
{
    m_winner = winner;
    auto &winning = m_roundAttempts[winner];
    winning.firstPieceAt = std::chrono::steady_clock::now();
    reportPace(winning, false);
    const auto primarySeconds = toSeconds(winning.firstPieceAt - m_roundAttempts.front().startedAt);
    if (m_environment.hedges && m_request.treatment.hedge) {
        // If the hedge winning, this is a lower bound for the primary attempt.
        m_environment.hedges->observe(primarySeconds);
    }
    for (auto index = std::size_t(0); index < m_roundAttempts.size(); ++index) {
        auto &other = m_roundAttempts[index];
        if (index != winner && !other.ended) {
            logStep("hedge lost", other, "another attempt was first");
            reportPace(other, false);
            abandonAttempt(other);
        }
    }
    m_hedgeTimer.cancel();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::abandonAttempt(round_attempt &abandoned) -> void
{
    assert(!abandoned.ended);
    const auto cancelNeeded = abandoned.attempt->needsCancel();
    abandoned.attempt->stop();
    if (!cancelNeeded) {
        settleAttempt(abandoned);
        return;
    }
    abandoned.ended = true;
    const auto cost = costOf(abandoned);
    m_result.cost += cost;
    m_promptCharged = m_promptCharged || abandoned.pieces > 0;
    m_mayHaveRun = true;
    // The engine's slot is free only after it has cancelled the stream, so the grant is settled after that.
    boost::asio::co_spawn(m_executor,
                          cancelAndSettle(m_source, *m_environment.connections, abandoned.attempt,
                                          abandoned.granted.ticket, cost, m_environment.limits.cancel),
                          boost::asio::detached);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::settleFinishedAttempt(round_attempt &finished, const std::optional<token_usage> &usage)
    -> void
{
    reportPace(finished, false);
    auto cost = costOf(finished);
    if (usage) {
        const auto &weights = m_environment.weights;
        m_result.generatedTokens += usage->generatedTokens - std::min(usage->generatedTokens, finished.pieces);
        m_result.promptTokens = std::max(m_result.promptTokens, usage->promptTokens);
        const auto cached = static_cast<double>(std::min(usage->cachedTokens, usage->promptTokens));
        const auto uncached = static_cast<double>(usage->promptTokens) - cached;
        cost = weights.generated * static_cast<double>(std::max(usage->generatedTokens, finished.pieces));
        cost += m_promptCharged ? 0 : weights.prompt * uncached + weights.cachedPrompt * cached;
    }
    finished.ended = true;
    m_result.cost += cost;
    m_source.settle(finished.granted.ticket, cost);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::settleAttempt(round_attempt &ended) -> double
{
    const auto cost = costOf(ended);
    ended.ended = true;
    m_result.cost += cost;
    m_source.settle(ended.granted.ticket, cost);
    return cost;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::endRound() -> void
{
    m_hedgeTimer.cancel();
    m_signals->hedgeDelayElapsed = false;
    if (m_hedge) {
        m_hedge->noLongerNeeded = true;
        if (m_hedge->granted) {
            m_source.settle(m_hedge->granted->ticket, 0);
            m_environment.hedges->giveBack();
        }
        m_hedge.reset();
    }
    for (auto &running : m_roundAttempts) {
        if (!running.ended) {
            abandonAttempt(running);
        }
    }
    m_signals->channel->close();
    m_signals->channel->cancel();
    m_signals->channel.reset();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::armDeadline() -> void
{
    m_deadline.expires_at(m_request.arrived + m_request.treatment.timeout);
    m_deadline.async_wait([signals = m_signals](const boost::system::error_code &error) {
        if (!error) {
            signals->timedOut = true;
            signals->wake();
        }
    });
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::armHedge() -> void
{
    const auto mayHedge = m_environment.hedges && m_request.treatment.hedge && m_deliveredPieces == 0;
    const auto delay = mayHedge ? m_environment.hedges->delay() : std::nullopt;
    if (!delay) {
        return;
    }
    m_hedgeTimer.expires_after(*delay);
    m_hedgeTimer.async_wait(
        [signals = m_signals, channel = m_signals->channel](const boost::system::error_code &error) {
            if (!error && signals->channel == channel) {
                signals->hedgeDelayElapsed = true;
                signals->wake();
            }
        });
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::requestHedge() -> void
{
    if (m_winner || m_hedge || !m_environment.hedges->take()) {
        return;
    }
    auto waiting = makeTicket();
    for (const auto &running : m_roundAttempts) {
        waiting.excluded.push_back(running.granted.server);
    }
    waiting.deadline = waiting.submitted + MAX_HEDGE_WAIT;
    m_hedge = std::make_shared<hedge_state>();
    boost::asio::co_spawn(
        m_executor, acquireHedge(m_source, *m_environment.hedges, std::move(waiting), m_control, m_hedge, m_signals),
        boost::asio::detached);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::acquireHedge(Source &source, hedge_policy &hedges, ticket waiting,
                                            std::shared_ptr<call_control> control, std::shared_ptr<hedge_state> state,
                                            std::shared_ptr<call_signals> signals) -> boost::asio::awaitable<void>
{
    auto why = last_reason();
    auto granted = co_await source.acquire(waiting, control, why);
    if (!granted || state->noLongerNeeded) {
        hedges.giveBack();
        if (granted) {
            source.settle(granted->ticket, 0);
        }
        co_return;
    }
    state->granted = std::move(granted);
    signals->wake();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::cancelAndSettle(Source &source, connection_pool &connections,
                                               std::shared_ptr<engine_attempt> attempt, ticket_id id, double cost,
                                               duration limit) -> boost::asio::awaitable<void>
{
    co_await cancelAtEngine(connections, attempt->address(), attempt->id(), limit);
    source.settle(id, cost);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::reportPace(const round_attempt &sampled, bool failed) const -> void
{
    if (!m_environment.onPace) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    auto sample = pace_sample();
    sample.server = sampled.granted.server;
    sample.failed = failed;
    if (sampled.pieces == 0) {
        sample.firstTokenSeconds = failed ? 0 : toSeconds(now - sampled.startedAt);
    } else if (sampled.pieces > 1) {
        const auto streaming = now - sampled.firstPieceAt - sampled.deliveryTime;
        sample.tokenSeconds = toSeconds(streaming) / static_cast<double>(sampled.pieces - 1);
    }
    m_environment.onPace(sample);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::costOf(const round_attempt &charged) const -> double
{
    // The prompt and each token of the answer are charged once, even if the router had an engine process them again.
    if (charged.pieces == 0) {
        return 0;
    }
    const auto &weights = m_environment.weights;
    const auto prompt = m_promptCharged ? 0 : weights.prompt * charged.promptTokens;
    return prompt + weights.generated * static_cast<double>(charged.pieces);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::logStep(std::string_view event, const round_attempt &logged,
                                       std::string_view reason) const -> void
{
    log_line(log_level::info, event)
        .with("request", logged.attempt->id())
        .with("account", m_request.accountName)
        .with("profile", m_request.treatment.name)
        .with("server", logged.granted.server.value)
        .with("address", logged.attempt->address())
        .with("reason", reason);
}

} // namespace marjoramloom
