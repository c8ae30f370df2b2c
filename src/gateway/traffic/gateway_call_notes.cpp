// What an attempt shows about its server.
#include "marjoramloom/gateway/traffic/gateway_call.h"

#include "marjoramloom/core/log.h"
#include "platform/header_format.h"
#include "send_attempt.h"

#include <utility>

namespace marjoramloom {

namespace http = boost::beast::http;

namespace {

/// An engine whose requests commit this fraction of its KV memory may have crashed for lack of it. Placements by a
/// dispatcher stay below 0.9, so that its engines' crashes remain evidence under load.
constexpr double crashingMemoryUse = 0.95;

} // namespace

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
    if (attempt.chosen.memoryUse >= crashingMemoryUse) {
        m_state.counters.at("marjoramloom_memory_crashes_total").add();
        log_line(log_level::info, "crash_by_memory")
            .with("request", m_request.id)
            .with("server", attempt.chosen.server->id)
            .with("memory_use", attempt.chosen.memoryUse);
        return;
    }
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

/// What an answer of \p server with status 421 is evidence about; nothing for another status.
auto gateway_call::misdirectionOf(const listed_server &server, const http::response_header<> &head)
    -> std::optional<misdirection>
{
    if (head.result() != http::status::misdirected_request) {
        return std::nullopt;
    }
    return attributeMisdirection(server.id, platform::answeringServer(head));
}

/// Records what the server states about itself in \p head, which may be that of a late answer to an earlier request. An
/// answer with status 421 may come from another process at the server's address.
auto gateway_call::noteServerNotice(const listed_server &server, const http::response_header<> &head) -> void
{
    const auto cause = misdirectionOf(server, head);
    if (cause && *cause != misdirection::request) {
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
    if (notice.coldLeft) {
        m_state.noteCold({ .server = incarnation, .left = *notice.coldLeft }, cold_source::answer,
                         system_clock_source().now());
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

} // namespace marjoramloom
