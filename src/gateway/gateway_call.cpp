#include "marjoramloom/gateway/gateway_call.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/error_reply.h"
#include "marjoramloom/gateway/event_splitter.h"
#include "platform/header_format.h"

#include <cassert>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned tooManyRequests = 429;
constexpr unsigned badGateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gatewayTimeout = 504;

/// Longest wait for a new connection to a backend server.
constexpr auto connectLimit = std::chrono::milliseconds(400);
/// The caller's answer is on its way this long before its time is up.
constexpr auto answerMargin = std::chrono::milliseconds(15);
/// Answers that are no streams are read whole before they are passed on, up to this size.
constexpr auto wholeAnswerBytes = std::size_t(8) << 20U;
/// Shortest idle time after which a server may close a connection that names no limit.
constexpr auto unnamedIdleLimit = std::chrono::milliseconds(300);
/// Connections are not used this close to the end of the idle time that the server named.
constexpr auto idleMargin = std::chrono::milliseconds(500);

auto isSuccess(const http::response_header<> &head) -> bool
{
    return http::to_status_class(head.result()) == http::status_class::successful;
}

/// Statuses that would promise the caller that its request was not run.
auto promisesNotRun(unsigned status) -> bool
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

auto isEventStream(const http::response_header<> &head) -> bool
{
    const auto type = head[http::field::content_type];
    return type.starts_with("text/event-stream");
}

/// Counts one send at a server until it ends.
class load_guard
{
public:
    load_guard(server_loads &loads, const chosen_server &chosen)
        : m_loads(loads)
        , m_server(chosen.server)
        , m_unread(chosen.prefillTokens)
    {
        auto &load = m_loads.at(*m_server);
        ++load.running;
        load.pendingPrefillTokens += m_unread;
    }
    ~load_guard()
    {
        noteRead();
        --m_loads.at(*m_server).running;
    }
    load_guard(const load_guard &) = delete;
    auto operator=(const load_guard &) -> load_guard & = delete;

    /// The server has read the prompt.
    auto noteRead() -> void
    {
        m_loads.at(*m_server).pendingPrefillTokens -= m_unread;
        m_unread = 0;
    }

private:
    server_loads &m_loads;
    server_directory::server_ptr m_server;
    std::uint64_t m_unread;
};

} // namespace

/// One send to one server.
struct gateway_call::send_state
{
    const chosen_server &chosen;
    std::shared_ptr<http_connection> connection;
    load_guard &load;
    event_splitter splitter;
    time_point sentAt;
    bool gotEvent = false;
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
    , m_lastEvent(m_request.lastEventId)
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
    co_await sendUntilDone();
}

/// What the request costs its account: tokens read and, twice, tokens generated.
auto gateway_call::cost() const -> std::uint64_t
{
    return m_request.prompt.promptTokens + std::uint64_t(2) * m_request.prompt.likelyOutputTokens();
}

auto gateway_call::sendUntilDone() -> asio::awaitable<void>
{
    auto end = send_end::notSent;
    while (true) {
        const auto chosen = co_await choose();
        if (!chosen) {
            break;
        }
        end = co_await sendOnce(*chosen);
        log_line(log_level::info, "sent")
            .with("request", m_request.id)
            .with("server", chosen->server->id)
            .with("end", nameOf(end))
            .with("to_read", chosen->prefillTokens)
            .with("prompt", m_request.prompt.promptTokens)
            .with("wait_ms", toSeconds(chosen->wait) * 1e3)
            .with("expected_ms", toSeconds(chosen->firstEvent) * 1e3)
            .with("first_event_ms", toSeconds(m_firstEvent) * 1e3)
            .with("running", chosen->running)
            .with("candidates", chosen->candidates)
            .with("reason", m_why.text());
        m_mayHaveRun = m_mayHaveRun || end == send_end::broken || end == send_end::failed;
        if (end == send_end::answered || end == send_end::callerLeft || !maySendAgain(end)) {
            break;
        }
        m_tried.insert(server_loads::incarnationId(*chosen->server));
    }
    if (end == send_end::callerLeft) {
        logEnd("caller left", 0);
        if (!m_exchange.answered()) {
            m_exchange.drop();
        }
    } else if (end != send_end::answered) {
        co_await giveUp();
    }
}

/// A server for the next send; nothing, with the reason in m_why, where there is none or the request is refused.
auto gateway_call::choose() -> asio::awaitable<std::optional<chosen_server>>
{
    auto why = last_reason();
    auto chosen = std::optional<chosen_server>();
    if (m_service->engine && m_route.carriesPrompt) {
        chosen = co_await chooseForPrompt(why);
    } else {
        chosen = choosePlainServer(m_state, *m_service, m_tried, system_clock_source().now(), why);
    }
    if (!chosen && m_sends == 0) {
        m_why = why;
    }
    co_return chosen;
}

auto gateway_call::chooseForPrompt(last_reason &why) -> asio::awaitable<std::optional<chosen_server>>
{
    const auto query = placement_query{ .service = m_service->name,
                                        .part = shardOf(m_state.servers.usable(m_service->name), m_request.prompt),
                                        .prompt = m_request.prompt,
                                        .account = m_accountId,
                                        .objective = m_route.latencyObjective,
                                        .failed = m_tried,
                                        .alreadySent = m_sends > 0 };
    auto decision = co_await m_dispatch.decide(query, why);
    if (decision && decision->chosen) {
        co_return std::move(decision->chosen);
    }
    if (query.alreadySent) {
        // Work that was begun goes on wherever it can.
        co_return chooseEngine(m_state, *m_service, {}, m_request.prompt, m_tried, system_clock_source().now(), why);
    }
    co_return std::nullopt;
}

auto gateway_call::maySendAgain(send_end end) -> bool
{
    if (timeLeft() <= answerMargin || m_control->cancelled()) {
        return false;
    }
    if (end == send_end::notSent) {
        return true;
    }
    const auto repeatable = end == send_end::notRun || m_route.mayRetry();
    return repeatable && m_sends < m_route.maxAttempts
        && m_state.repeatsOf(m_service->name).take(system_clock_source().now());
}

auto gateway_call::sendOnce(const chosen_server &chosen) -> asio::awaitable<send_end>
{
    auto why = last_reason();
    // Counted from the decision on, so that the next one sees it.
    auto load = load_guard(m_state.loads, chosen);
    auto connection = co_await openConnection(chosen, why);
    if (!connection) {
        m_why = why;
        noteServerFailed(*chosen.server);
        co_return m_control->cancelled() ? send_end::callerLeft : send_end::notSent;
    }
    if (!mayStillSend(chosen, why)) {
        m_state.connections.giveBack(std::move(connection), m_state.idleLimit(*m_service));
        m_why = why;
        co_return why.kind == failure_kind::cancelled ? send_end::callerLeft : send_end::notSent;
    }
    auto sending = send_state{ .chosen = chosen,
                               .connection = connection,
                               .load = load,
                               .splitter = {},
                               .sentAt = system_clock_source().now(),
                               .gotEvent = false };
    m_firstEvent = {};
    const auto listening = m_control->addListener([connection] { connection->interrupt(); });
    if (m_sends++ == 0) {
        if (m_route.carriesPrompt) {
            m_state.accounts.noteStarted(m_accountId, cost(), system_clock_source().now());
        }
        m_state.repeatsOf(m_service->name).noteFirstAttempt(system_clock_source().now());
    }
    if (!m_request.prompt.parts.empty()) {
        m_state.unreportedReads.push_back(
            m_state.noteRead(server_loads::incarnationId(*chosen.server), m_request.prompt));
    }
    auto end = co_await exchangeWith(sending);
    m_control->removeListener(listening);
    if (m_control->cancelled() && end != send_end::answered) {
        connection->interrupt();
        co_return send_end::callerLeft;
    }
    if (end == send_end::answered || end == send_end::notRun || end == send_end::failed) {
        m_state.connections.giveBack(std::move(connection), m_state.idleLimit(*m_service));
    } else {
        connection->interrupt();
    }
    co_return end;
}

auto gateway_call::openConnection(const chosen_server &chosen, last_reason &why)
    -> asio::awaitable<std::shared_ptr<http_connection>>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto &address = chosen.server->address;
    // Whether a kept connection still works shows only after a request was sent on it.
    if (m_route.mayRetry() || m_route.kind == route_kind::eventStream) {
        if (auto kept = m_state.connections.take(address, executor)) {
            co_return kept;
        }
    }
    auto fresh = std::make_shared<http_connection>(executor, address);
    const auto limit = std::min<duration>(connectLimit, timeLeft());
    const auto listening = m_control->addListener([fresh] { fresh->interrupt(); });
    const auto connected = co_await fresh->connect(limit, why);
    m_control->removeListener(listening);
    co_return connected ? fresh : nullptr;
}

/// Whether what was decided before the connection stood still holds: the machine may have been suspended since.
auto gateway_call::mayStillSend(const chosen_server &chosen, last_reason &why) -> bool
{
    if (m_control->cancelled() || m_exchange.callerIsGone()) {
        why.fail(failure_kind::cancelled, "send request", chosen.server->id, "the caller left");
    } else if (timeLeft() <= answerMargin) {
        why.fail(failure_kind::deadlineExceeded, "send request", chosen.server->id, "no time left");
    } else if (!m_route.anonymous && !m_state.keys.isFresh(boot_clock::now())) {
        why.fail(failure_kind::unavailable, "send request", chosen.server->id, "keys not confirmed lately");
    } else if (!m_state.servers.isUsable(*chosen.server)) {
        why.fail(failure_kind::leaving, "send request", chosen.server->id, "the server is leaving or gone");
    } else {
        return true;
    }
    return false;
}

auto gateway_call::makeUpstreamRequest(const chosen_server &chosen) const -> http_connection::request
{
    const auto &asked = m_exchange.request();
    auto request = http_connection::request();
    request.version(11);
    request.method_string(asked.method_string());
    request.target(asked.target());
    auto marks = platform::forwarded_marks();
    marks.serverId = chosen.server->id;
    marks.account = m_account;
    marks.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft());
    if (m_lastEvent != m_request.lastEventId) {
        marks.resumeAfter = m_lastEvent;
    }
    platform::copyRequestFields(asked.base(), marks, request);
    request.body() = asked.body();
    const auto hadBody = asked.find(http::field::content_length) != asked.end() || asked.chunked();
    if (!request.body().empty() || hadBody) {
        request.content_length(request.body().size());
    }
    return request;
}

auto gateway_call::exchangeWith(send_state &sending) -> asio::awaitable<send_end>
{
    const auto &server = *sending.chosen.server;
    const auto request = makeUpstreamRequest(sending.chosen);
    if (!co_await sending.connection->send(request, timeLeft(), m_why) || !co_await readOwnHead(sending)) {
        noteServerFailed(server);
        co_return send_end::broken;
    }
    const auto &head = sending.connection->head();
    const auto idle = platform::idleTimeout(head);
    sending.connection->setIdleLimit(idle ? duration(*idle) - idleMargin : duration(unnamedIdleLimit));
    if (platform::saysNotRun(head)) {
        if (head.result() == http::status::misdirected_request) {
            m_state.servers.noteMisdirected(server);
        }
        const auto status = head.result_int();
        co_await sending.connection->readRest(wholeAnswerBytes, timeLeft(), m_why);
        m_why.fail(failure_kind::overloaded, "read answer", server.id,
                   "the server did not run it: status " + std::to_string(status));
        noteServerFailed(server);
        co_return send_end::notRun;
    }
    if (isSuccess(head) && isEventStream(head)) {
        co_return co_await relayStream(sending);
    }
    co_return co_await relayWhole(sending);
}

/// Reads heads until that of this request comes: a late answer to an earlier one may stand before it.
auto gateway_call::readOwnHead(send_state &sending) -> asio::awaitable<bool>
{
    while (true) {
        if (!co_await sending.connection->readHead(timeLeft(), m_why)) {
            co_return false;
        }
        const auto answered = platform::answeredRequest(sending.connection->head());
        if (answered.empty() || answered == m_request.id) {
            co_return true;
        }
        log_line(log_level::warning, "stray_answer")
            .with("request", m_request.id)
            .with("answered", answered)
            .with("server", sending.chosen.server->id);
        if (!co_await sending.connection->readRest(wholeAnswerBytes, timeLeft(), m_why)) {
            co_return false;
        }
    }
}

auto gateway_call::relayWhole(send_state &sending) -> asio::awaitable<send_end>
{
    const auto body = co_await sending.connection->readRest(wholeAnswerBytes, timeLeft(), m_why);
    if (!body) {
        noteServerFailed(*sending.chosen.server);
        co_return send_end::broken;
    }
    const auto &from = sending.connection->head();
    const auto status = from.result_int();
    const auto isFailure = http::to_status_class(from.result()) == http::status_class::server_error;
    if (isFailure || promisesNotRun(status) || m_streaming) {
        m_why.fail(failure_kind::unknownOutcome, "read answer", sending.chosen.server->id,
                   "status " + std::to_string(status));
        noteServerFailed(*sending.chosen.server);
        const auto goesOn = m_streaming || (m_route.mayRetry() && m_sends < m_route.maxAttempts);
        // A failure that the caller would take for a promise is not passed on: the request has run.
        if (goesOn || promisesNotRun(status)) {
            co_return send_end::failed;
        }
    } else {
        m_state.loads.noteSuccess(*sending.chosen.server);
    }
    auto head = http::response_header<>();
    head.result(status);
    platform::copyAnswerFields(from, head);
    noteAnswered(status);
    co_await m_exchange.relayWhole(head, *body);
    co_return send_end::answered;
}

auto gateway_call::relayStream(send_state &sending) -> asio::awaitable<send_end>
{
    while (true) {
        const auto part = co_await sending.connection->readPart(timeLeft(), m_why);
        if (!part) {
            noteServerFailed(*sending.chosen.server);
            co_return send_end::broken;
        }
        if (part->empty()) {
            break;
        }
        const auto end = co_await relayEvents(sending, *part);
        if (end != send_end::answered) {
            co_return end;
        }
    }
    if (sending.splitter.hasPartialEvent()) {
        m_why.fail(failure_kind::protocolViolation, "read answer", sending.chosen.server->id, "ends within an event");
        co_return send_end::broken;
    }
    startStreaming(sending);
    m_state.loads.noteSuccess(*sending.chosen.server);
    noteAnswered(sending.connection->status());
    co_await m_exchange.relayEnd();
    co_return send_end::answered;
}

/// The caller's answer takes the head of the first server that it comes from.
auto gateway_call::startStreaming(const send_state &sending) -> void
{
    if (m_streaming) {
        return;
    }
    auto head = http::response_header<>();
    head.result(sending.connection->head().result_int());
    platform::copyAnswerFields(sending.connection->head(), head);
    m_exchange.relayHead(head);
    m_streaming = true;
}

/// Passes whole events on; answered means that the stream goes on.
auto gateway_call::relayEvents(send_state &sending, std::string_view bytes) -> asio::awaitable<send_end>
{
    auto piece = std::string();
    for (auto &event : sending.splitter.feed(bytes)) {
        if (!sending.gotEvent) {
            sending.gotEvent = true;
            m_firstEvent = system_clock_source().now() - sending.sentAt;
            m_state.firstEvents.observe(m_firstEvent);
            sending.load.noteRead();
        }
        if (event.id && m_lastEvent && *event.id <= *m_lastEvent) {
            continue; // The caller has it from the run before.
        }
        if (event.id && m_lastEvent && *event.id != *m_lastEvent + 1) {
            m_why.fail(failure_kind::protocolViolation, "read answer", sending.chosen.server->id,
                       "an event is missing");
            co_return send_end::broken;
        }
        m_lastEvent = event.id ? event.id : m_lastEvent;
        piece += event.bytes;
    }
    if (piece.empty()) {
        co_return send_end::answered;
    }
    startStreaming(sending);
    co_return co_await m_exchange.relayPiece(piece) ? send_end::answered : send_end::callerLeft;
}

/// A send failed, for the reason in m_why, in a way that may tell of the server. Where the caller left, it tells
/// nothing.
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

auto gateway_call::giveUp() -> asio::awaitable<void>
{
    if (m_streaming) {
        m_state.cut.add();
        logEnd("cut: " + m_why.text(), 200);
        m_exchange.abandonEvents();
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
    logEnd(reason, status);
    m_state.counters.at("marjoramloom_refused_total", "status=\"" + std::to_string(status) + "\"").add();
    auto answer = makeErrorReply(m_state, m_request, status, reason);
    co_await m_exchange.reply(std::move(answer));
}

auto gateway_call::timeLeft() const -> duration
{
    auto limit = duration(m_route.timeout);
    if (m_request.callerLimit) {
        limit = std::min<duration>(limit, *m_request.callerLimit);
    }
    const auto passed = boot_clock::now() - m_request.arrived;
    return std::max<duration>(limit - passed - answerMargin, duration::zero());
}

auto gateway_call::noteAnswered(unsigned status) -> void
{
    m_state.answered.add();
    m_state.answers.observe(boot_clock::now() - m_request.arrived);
    logEnd("answered", status);
}

auto gateway_call::logEnd(std::string_view outcome, unsigned status) const -> void
{
    const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(boot_clock::now() - m_request.arrived);
    log_line(log_level::info, "request")
        .with("request", m_request.id)
        .with("route", m_route.name)
        .with("account", m_account)
        .with("status", status)
        .with("outcome", outcome)
        .with("sends", m_sends)
        .with("configuration", m_routes->version())
        .with("ms", passed.count());
}

} // namespace marjoramloom
