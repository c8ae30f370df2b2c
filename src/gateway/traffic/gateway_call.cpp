#include "marjoramloom/gateway/traffic/gateway_call.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/traffic/error_reply.h"

#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr unsigned contentTooLarge = 413;
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

/// Status of the answer to a request that was not sent to any server.
auto statusOfRefusal(failure_kind kind) -> unsigned
{
    if (kind == failure_kind::invalidInput) {
        return contentTooLarge;
    }
    return kind == failure_kind::overloaded ? tooManyRequests : unavailable;
}

} // namespace

gateway_call::gateway_call(gateway_state &state, placement_dispatch &dispatch, stream_lookup &streams,
                           http_exchange &exchange, routed_request request, std::shared_ptr<const route_table> routes,
                           const route_rule &route, std::string account)
    : m_state(state)
    , m_dispatch(dispatch)
    , m_streams(streams)
    , m_exchange(exchange)
    , m_request(std::move(request))
    , m_routes(std::move(routes))
    , m_route(route)
    , m_account(std::move(account))
    , m_accountId(account_usage::accountId(m_account))
    , m_lastEventId(m_request.lastEventId)
{
}

auto gateway_call::run(std::shared_ptr<call_control> control) -> asio::awaitable<void>
{
    m_control = std::move(control);
    const auto &name = chooseService(m_route, m_state.random);
    m_service = m_routes->findService(name);
    if (m_service == nullptr) {
        co_await refuse(unavailable, "unknown service");
        co_return;
    }
    if (isTakeUp() && !co_await findStreamVersion()) {
        co_await refuse(unavailable, "the software version that began the stream is not known");
        co_return;
    }
    co_await sendWithRetries();
}

auto gateway_call::sendWithRetries() -> asio::awaitable<void>
{
    auto outcome = attempt_outcome::notSent;
    while (true) {
        if (isQuarantined()) {
            break;
        }
        const auto chosen = co_await chooseServer();
        if (!chosen) {
            break;
        }
        outcome = co_await sendAttempt(*chosen);
        log_line(log_level::info, "sent")
            .with("request", m_request.id)
            .with("server", chosen->server->id)
            .with("end", nameOf(outcome))
            .with("to_read", chosen->prefillTokens)
            .with("prompt", m_request.prompt.promptTokens)
            .with("wait_ms", toSeconds(chosen->wait) * 1e3)
            .with("expected_ms", toSeconds(chosen->firstEvent) * 1e3)
            .with("first_event_ms", toSeconds(m_firstEventLatency) * 1e3)
            .with("running", chosen->running)
            .with("candidates", chosen->candidates)
            .with("reason", m_why.text());
        m_mayHaveRun = m_mayHaveRun || outcome == attempt_outcome::incomplete || outcome == attempt_outcome::failed;
        if (outcome == attempt_outcome::answered || outcome == attempt_outcome::callerDisconnected
            || !mayRetry(outcome)) {
            break;
        }
        const auto incarnation = server_loads::incarnationId(*chosen->server);
        const auto isPaused = m_state.pauses.remaining(incarnation, boot_clock::now()) > duration::zero();
        const auto isFull = outcome == attempt_outcome::notRun || isPaused || std::exchange(m_isColdRefused, false);
        auto &tried = isFull ? m_fullServers : m_failedServers;
        tried.insert(incarnation);
    }
    if (outcome == attempt_outcome::callerDisconnected) {
        logCompletion("caller left", 0);
        if (!m_exchange.answered()) {
            m_exchange.closeWithoutAnswer();
        }
    } else if (outcome != attempt_outcome::answered) {
        co_await answerFailure();
    }
}

auto gateway_call::mayRetry(attempt_outcome outcome) -> bool
{
    if (remainingTime() <= ANSWER_MARGIN || m_control->cancelled()) {
        return false;
    }
    if (outcome == attempt_outcome::notSent) {
        return true;
    }
    if (outcome == attempt_outcome::incomplete && !m_answerBegan
        && (m_isTrial || !m_state.blocks.mayResend(sharedBlocks(m_request.prompt)))) {
        return false;
    }
    const auto isSafeToRetry = outcome == attempt_outcome::notRun || m_route.mayRetry();
    return isSafeToRetry && m_sendCount < m_route.maxAttempts
        && m_state.retryBudgetFor(m_service->name).tryConsume(system_clock_source().now());
}

/// Whether a prefix block that crashes engines keeps the request from them. Before the first attempt the reason is
/// stored in m_why.
auto gateway_call::isQuarantined() -> bool
{
    const auto now = system_clock_source().now();
    const auto trialOrder = [&](std::uint64_t block) {
        return m_dispatch.trialRank(block, now);
    };
    if (!m_route.carriesPrompt || m_isTrial || m_answerBegan) {
        return false;
    }
    const auto verdict = m_state.blocks.check(sharedBlocks(m_request.prompt), trialOrder, now);
    m_isTrial = verdict == block_quarantine::verdict::trial;
    if (verdict != block_quarantine::verdict::refused) {
        return false;
    }
    m_state.quarantinedRequests.add();
    if (m_sendCount == 0) {
        m_why.fail(failure_kind::unavailable, "choose engine", m_service->name,
                   "a block of the prompt crashes engines");
    }
    return true;
}

auto gateway_call::answerFailure() -> asio::awaitable<void>
{
    if (m_streaming) {
        m_state.truncatedStreams.add();
        logCompletion("cut: " + m_why.text(), 200);
        co_await m_exchange.flushRelay();
        m_exchange.abortEvents();
        co_return;
    }
    if (!m_mayHaveRun && m_sendCount > 0 && m_why.kind == failure_kind::invalidInput) {
        // A server refused the request itself (421). No Retry-After: it would be refused again.
        co_await refuse(misdirectedRequest, m_why.text());
        co_return;
    }
    if (!m_mayHaveRun) {
        co_await refuse(statusOfRefusal(m_why.kind), m_why.text());
        co_return;
    }
    const auto timedOut = m_why.kind == failure_kind::deadlineExceeded;
    co_await refuse(timedOut ? gatewayTimeout : badGateway, m_why.text());
}

auto gateway_call::refuse(unsigned status, std::string_view reason) -> asio::awaitable<void>
{
    logCompletion(reason, status);
    m_state.counters.at("marjoramloom_refused_total", "status=\"" + std::to_string(status) + "\"").add();
    const auto timeToTrial = m_state.blocks.timeToTrial(sharedBlocks(m_request.prompt), system_clock_source().now());
    const auto timeToServer = m_service != nullptr ? timeToUsableServer() : duration::zero();
    const auto unservableFor = std::max(timeToTrial, timeToServer);
    auto answer = makeErrorReply(m_state, m_request, status, reason, unservableFor);
    co_await m_exchange.reply(std::move(answer));
}

auto gateway_call::remainingTime() const -> duration
{
    auto timeout = duration(m_route.timeout);
    if (m_request.callerTimeout) {
        timeout = std::min<duration>(timeout, *m_request.callerTimeout);
    }
    const auto elapsed = boot_clock::now() - m_request.arrived;
    return std::max<duration>(timeout - elapsed - ANSWER_MARGIN, duration::zero());
}

auto gateway_call::noteAnswered(unsigned status) -> void
{
    m_state.answeredRequests.add();
    m_state.answerLatency.observe(boot_clock::now() - m_request.arrived);
    logCompletion("answered", status);
}

auto gateway_call::logCompletion(std::string_view outcome, unsigned status) const -> void
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - m_request.arrived);
    log_line(log_level::info, "request")
        .with("request", m_request.id)
        .with("route", m_route.name)
        .with("account", m_account)
        .with("status", status)
        .with("outcome", outcome)
        .with("sends", m_sendCount)
        .with("configuration", m_routes->version())
        .with("ms", elapsed.count());
}

} // namespace marjoramloom
