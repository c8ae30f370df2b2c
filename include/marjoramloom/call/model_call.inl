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
        // A full channel wakes its reader anyway.
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
    const auto listening = m_control->listen([signals = m_signals] { signals->wake(); });
    m_result.state = co_await runRounds();
    m_control->forget(listening);
    m_deadline.cancel();
    co_return m_result;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::runRounds() -> boost::asio::awaitable<call_state>
{
    while (!m_body->limitReached(m_result.generatedTokens)) {
        auto place = co_await nextPlace();
        if (m_control->cancelled()) {
            if (place) {
                m_source.settle(place->ticket, 0);
            }
            co_return call_state::cancelled;
        }
        if (!place) {
            co_return stateWithoutPlace();
        }
        const auto mayStart = co_await mayStartAt(m_environment.gate, place->server);
        if (!mayStart) {
            refusePlace(*place);
            continue;
        }
        const auto ended = co_await runRound(std::move(*place));
        if (ended == round_end::complete) {
            co_return call_state::complete;
        }
        if (ended == round_end::cancelled) {
            co_return call_state::cancelled;
        }
        const auto goOn = co_await mayGoOn(ended);
        if (!goOn) {
            co_return m_control->cancelled() ? call_state::cancelled : stateWithoutPlace();
        }
    }
    // The stream broke between the last token that the caller allowed and the event that would have said so.
    auto last = attempt_event();
    last.step = attempt_step::finished;
    last.finishReason = "length";
    const auto delivered = co_await deliver(last);
    co_return delivered ? call_state::complete : call_state::cancelled;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::nextPlace() -> boost::asio::awaitable<std::optional<grant>>
{
    const auto waiting = makeTicket();
    auto place = co_await m_source.acquire(waiting, m_control, m_result.reason);
    if (place || m_excluded.empty() || m_control->cancelled() || m_signals->timedOut) {
        co_return place;
    }
    // No other server can be had: one that failed before is better than none.
    m_excluded.clear();
    const auto again = makeTicket();
    co_return co_await m_source.acquire(again, m_control, m_result.reason);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::refusePlace(const grant &place) -> void
{
    m_source.settle(place.ticket, 0);
    m_excluded.push_back(place.server);
    m_result.reason.fail(failure_kind::leaving, "start attempt", std::to_string(place.server.value), "leaving");
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::makeTicket() -> ticket
{
    const auto &treatment = m_request.treatment;
    const auto generated = static_cast<double>(m_result.generatedTokens) * m_environment.weights.generated;
    const auto first = m_result.attempts == 0;
    auto made = ticket();
    made.id = m_source.nextTicket();
    made.origin = { m_environment.dataCentre, m_request.target.id };
    made.account = m_request.account;
    made.profile = treatment.id;
    made.length = treatment.length;
    made.expectedCost = std::max(m_environment.weights.generated, m_request.expectedCost - generated);
    made.prefixHash = m_request.prefixHash;
    made.submitted = std::chrono::steady_clock::now();
    // What has started is not refused for having waited.
    made.deadline = m_request.arrived + (first ? std::min(treatment.maxWait, treatment.timeout) : treatment.timeout);
    made.suspensions = m_result.suspensions;
    made.suspendable = treatment.suspendable && m_result.suspensions < treatment.maxSuspensions;
    made.excluded = m_excluded;
    return made;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::mayGoOn(round_end ended) -> boost::asio::awaitable<bool>
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
    const auto started = m_delivered > 0;
    if (m_retries >= m_request.treatment.retries || (!started && budget && !budget->take())) {
        co_return false;
    }
    if (budget) {
        auto pause = boost::asio::steady_timer(m_executor, budget->backoff(m_retries));
        auto ignored = boost::system::error_code();
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    ++m_retries;
    co_return !m_control->cancelled();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::stateWithoutPlace() const -> call_state
{
    if (m_delivered > 0) {
        return call_state::unfinished;
    }
    return m_maybeRan ? call_state::unknownOutcome : call_state::notRun;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::runRound(grant place) -> boost::asio::awaitable<round_end>
{
    m_signals->channel = std::make_shared<attempt_channel>(m_executor, CHANNEL_EVENTS);
    m_running.clear();
    m_winner.reset();
    auto ended = std::optional<round_end>();
    if (!startAttempt(std::move(place))) {
        ended = round_end::failed;
    }
    armHedge();
    while (!ended) {
        auto closed = boost::system::error_code();
        auto event =
            co_await m_signals->channel->async_receive(boost::asio::redirect_error(boost::asio::use_awaitable, closed));
        ended = co_await handle(std::move(event));
    }
    endRound();
    co_return *ended;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::handle(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>
{
    auto ended = std::optional<round_end>();
    switch (event.step) {
    case attempt_step::piece:
    case attempt_step::finished:
        ended = co_await onAnswer(std::move(event));
        break;
    case attempt_step::failed:
        ended = onFailure(event);
        break;
    case attempt_step::wake:
        break;
    }
    co_return ended ? ended : onSignals();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::onAnswer(attempt_event event) -> boost::asio::awaitable<std::optional<round_end>>
{
    auto &from = m_running[event.attempt];
    if (from.ended) {
        co_return std::nullopt;
    }
    if (!m_winner) {
        chooseWinner(event.attempt);
    }
    ++from.pieces;
    m_result.generatedTokens += event.text.empty() ? 0 : 1;
    const auto arrived = std::chrono::steady_clock::now();
    const auto delivered = co_await deliver(event);
    from.heldBack += std::chrono::steady_clock::now() - arrived;
    if (event.step == attempt_step::finished) {
        settleFinished(from, event.usage);
        co_return delivered ? round_end::complete : round_end::cancelled;
    }
    if (!delivered) {
        co_return round_end::cancelled;
    }
    m_source.progress(from.place.ticket, costOf(from));
    if (from.pieces % PIECES_PER_SAMPLE == 0) {
        samplePace(from, false);
    }
    co_return std::nullopt;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::onFailure(const attempt_event &event) -> std::optional<round_end>
{
    auto &failed = m_running[event.attempt];
    if (failed.ended) {
        return std::nullopt;
    }
    const auto server = failed.place.server;
    const auto leaving = failed.attempt->refusedLeaving();
    m_maybeRan = m_maybeRan || failed.attempt->maybeStarted();
    m_result.reason = event.reason;
    m_excluded.push_back(server);
    logStep("attempt failed", failed, event.reason.text());
    if (leaving && m_environment.onLeaving) {
        m_environment.onLeaving(server);
    }
    if (!leaving) {
        samplePace(failed, true);
    }
    giveUpPlace(failed);
    if (othersRun(failed)) {
        return std::nullopt;
    }
    return leaving ? round_end::refused : round_end::failed;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::onSignals() -> std::optional<round_end>
{
    if (m_control->cancelled()) {
        return round_end::cancelled;
    }
    if (m_signals->timedOut) {
        return round_end::timedOut;
    }
    for (auto &running : m_running) {
        if (running.ended) {
            continue;
        }
        const auto moved = m_control->takeMove(running.place.ticket);
        if (!moved && !m_control->takeSuspension(running.place.ticket)) {
            continue;
        }
        logStep(moved ? "move" : "suspend", running, "signalled");
        if (moved) {
            m_excluded.push_back(running.place.server);
        }
        giveUpPlace(running);
        if (!othersRun(running)) {
            return moved ? round_end::moved : round_end::suspended;
        }
    }
    if (m_signals->hedgeDue) {
        m_signals->hedgeDue = false;
        askForHedge();
    }
    if (m_hedge && m_hedge->place && !m_winner) {
        auto place = std::move(*m_hedge->place);
        m_hedge->place.reset();
        const auto *gate = m_environment.gate;
        const auto now = std::chrono::steady_clock::now();
        if (gate && gate->permission(place.server, now) != start_permission::allowed) {
            refusePlace(place);
            return std::nullopt;
        }
        ++m_result.hedges;
        startAttempt(std::move(place));
    }
    return std::nullopt;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::deliver(const attempt_event &event) -> boost::asio::awaitable<bool>
{
    m_text += event.text;
    m_retries = 0;
    m_excluded.clear();
    auto piece = answer_piece();
    piece.sequence = m_delivered++;
    piece.text = event.text;
    piece.last = event.step == attempt_step::finished;
    piece.finishReason = event.finishReason;
    co_return co_await m_sink.deliver(piece);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::startAttempt(grant place) -> bool
{
    const auto address = m_environment.addressOf(place.server);
    if (!address) {
        m_source.settle(place.ticket, 0);
        m_excluded.push_back(place.server);
        m_result.reason.fail(failure_kind::notSent, "find server", std::to_string(place.server.value),
                             "no longer configured");
        return false;
    }
    ++m_result.attempts;
    auto started = running_attempt();
    started.promptTokens = static_cast<double>(m_body->guessedPromptTokens());
    started.startedAt = std::chrono::steady_clock::now();
    started.attempt =
        std::make_shared<engine_attempt>(m_executor, *m_environment.connections, m_environment.limits, *address,
                                         m_request.requestId + '-' + std::to_string(m_result.attempts),
                                         m_body->continuation(m_text, m_result.generatedTokens));
    started.place = std::move(place);
    m_running.push_back(std::move(started));
    logStep("attempt", m_running.back(), m_running.back().place.reason);
    m_running.back().attempt->start(m_running.size() - 1, m_signals->channel);
    return true;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::othersRun(const running_attempt &than) const -> bool
{
    return std::ranges::any_of(m_running,
                               [&](const running_attempt &other) { return &other != &than && !other.ended; });
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::chooseWinner(std::size_t winner) -> void
{
    m_winner = winner;
    auto &won = m_running[winner];
    won.firstPieceAt = std::chrono::steady_clock::now();
    samplePace(won, false);
    const auto primarySeconds = toSeconds(won.firstPieceAt - m_running.front().startedAt);
    if (m_environment.hedges && m_request.treatment.hedge) {
        // A primary that lost took at least this long.
        m_environment.hedges->observe(primarySeconds);
    }
    for (auto index = std::size_t(0); index < m_running.size(); ++index) {
        auto &other = m_running[index];
        if (index != winner && !other.ended) {
            logStep("hedge lost", other, "another attempt was first");
            samplePace(other, false);
            giveUpPlace(other);
        }
    }
    m_hedgeTimer.cancel();
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::giveUpPlace(running_attempt &given) -> void
{
    assert(!given.ended);
    const auto cancelNeeded = given.attempt->needsCancel();
    given.attempt->stop();
    if (!cancelNeeded) {
        settleNow(given);
        return;
    }
    given.ended = true;
    const auto cost = costOf(given);
    m_result.cost += cost;
    m_promptCharged = m_promptCharged || given.pieces > 0;
    m_maybeRan = true;
    // The slot is free once the engine has dropped the stream, so the grant is settled after that.
    boost::asio::co_spawn(m_executor,
                          cancelAndSettle(m_source, *m_environment.connections, given.attempt, given.place.ticket, cost,
                                          m_environment.limits.cancel),
                          boost::asio::detached);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::settleFinished(running_attempt &finished, const std::optional<token_usage> &usage)
    -> void
{
    samplePace(finished, false);
    auto cost = costOf(finished);
    if (usage) {
        const auto &weights = m_environment.weights;
        m_result.generatedTokens += usage->generatedTokens - std::min(usage->generatedTokens, finished.pieces);
        m_result.promptTokens = std::max(m_result.promptTokens, usage->promptTokens);
        const auto cached = static_cast<double>(std::min(usage->cachedTokens, usage->promptTokens));
        const auto read = static_cast<double>(usage->promptTokens) - cached;
        cost = weights.generated * static_cast<double>(std::max(usage->generatedTokens, finished.pieces));
        cost += m_promptCharged ? 0 : weights.prompt * read + weights.cachedPrompt * cached;
    }
    finished.ended = true;
    m_result.cost += cost;
    m_source.settle(finished.place.ticket, cost);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::settleNow(running_attempt &ended) -> double
{
    const auto cost = costOf(ended);
    ended.ended = true;
    m_result.cost += cost;
    m_source.settle(ended.place.ticket, cost);
    return cost;
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::endRound() -> void
{
    m_hedgeTimer.cancel();
    m_signals->hedgeDue = false;
    if (m_hedge) {
        m_hedge->unwanted = true;
        if (m_hedge->place) {
            m_source.settle(m_hedge->place->ticket, 0);
            m_environment.hedges->giveBack();
        }
        m_hedge.reset();
    }
    for (auto &running : m_running) {
        if (!running.ended) {
            giveUpPlace(running);
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
    const auto wanted = m_environment.hedges && m_request.treatment.hedge && m_delivered == 0;
    const auto delay = wanted ? m_environment.hedges->delay() : std::nullopt;
    if (!delay) {
        return;
    }
    m_hedgeTimer.expires_after(*delay);
    m_hedgeTimer.async_wait(
        [signals = m_signals, channel = m_signals->channel](const boost::system::error_code &error) {
            if (!error && signals->channel == channel) {
                signals->hedgeDue = true;
                signals->wake();
            }
        });
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::askForHedge() -> void
{
    if (m_winner || m_hedge || !m_environment.hedges->take()) {
        return;
    }
    auto waiting = makeTicket();
    for (const auto &running : m_running) {
        waiting.excluded.push_back(running.place.server);
    }
    waiting.deadline = waiting.submitted + HEDGE_WAIT;
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
    auto place = co_await source.acquire(waiting, control, why);
    if (!place || state->unwanted) {
        hedges.giveBack();
        if (place) {
            source.settle(place->ticket, 0);
        }
        co_return;
    }
    state->place = std::move(place);
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
auto model_call<Source, Sink>::samplePace(const running_attempt &sampled, bool failed) const -> void
{
    if (!m_environment.onPace) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    auto sample = pace_sample();
    sample.server = sampled.place.server;
    sample.failed = failed;
    if (sampled.pieces == 0) {
        sample.firstTokenSeconds = failed ? 0 : toSeconds(now - sampled.startedAt);
    } else if (sampled.pieces > 1) {
        const auto streaming = now - sampled.firstPieceAt - sampled.heldBack;
        sample.tokenSeconds = toSeconds(streaming) / static_cast<double>(sampled.pieces - 1);
    }
    m_environment.onPace(sample);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::costOf(const running_attempt &of) const -> double
{
    // Each token of the answer and the prompt are charged once, however often the system chose to repeat them.
    if (of.pieces == 0) {
        return 0;
    }
    const auto &weights = m_environment.weights;
    const auto prompt = m_promptCharged ? 0 : weights.prompt * of.promptTokens;
    return prompt + weights.generated * static_cast<double>(of.pieces);
}

template<grant_source Source, answer_sink Sink>
auto model_call<Source, Sink>::logStep(std::string_view event, const running_attempt &of, std::string_view reason) const
    -> void
{
    log_line(log_level::info, event)
        .with("request", of.attempt->id())
        .with("account", m_request.accountName)
        .with("profile", m_request.treatment.name)
        .with("server", of.place.server.value)
        .with("address", of.attempt->address())
        .with("reason", reason);
}

} // namespace marjoramloom
