// One attempt to send the request: its connection, and what is sent.
#include "marjoramloom/gateway/traffic/gateway_call.h"

#include "load_reservation.h"
#include "send_attempt.h"

#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Time limit for opening a connection to a backend server.
constexpr auto connectTimeout = std::chrono::milliseconds(400);

} // namespace

auto gateway_call::sendAttempt(const chosen_server &chosen) -> asio::awaitable<attempt_outcome>
{
    auto why = last_reason();
    // The attempt counts before it connects, so that the next decision takes it into account.
    auto load = load_reservation(m_state.loads, chosen, m_request.prompt);
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
            m_state.accounts.noteStarted(m_accountId, m_request.prompt.costTokens(), system_clock_source().now());
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
    } else if (remainingTime() <= ANSWER_MARGIN) {
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
        return confirmCold(chosen, why);
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

/// The head of the request to the server; the body is sent as the caller sent it.
auto gateway_call::makeUpstreamRequest(const platform::forwarding_headers &added) const -> http_connection::request
{
    const auto &original = m_exchange.request();
    auto request = http_connection::request();
    request.version(11);
    request.method_string(original.method_string());
    request.target(original.target());
    platform::copyRequestFields(original.base(), added, request);
    const auto hadBody = original.find(http::field::content_length) != original.end() || original.chunked();
    if (!original.body().empty() || hadBody) {
        request.content_length(original.body().size());
    }
    return request;
}

} // namespace marjoramloom
