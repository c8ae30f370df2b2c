// The answer of one attempt: what is read, and what is forwarded to the caller.
#include "marjoramloom/gateway/traffic/gateway_call.h"

#include "answer_buffer.h"
#include "marjoramloom/core/log.h"
#include "platform/header_format.h"
#include "send_attempt.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned tooManyRequests = 429;
constexpr unsigned unavailable = 503;

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

} // namespace

auto gateway_call::sendAndReadAnswer(send_attempt &attempt) -> asio::awaitable<attempt_outcome>
{
    const auto &server = *attempt.chosen.server;
    const auto added = addedFields(attempt.chosen);
    const auto request = makeUpstreamRequest(added);
    auto longFields = platform::formatLongFields(m_exchange.request().base(), m_exchange.longFields(), added);
    const auto isSent = co_await attempt.connection->sendWithBody(request, m_exchange.request().body(), remainingTime(),
                                                                  m_why, std::move(longFields));
    const auto standing = isSent ? co_await readMatchingHead(attempt) : std::nullopt;
    if (standing != answer_standing::own) {
        noteServerFailed(server);
        if (standing != answer_standing::unproven) {
            noteBroken(attempt, crash_sign::noAnswer);
        }
        co_return attempt_outcome::incomplete;
    }
    const auto &head = attempt.connection->head();
    const auto idle = platform::idleTimeout(head);
    attempt.connection->setIdleLimit(idle ? duration(*idle) - idleMargin : duration(defaultIdleTimeout));
    if (platform::saysNotRun(head)) {
        co_await noteNotRun(attempt);
        co_return attempt_outcome::notRun;
    }
    if (isSuccess(head) && isEventStream(head)) {
        co_return co_await relayStream(attempt);
    }
    co_return co_await relayCompleteAnswer(attempt);
}

/// Drops the rest of an answer which states that the request was not executed, and records what it shows about the
/// server; the reason is stored in m_why.
auto gateway_call::noteNotRun(send_attempt &attempt) -> asio::awaitable<void>
{
    const auto &server = *attempt.chosen.server;
    const auto &head = attempt.connection->head();
    const auto status = head.result_int();
    const auto cause = misdirectionOf(server, head);
    if (cause == misdirection::otherServer) {
        m_state.servers.noteMisdirected(server, system_clock_source().now());
    }
    const auto isWhole =
        co_await attempt.connection->skipRest(maxSkippedBytes, std::min<duration>(maxSkipTime, remainingTime()), m_why);
    auto reason = "the server did not run it: status " + std::to_string(status);
    if (cause) {
        reason.append(", ").append(nameOf(*cause));
    }
    const auto isUnservable = cause == misdirection::request;
    m_why.fail(isUnservable ? failure_kind::invalidInput : failure_kind::overloaded, "read answer", server.id, reason);
    if (isUnservable) {
        co_return; // It says nothing about other requests at this server.
    }
    if (isWhole && (status == tooManyRequests || status == unavailable)) {
        noteServerFull(attempt.chosen);
    } else {
        noteServerFailed(server);
    }
}

/// Reads answers until the head of this request's answer: a late or repeated answer to an earlier request may precede
/// it on the connection. Returns what the last head counts as, or nothing if none was read; unless it is the server's
/// answer to the request, the reason is stored in m_why.
auto gateway_call::readMatchingHead(send_attempt &attempt) -> asio::awaitable<std::optional<answer_standing>>
{
    const auto proof = answer_proof(m_request.id, attempt.onReusedConnection);
    const auto &server = *attempt.chosen.server;
    for (auto strayAnswers = 0; strayAnswers <= maxStrayAnswers; ++strayAnswers) {
        if (!co_await attempt.connection->readHead(remainingTime(), m_why)) {
            co_return std::nullopt;
        }
        const auto marks = platform::decodeAnswerMarks(attempt.connection->head());
        const auto standing = proof.judge(marks);
        if (standing == answer_standing::unproven) {
            m_state.counters.at("marjoramloom_unproven_answers_total").add();
            m_why.fail(failure_kind::unknownOutcome, "read answer", server.id, nameOf(standing));
            co_return standing;
        }
        noteServerNotice(server, attempt.connection->head());
        if (standing == answer_standing::own) {
            co_return standing;
        }
        if (standing == answer_standing::unassignable) {
            m_why.fail(failure_kind::protocolViolation, "read answer", server.id, nameOf(standing));
            co_return standing;
        }
        log_line(log_level::warning, "stray_answer")
            .with("request", m_request.id)
            .with("answered", marks.requestId)
            .with("server", server.id);
        if (!co_await attempt.connection->skipRest(maxSkippedBytes, remainingTime(), m_why)) {
            co_return std::nullopt;
        }
    }
    m_why.fail(failure_kind::protocolViolation, "read answer", server.id, "too many answers to other requests");
    co_return answer_standing::stray;
}

auto gateway_call::relayCompleteAnswer(send_attempt &attempt) -> asio::awaitable<attempt_outcome>
{
    auto body = answer_buffer(m_state.bufferedAnswerBytes, m_exchange.memory());
    const auto append = [&](std::string_view part) {
        return body.append(part);
    };
    if (!co_await attempt.connection->readAllParts(append, remainingTime(), m_why)) {
        if (body.lacksMemory()) {
            // The server has run the request and is not at fault.
            m_why.fail(failure_kind::unknownOutcome, "read answer", attempt.chosen.server->id,
                       "no memory for the answer");
            co_return attempt_outcome::failed;
        }
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
            noteStreamBegun(*attempt.chosen.server);
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

} // namespace marjoramloom
