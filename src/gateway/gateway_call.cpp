#include "marjoramloom/gateway/gateway_call.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/error_reply.h"
#include "marjoramloom/gateway/event_splitter.h"
#include "platform/header_format.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>
#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

/// Time limit for opening a connection to a backend server.
constexpr auto connectTimeout = std::chrono::milliseconds(400);
/// The router answers this long before the caller's time limit, so that the answer arrives in time.
constexpr auto answerMargin = std::chrono::milliseconds(15);
/// Limit of all answers together that are not event streams; they are buffered completely before they are forwarded.
constexpr auto maxBufferedBytes = std::size_t(16) << 20U;
/// Events are forwarded at the latest once they take this much memory.
constexpr auto maxEventBatchBytes = std::size_t(16) << 10U;
/// Limits for the rest of an answer that is dropped so that its connection can be reused.
constexpr auto maxSkippedBytes = std::size_t(256) << 10U;
constexpr auto maxSkipTime = std::chrono::milliseconds(100);
/// Late answers to earlier requests that may precede the answer on a connection.
constexpr auto maxStrayAnswers = 4;
/// Idle time after which a server may close a connection if its answer has no Keep-Alive timeout.
constexpr auto defaultIdleTimeout = std::chrono::milliseconds(300);
/// Connections are not reused this shortly before the Keep-Alive timeout of the server.
constexpr auto idleMargin = std::chrono::milliseconds(500);

auto isSuccess(const http::response_header<> &head) -> bool
{
    return http::to_status_class(head.result()) == http::status_class::successful;
}

/// Whether a caller takes \p status to mean that its request was not executed.
auto impliesNotExecuted(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

auto isEventStream(const http::response_header<> &head) -> bool
{
    const auto type = head[http::field::content_type];
    return type.starts_with("text/event-stream");
}

/// Counts an attempt in the load of its server for as long as the object lives.
class load_reservation
{
public:
    load_reservation(server_loads &loads, const chosen_server &chosen)
        : m_loads(loads)
        , m_server(chosen.server)
        , m_pendingPrefillTokens(chosen.prefillTokens)
    {
        auto &load = m_loads.at(*m_server);
        ++load.running;
        load.pendingPrefillTokens += m_pendingPrefillTokens;
    }
    ~load_reservation()
    {
        notePrefillDone();
        --m_loads.at(*m_server).running;
    }
    load_reservation(const load_reservation &) = delete;
    auto operator=(const load_reservation &) -> load_reservation & = delete;

    /// The server has finished the prefill of the prompt.
    auto notePrefillDone() -> void
    {
        m_loads.at(*m_server).pendingPrefillTokens -= m_pendingPrefillTokens;
        m_pendingPrefillTokens = 0;
    }

private:
    server_loads &m_loads;
    server_directory::server_ptr m_server;
    std::uint64_t m_pendingPrefillTokens;
};

/// The part of an answer that was read, which counts towards the memory for all answers.
class answer_buffer
{
public:
    explicit answer_buffer(std::size_t &total)
        : m_total(total)
    {
    }
    ~answer_buffer()
    {
        m_total -= m_content.size();
    }
    answer_buffer(const answer_buffer &) = delete;
    auto operator=(const answer_buffer &) -> answer_buffer & = delete;

    /// Appends \p part unless the answer would use more than half of the memory that the other answers leave.
    auto append(std::string_view part) -> bool
    {
        const auto others = m_total - m_content.size();
        const auto left = maxBufferedBytes - std::min(maxBufferedBytes, others);
        if (m_content.size() + part.size() > left / 2) {
            return false;
        }
        m_content += part;
        m_total += part.size();
        return true;
    }

    [[nodiscard]] auto content() const -> const std::string &
    {
        return m_content;
    }

private:
    std::size_t &m_total;
    std::string m_content;
};

} // namespace

/// State of one attempt to send the request to a server.
struct gateway_call::send_attempt
{
    const chosen_server &chosen;
    std::shared_ptr<http_connection> connection;
    load_reservation &load;
    event_splitter splitter;
    time_point sentAt;
    bool onReusedConnection = false; ///< The connection has carried other requests.
    bool receivedEvent = false;
    std::string unsentEvents; ///< Complete events that were not forwarded yet.
};

gateway_call::gateway_call(gateway_state &state, placement_dispatch &dispatch, http_exchange &exchange,
                           routed_request request, std::shared_ptr<const route_table> routes, const route_rule &route,
                           std::string account)
    : m_state(state)
    , m_dispatch(dispatch)
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
    co_await sendWithRetries();
}

/// Cost that is charged to the client account: prompt tokens plus twice the expected output tokens.
auto gateway_call::costTokens() const -> std::uint64_t
{
    return m_request.prompt.promptTokens + std::uint64_t(2) * m_request.prompt.likelyOutputTokens();
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
        auto &tried = outcome == attempt_outcome::notRun || isPaused ? m_fullServers : m_failedServers;
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

/// Chooses the server for the next attempt. Returns nothing if there is none or the request is refused; before the
/// first attempt the reason is stored in m_why.
auto gateway_call::chooseServer() -> asio::awaitable<std::optional<chosen_server>>
{
    auto why = last_reason();
    auto chosen = std::optional<chosen_server>();
    if (timeToUsableServer() > duration::zero()) {
        why.fail(failure_kind::unavailable, "choose server", m_service->name, "every server asked for a pause");
    } else if (m_service->engine && m_route.carriesPrompt) {
        chosen = co_await chooseEngineForPrompt(why);
    } else {
        chosen = co_await choosePlainServerForRequest(why);
    }
    if (!chosen && m_sendCount == 0) {
        m_why = why;
    }
    co_return chosen;
}

auto gateway_call::chooseEngineForPrompt(last_reason &why) -> asio::awaitable<std::optional<chosen_server>>
{
    auto query = placement_query{ .service = m_service->name,
                                  .shard = shardOf(m_state.servers.usable(m_service->name), m_request.prompt),
                                  .prompt = m_request.prompt,
                                  .account = m_accountId,
                                  .objective = m_route.latencyObjective,
                                  .failedServers = m_failedServers,
                                  .fullServers = m_fullServers,
                                  .plain = false,
                                  .dataCentre = {},
                                  .alreadySent = m_sendCount > 0 };
    excludePausedServers(query);
    auto decision = co_await m_dispatch.decide(query, why);
    if (decision && decision->chosen) {
        co_return std::move(decision->chosen);
    }
    if (query.alreadySent) {
        // A request that was already sent to a server is not refused here: its retry may go to any engine of the
        // service.
        co_return chooseEngine(m_state, *m_service, {}, m_request.prompt, query.triedServers(),
                               system_clock_source().now(), why);
    }
    co_return std::nullopt;
}

auto gateway_call::choosePlainServerForRequest(last_reason &why) -> asio::awaitable<std::optional<chosen_server>>
{
    const auto shards = shardCount(m_state.servers.usable(m_service->name).size());
    auto query = placement_query{ .service = m_service->name,
                                  .shard = { .index = static_cast<std::uint32_t>(hash64(m_request.id) % shards),
                                             .count = shards },
                                  .prompt = {},
                                  .account = m_account.empty() ? 0 : m_accountId,
                                  .objective = m_route.latencyObjective,
                                  .failedServers = m_failedServers,
                                  .fullServers = m_fullServers,
                                  .plain = true,
                                  .dataCentre = m_state.dataCentre,
                                  .alreadySent = m_sendCount > 0 };
    excludePausedServers(query);
    auto decision = co_await m_dispatch.decide(query, why);
    co_return decision ? std::move(decision->chosen) : std::nullopt;
}

/// Excludes the servers that asked this router for a pause. If none is left in the shard of \p query, the query becomes
/// one for all servers of the service.
auto gateway_call::excludePausedServers(placement_query &query) const -> void
{
    if (m_state.pauses.size() == 0) {
        return;
    }
    const auto now = boot_clock::now();
    const auto exclude = [&] {
        auto isAnyLeft = false;
        for (const auto &server : m_state.servers.usable(query.service)) {
            const auto incarnation = server_loads::incarnationId(*server);
            const auto isPaused = m_state.pauses.remaining(incarnation, now) > duration::zero();
            if (isPaused && query.shard.contains(server->id)) {
                query.fullServers.insert(incarnation);
            }
            isAnyLeft = isAnyLeft || (!isPaused && query.shard.contains(server->id));
        }
        return isAnyLeft;
    };
    if (!exclude()) {
        query.shard = {};
        exclude();
    }
}

/// How much longer all servers of the service that accept new requests have asked this router for a pause; 0 if one has
/// not, or if there is none.
auto gateway_call::timeToUsableServer() const -> duration
{
    const auto &servers = m_state.servers.usable(m_service->name);
    if (m_state.pauses.size() < servers.size()) {
        return duration::zero();
    }
    auto incarnations = std::vector<std::uint64_t>();
    incarnations.reserve(servers.size());
    for (const auto &server : servers) {
        incarnations.push_back(server_loads::incarnationId(*server));
    }
    return m_state.pauses.remainingForAll(incarnations, boot_clock::now());
}

auto gateway_call::mayRetry(attempt_outcome outcome) -> bool
{
    if (remainingTime() <= answerMargin || m_control->cancelled()) {
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

auto gateway_call::sendAttempt(const chosen_server &chosen) -> asio::awaitable<attempt_outcome>
{
    auto why = last_reason();
    // The attempt counts before it connects, so that the next decision takes it into account.
    auto load = load_reservation(m_state.loads, chosen);
    auto connection = co_await openConnection(chosen, why);
    if (!connection) {
        m_why = why;
        noteServerFailed(*chosen.server);
        co_return m_control->cancelled() ? attempt_outcome::callerDisconnected : attempt_outcome::notSent;
    }
    if (!canStillSend(chosen, why)) {
        keepConnection(std::move(connection), *chosen.server);
        m_why = why;
        co_return why.kind == failure_kind::cancelled ? attempt_outcome::callerDisconnected : attempt_outcome::notSent;
    }
    auto attempt = send_attempt{ .chosen = chosen,
                                 .connection = connection,
                                 .load = load,
                                 .splitter = {},
                                 .sentAt = system_clock_source().now(),
                                 .onReusedConnection = connection->anythingSent(),
                                 .receivedEvent = false,
                                 .unsentEvents = {} };
    m_firstEventLatency = {};
    const auto listener = m_control->addListener([connection] { connection->interrupt(); });
    if (m_sendCount++ == 0) {
        if (m_route.carriesPrompt) {
            m_state.accounts.noteStarted(m_accountId, costTokens(), system_clock_source().now());
        }
        m_state.retryBudgetFor(m_service->name).noteFirstAttempt(system_clock_source().now());
    }
    if (!m_request.prompt.parts.empty()) {
        m_state.unreportedPrefills.push_back(
            m_state.recordPrefill(server_loads::incarnationId(*chosen.server), m_request.prompt));
    }
    auto outcome = co_await sendAndReadAnswer(attempt);
    m_control->removeListener(listener);
    if (m_control->cancelled() && outcome != attempt_outcome::answered) {
        connection->interrupt();
        co_return attempt_outcome::callerDisconnected;
    }
    if (outcome == attempt_outcome::answered || outcome == attempt_outcome::notRun
        || outcome == attempt_outcome::failed) {
        keepConnection(std::move(connection), *chosen.server);
    } else {
        connection->interrupt();
    }
    co_return outcome;
}

/// Keeps \p connection for further requests unless \p server takes none.
auto gateway_call::keepConnection(std::shared_ptr<http_connection> connection, const listed_server &server) -> void
{
    if (m_state.servers.isUsable(server)) {
        m_state.connections.giveBack(std::move(connection), m_state.maxIdleConnections(*m_service));
    } else {
        connection->interrupt();
    }
}

auto gateway_call::openConnection(const chosen_server &chosen, last_reason &why)
    -> asio::awaitable<std::shared_ptr<http_connection>>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto &address = chosen.server->address;
    // The server may have closed an idle connection, which shows only after the request was sent; so requests that may
    // be executed at most once get a new connection.
    if (m_route.mayRetry() || m_route.kind == route_kind::eventStream) {
        if (auto idle = m_state.connections.take(address, executor)) {
            co_return idle;
        }
    }
    auto connection = std::make_shared<http_connection>(executor, address);
    const auto timeout = std::min<duration>(connectTimeout, remainingTime());
    const auto listener = m_control->addListener([connection] { connection->interrupt(); });
    const auto connected = co_await connection->connect(timeout, why);
    m_control->removeListener(listener);
    co_return connected ? connection : nullptr;
}

/// Checks again, once the connection is open, whether the request may be sent: meanwhile the caller, the keys or the
/// server may have changed, above all if the machine was suspended.
auto gateway_call::canStillSend(const chosen_server &chosen, last_reason &why) -> bool
{
    if (m_control->cancelled() || m_exchange.isCallerDisconnected()) {
        why.fail(failure_kind::cancelled, "send request", chosen.server->id, "the caller left");
    } else if (remainingTime() <= answerMargin) {
        why.fail(failure_kind::deadlineExceeded, "send request", chosen.server->id, "no time left");
    } else if (!m_route.anonymous && !m_state.keys.isFresh(boot_clock::now())) {
        why.fail(failure_kind::unavailable, "send request", chosen.server->id, "keys not confirmed lately");
    } else if (m_route.carriesPrompt && !m_isTrial && !m_answerBegan
               && m_state.blocks.isQuarantined(sharedBlocks(m_request.prompt))) {
        why.fail(failure_kind::unavailable, "send request", chosen.server->id, "a block of the prompt crashes engines");
    } else if (!m_state.servers.isUsable(*chosen.server)) {
        why.fail(failure_kind::leaving, "send request", chosen.server->id, "the server is leaving or gone");
    } else if (m_state.pauses.remaining(server_loads::incarnationId(*chosen.server), boot_clock::now())
               > duration::zero()) {
        why.fail(failure_kind::unavailable, "send request", chosen.server->id, "the server asked for a pause");
    } else {
        return true;
    }
    return false;
}

/// The fields that the router sets in the request to the chosen server.
auto gateway_call::addedFields(const chosen_server &chosen) const -> platform::forwarding_headers
{
    auto added = platform::forwarding_headers();
    added.serverId = chosen.server->id;
    added.account = m_account;
    added.remainingTime = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime());
    if (m_lastEventId != m_request.lastEventId) {
        added.resumeAfter = m_lastEventId;
    }
    return added;
}

auto gateway_call::makeUpstreamRequest(const platform::forwarding_headers &added) const -> http_connection::request
{
    const auto &original = m_exchange.request();
    auto request = http_connection::request();
    request.version(11);
    request.method_string(original.method_string());
    request.target(original.target());
    platform::copyRequestFields(original.base(), added, request);
    request.body() = original.body();
    const auto hadBody = original.find(http::field::content_length) != original.end() || original.chunked();
    if (!request.body().empty() || hadBody) {
        request.content_length(request.body().size());
    }
    return request;
}

auto gateway_call::sendAndReadAnswer(send_attempt &attempt) -> asio::awaitable<attempt_outcome>
{
    const auto &server = *attempt.chosen.server;
    const auto added = addedFields(attempt.chosen);
    const auto request = makeUpstreamRequest(added);
    auto longFields = platform::formatLongFields(m_exchange.request().base(), m_exchange.longFields(), added);
    if (!co_await attempt.connection->send(request, remainingTime(), m_why, std::move(longFields))
        || !co_await readMatchingHead(attempt)) {
        noteServerFailed(server);
        noteBroken(attempt, crash_sign::noAnswer);
        co_return attempt_outcome::incomplete;
    }
    const auto &head = attempt.connection->head();
    const auto idle = platform::idleTimeout(head);
    attempt.connection->setIdleLimit(idle ? duration(*idle) - idleMargin : duration(defaultIdleTimeout));
    if (platform::saysNotRun(head)) {
        if (head.result() == http::status::misdirected_request) {
            m_state.servers.noteMisdirected(server);
        }
        const auto status = head.result_int();
        const auto isWhole = co_await attempt.connection->skipRest(
            maxSkippedBytes, std::min<duration>(maxSkipTime, remainingTime()), m_why);
        m_why.fail(failure_kind::overloaded, "read answer", server.id,
                   "the server did not run it: status " + std::to_string(status));
        if (isWhole && (status == tooManyRequests || status == unavailable)) {
            noteServerFull(attempt.chosen);
        } else {
            noteServerFailed(server);
        }
        co_return attempt_outcome::notRun;
    }
    if (isSuccess(head) && isEventStream(head)) {
        co_return co_await relayStream(attempt);
    }
    co_return co_await relayCompleteAnswer(attempt);
}

/// Reads answers until the head of this request's answer: a late or repeated answer to an earlier request may precede
/// it on the connection. An answer without an id may be such a one unless the connection is new.
auto gateway_call::readMatchingHead(send_attempt &attempt) -> asio::awaitable<bool>
{
    for (auto strayAnswers = 0; strayAnswers <= maxStrayAnswers; ++strayAnswers) {
        if (!co_await attempt.connection->readHead(remainingTime(), m_why)) {
            co_return false;
        }
        noteServerNotice(*attempt.chosen.server, attempt.connection->head());
        const auto answeredId = platform::answeredRequestId(attempt.connection->head());
        if (answeredId == m_request.id || (answeredId.empty() && !attempt.onReusedConnection)) {
            co_return true;
        }
        if (answeredId.empty()) {
            m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id,
                       "an answer without a request id on a reused connection");
            co_return false;
        }
        log_line(log_level::warning, "stray_answer")
            .with("request", m_request.id)
            .with("answered", answeredId)
            .with("server", attempt.chosen.server->id);
        if (!co_await attempt.connection->skipRest(maxSkippedBytes, remainingTime(), m_why)) {
            co_return false;
        }
    }
    m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id,
               "too many answers to other requests");
    co_return false;
}

auto gateway_call::relayCompleteAnswer(send_attempt &attempt) -> asio::awaitable<attempt_outcome>
{
    auto body = answer_buffer(m_state.bufferedAnswerBytes);
    const auto append = [&](std::string_view part) {
        return body.append(part);
    };
    if (!co_await attempt.connection->readAllParts(append, remainingTime(), m_why)) {
        noteServerFailed(*attempt.chosen.server);
        noteBroken(attempt, crash_sign::beganAnswer);
        co_return attempt_outcome::incomplete;
    }
    const auto &from = attempt.connection->head();
    const auto status = from.result_int();
    const auto isFailure = http::to_status_class(from.result()) == http::status_class::server_error;
    if (isFailure || impliesNotExecuted(status) || m_streaming) {
        m_why.fail(failure_kind::unknownOutcome, "read answer", attempt.chosen.server->id,
                   "status " + std::to_string(status));
        noteServerFailed(*attempt.chosen.server);
        const auto mayContinue = m_streaming || (m_route.mayRetry() && m_sendCount < m_route.maxAttempts);
        // A status that implies that the request was not executed is not forwarded: the server may have executed it.
        if (mayContinue || impliesNotExecuted(status)) {
            co_return attempt_outcome::failed;
        }
    } else {
        noteServed(attempt);
    }
    auto head = http::response_header<>();
    head.result(status);
    platform::copyAnswerFields(from, head);
    noteAnswered(status);
    co_await m_exchange.relayComplete(head, body.content());
    co_return attempt_outcome::answered;
}

auto gateway_call::relayStream(send_attempt &attempt) -> asio::awaitable<attempt_outcome>
{
    const auto outcome = co_await readStream(attempt);
    // Events that arrived before a failure are forwarded, as the next attempt continues after them.
    if (outcome != attempt_outcome::callerDisconnected && !co_await relayEvents(attempt)) {
        co_return attempt_outcome::callerDisconnected;
    }
    if (outcome != attempt_outcome::answered) {
        co_return outcome;
    }
    startStreaming(attempt);
    m_state.loads.noteSuccess(*attempt.chosen.server);
    noteAnswered(attempt.connection->status());
    co_await m_exchange.finishRelay();
    co_return attempt_outcome::answered;
}

/// Reads and forwards the stream. At its end, or at a failure, some events may still have to be forwarded.
auto gateway_call::readStream(send_attempt &attempt) -> asio::awaitable<attempt_outcome>
{
    while (true) {
        co_await waitForEvents(attempt);
        const auto part = co_await attempt.connection->readPart(remainingTime(), m_why);
        if (!part) {
            noteServerFailed(*attempt.chosen.server);
            noteBroken(attempt, crash_sign::beganAnswer);
            co_return attempt_outcome::incomplete;
        }
        if (part->empty()) {
            break;
        }
        const auto isValid = takeEvents(attempt, *part);
        if (attempt.splitter.isEventTooLong()) {
            m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id,
                       "an event over the size limit");
            noteServerFailed(*attempt.chosen.server);
        }
        if (!isValid || attempt.splitter.isEventTooLong()) {
            co_return attempt_outcome::incomplete;
        }
        const auto isBatchComplete = !isEventBuffered(attempt) || attempt.unsentEvents.size() >= maxEventBatchBytes;
        if (isBatchComplete && !co_await relayEvents(attempt)) {
            co_return attempt_outcome::callerDisconnected;
        }
    }
    if (attempt.splitter.hasPartialEvent()) {
        m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id, "ends within an event");
        noteBroken(attempt, crash_sign::beganAnswer);
        co_return attempt_outcome::incomplete;
    }
    if (m_streaming && !attempt.receivedEvent && attempt.connection->endsWithConnection()) {
        m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id,
                   "closed without going on with the stream");
        co_return attempt_outcome::incomplete;
    }
    co_return attempt_outcome::answered;
}

/// Whether the end of another event was received and not read yet. The rest of a chunk's frame alone is not waited for.
auto gateway_call::isEventBuffered(const send_attempt &attempt) -> bool
{
    return attempt.connection->bufferedInput().find("\n\n") != std::string_view::npos;
}

/// On a router with much load, waits for further events so that they are read together. The first event is read at
/// once.
auto gateway_call::waitForEvents(const send_attempt &attempt) const -> asio::awaitable<void>
{
    if (!attempt.receivedEvent || isEventBuffered(attempt)) {
        co_return;
    }
    const auto wait = m_state.eventBatching.wait(m_state.running, m_state.settings.cores, m_route.eventGapObjective);
    if (wait > duration::zero()) {
        auto timer = asio::steady_timer(co_await asio::this_coro::executor, std::min(wait, remainingTime()));
        auto error = boost::system::error_code();
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

/// Forwards the head of the answer, unless that of an earlier attempt was already forwarded.
auto gateway_call::startStreaming(const send_attempt &attempt) -> void
{
    if (m_streaming) {
        return;
    }
    auto head = http::response_header<>();
    head.result(attempt.connection->head().result_int());
    platform::copyAnswerFields(attempt.connection->head(), head);
    m_exchange.beginRelay(head);
    m_streaming = true;
}

/// Takes the complete events in \p bytes over for the caller. Returns false, with the reason in m_why, if the stream
/// cannot continue; the events before that are taken over.
auto gateway_call::takeEvents(send_attempt &attempt, std::string_view bytes) -> bool
{
    for (auto &event : attempt.splitter.feed(bytes)) {
        if (m_streaming && !attempt.receivedEvent && !event.id) {
            // An engine that does not know how to go on may report that as an event.
            m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id,
                       "does not go on with the stream");
            return false;
        }
        if (!attempt.receivedEvent) {
            attempt.receivedEvent = true;
            m_firstEventLatency = system_clock_source().now() - attempt.sentAt;
            m_state.firstEventLatency.observe(m_firstEventLatency);
            attempt.load.notePrefillDone();
            noteAnswerBegun();
        }
        if (event.id && m_lastEventId && *event.id <= *m_lastEventId) {
            continue; // The caller has received it in an earlier attempt.
        }
        if (event.id && m_lastEventId && *event.id != *m_lastEventId + 1) {
            m_why.fail(failure_kind::protocolViolation, "read answer", attempt.chosen.server->id,
                       "an event is missing");
            return false;
        }
        m_lastEventId = event.id ? event.id : m_lastEventId;
        attempt.unsentEvents += event.bytes;
    }
    return true;
}

/// Forwards the events that were taken over. Returns false if the caller has disconnected.
auto gateway_call::relayEvents(send_attempt &attempt) -> asio::awaitable<bool>
{
    if (attempt.unsentEvents.empty()) {
        co_return true;
    }
    startStreaming(attempt);
    co_return co_await m_exchange.relayChunk(std::exchange(attempt.unsentEvents, {}));
}

/// Counts a failed attempt, with the reason in m_why, as a failure of the server. If the caller has disconnected, the
/// failure says nothing about the server and is not counted.
auto gateway_call::noteServerFailed(const listed_server &server) -> void
{
    if (m_control->cancelled()) {
        return;
    }
    m_state.loads.noteFailure(server, system_clock_source().now());
    log_line(log_level::info, "server_failed")
        .with("request", m_request.id)
        .with("server", server.id)
        .with("in_row", m_state.loads.at(server).consecutiveFailures)
        .with("reason", m_why.text());
}

/// Records that the connection ended before the first event of the answer, with the reason in m_why: the engine may
/// have crashed by the request.
auto gateway_call::noteBroken(const send_attempt &attempt, crash_sign sign) -> void
{
    const auto blocks = sharedBlocks(m_request.prompt);
    if (!m_route.carriesPrompt || m_answerBegan || blocks.empty() || m_control->cancelled()
        || (m_why.kind != failure_kind::unknownOutcome && m_why.kind != failure_kind::protocolViolation)) {
        return;
    }
    const auto engine = server_loads::incarnationId(*attempt.chosen.server);
    m_state.blocks.noteBroken(engine, sign, std::exchange(m_brokeOff, true), blocks, system_clock_source().now());
    log_line(log_level::info, "crash_suspect")
        .with("request", m_request.id)
        .with("server", attempt.chosen.server->id)
        .with("answer", sign == crash_sign::beganAnswer ? "began" : "none")
        .with("blocks", blocks.size())
        .with("last_block", blocks.back().id)
        .with("may_resend", m_state.blocks.mayResend(blocks) ? "yes" : "no");
}

auto gateway_call::noteAnswerBegun() -> void
{
    m_answerBegan = true;
    m_state.blocks.noteAnswerBegun(sharedBlocks(m_request.prompt), system_clock_source().now());
}

/// Records what the server states about itself in \p head, which may be that of a late answer to an earlier request. An
/// answer with status 421 comes from another process at the server's address.
auto gateway_call::noteServerNotice(const listed_server &server, const http::response_header<> &head) -> void
{
    if (head.result() == http::status::misdirected_request) {
        return;
    }
    const auto notice = platform::decodeServerNotice(head);
    const auto incarnation = server_loads::incarnationId(server);
    if (!notice.malformedField.empty()) {
        m_state.malformedNotices.add();
        log_line(log_level::warning, "server_notice_malformed")
            .with("request", m_request.id)
            .with("server", server.id)
            .with("field", notice.malformedField);
    }
    if (notice.leaving
        && m_state.servers.noteLeaving(incarnation, leaving_source::answer, system_clock_source().now())) {
        m_state.leavingNotices.add();
    }
    if (notice.pause) {
        m_state.pauses.note(incarnation, *notice.pause, boot_clock::now());
        m_state.pauseNotices.add();
        log_line(log_level::info, "server_pause")
            .with("request", m_request.id)
            .with("server", server.id)
            .with("asked_ms", toSeconds(*notice.pause) * 1e3)
            .with("kept_ms", toSeconds(m_state.pauses.remaining(incarnation, boot_clock::now())) * 1e3);
    }
}

/// Records a refusal by a server that is full, which is no failure of the server.
auto gateway_call::noteServerFull(const chosen_server &chosen) -> void
{
    m_state.loads.at(*chosen.server).noteFull(chosen.running, system_clock_source().now());
    if (chosen.lease) {
        chosen.lease->noteServerFull();
    }
    m_state.fullServerAnswers.add();
}

/// Records how long the server of a plain service took for a complete answer.
auto gateway_call::noteServed(const send_attempt &attempt) -> void
{
    m_state.loads.noteSuccess(*attempt.chosen.server);
    if (m_route.carriesPrompt) {
        noteAnswerBegun();
        return;
    }
    const auto latency = system_clock_source().now() - attempt.sentAt;
    if (attempt.chosen.lease) {
        attempt.chosen.lease->noteServed(latency);
    }
    const auto slots = std::max(1U, attempt.chosen.server->slots);
    m_state.loads.at(*attempt.chosen.server).capacity.noteServed(attempt.chosen.running, slots, latency);
}

auto gateway_call::answerFailure() -> asio::awaitable<void>
{
    if (m_streaming) {
        m_state.truncatedStreams.add();
        logCompletion("cut: " + m_why.text(), 200);
        m_exchange.abortEvents();
        co_return;
    }
    if (!m_mayHaveRun) {
        co_await refuse(m_why.kind == failure_kind::overloaded ? tooManyRequests : unavailable, m_why.text());
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
    return std::max<duration>(timeout - elapsed - answerMargin, duration::zero());
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
