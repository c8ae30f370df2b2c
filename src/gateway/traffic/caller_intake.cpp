#include "marjoramloom/gateway/traffic/caller_intake.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/traffic/error_reply.h"
#include "platform/header_format.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <sys/socket.h>
#include <utility>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Fraction of the file descriptors for callers' idle connections. A caller with much traffic opens thousands of
/// connections, and each running request needs another descriptor for the connection to its backend server.
constexpr auto idleConnectionFraction = 0.4;

/// Fraction of the file descriptors for callers' connections in all. The rest is for connections to backend servers, to
/// the store and between routers; a running request needs one of each kind, so that callers may hold less than half.
constexpr auto callerConnectionFraction = 0.45;

/// The same for connections from tunnels of other routers.
constexpr auto tunnelledConnectionFraction = 0.2;

constexpr unsigned unavailable = 503;

auto httpLimits(const caller_limits &limits, const gateway_settings &settings) -> http_limits
{
    return { .bodyBytes = limits.bodyBytes,
             .headerBytes = limits.headerBytes,
             .headerTimeout = limits.headerTimeout,
             .idleTimeout = limits.idleTimeout,
             .maxKeepAliveConnections = static_cast<std::size_t>(settings.maxFileDescriptors * idleConnectionFraction),
             .maxConnections = static_cast<std::size_t>(settings.maxFileDescriptors * callerConnectionFraction) };
}

auto tunnelledLimits(const caller_limits &limits, const gateway_settings &settings) -> http_limits
{
    auto tunnelled = httpLimits(limits, settings);
    tunnelled.maxKeepAliveConnections = 0;
    tunnelled.maxConnections = static_cast<std::size_t>(settings.maxFileDescriptors * tunnelledConnectionFraction);
    return tunnelled;
}

} // namespace

caller_intake::caller_intake(asio::io_context &context, gateway_state &state, gateway_handler &handler,
                             memory_budget &budget, rotation &connectionRotation)
    : m_context(context)
    , m_state(state)
    , m_rotation(connectionRotation)
    , m_tunnels(context.get_executor(), state, budget)
    , m_callers(std::make_shared<server>(context, handler, state.counters, "callers",
                                         httpLimits(caller_limits(), state.settings),
                                         session_concurrency::singleThread))
    , m_tunnelled(std::make_shared<server>(context, handler, state.counters, "tunnels",
                                           tunnelledLimits(caller_limits(), state.settings),
                                           session_concurrency::singleThread))
    , m_turnedAway(state.counters.at("marjoramloom_connections_turned_away_total", "listener=\"callers\""))
{
    m_callers->setMemoryBudget(budget);
    m_callers->setConnectionGate([this](int descriptor) { return admit(descriptor); });
    m_callers->setRefusalWriter([this](std::string_view bytes) { return refusalOf(bytes); });
    m_tunnelled->setMemoryBudget(budget);
    m_tunnelled->setConnectionGate([this](int descriptor) { return admitTunnelled(descriptor); });
}

auto caller_intake::listen(const std::string &callers, const std::string &tunnels, last_reason &why) -> bool
{
    auto whyNoTunnels = last_reason();
    if (!m_tunnelled->listen(tunnels, whyNoTunnels)) {
        log_line(log_level::error, "no_tunnels").with("address", tunnels).with("reason", whyNoTunnels.text());
    }
    return m_callers->listen(callers, why).has_value();
}

auto caller_intake::updateLimits() -> void
{
    const auto limits = m_state.routes ? m_state.routes->limits() : caller_limits();
    m_callers->setLimits(httpLimits(limits, m_state.settings));
    m_tunnelled->setLimits(tunnelledLimits(limits, m_state.settings));
}

auto caller_intake::runTunnels() -> asio::awaitable<void>
{
    return m_tunnels.run();
}

auto caller_intake::stopAccepting() -> void
{
    m_callers->stopAccepting();
    m_tunnelled->stopAccepting();
}

auto caller_intake::connections() const -> std::size_t
{
    return m_callers->connections() + m_tunnelled->connections() + m_tunnels.size();
}

auto caller_intake::admit(int descriptor) -> connection_gate_result
{
    const auto now = system_clock_source().now();
    m_rotation.noteConnection();
    const auto mayServe = m_state.settings.fairRefusals || !m_state.loopDelay.isOverloaded(now);
    const auto mayTunnel = m_tunnels.mayOpen(m_callers->connections() + m_tunnelled->connections(), now);
    switch (m_state.connectionAdmission.decide(mayServe, mayTunnel, now)) {
    case connection_action::serve:
        return connection_gate_result::serve;
    case connection_action::refuse:
        return connection_gate_result::refuse;
    case connection_action::tunnel:
        break;
    }
    if (!m_tunnels.open(descriptor)) {
        return connection_gate_result::refuse;
    }
    m_rotation.noteTunnel();
    return connection_gate_result::taken;
}

/// Takes a tunnel of another router with the opening that the other one waits for, unless this router has no room.
auto caller_intake::admitTunnelled(int descriptor) -> connection_gate_result
{
    m_rotation.noteConnection();
    const auto connections = m_callers->connections() + m_tunnelled->connections() + m_tunnels.size();
    const auto hasDescriptors = 2.0 * static_cast<double>(connections)
        < m_state.settings.maxFileDescriptors * connection_tunnels::MAX_DESCRIPTORS;
    const auto isBehind = m_state.loopDelay.lastDelay() > connection_pacing::LONG_DELAY;
    if (!m_rotation.isAvailable() || m_state.stopping || isBehind || !hasDescriptors) {
        return connection_gate_result::refuse;
    }
    const auto opening = connection_tunnel::makeOpening(m_state.routes->version());
    const auto sent = ::send(descriptor, opening.data(), opening.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(opening.size()) ? connection_gate_result::serve
                                                        : connection_gate_result::refuse;
}

/// The refusal of the request in \p bytes, with the time at which its caller should return; empty if it is not
/// complete.
auto caller_intake::refusalOf(std::string_view bytes) -> std::string
{
    auto parser = http::request_parser<http::string_body>();
    auto error = boost::system::error_code();
    parser.eager(true);
    parser.put(asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error || !parser.is_done() || parser.get().method() == http::verb::head) {
        return {};
    }
    auto request = routed_request();
    request.id = platform::requestId(parser.get().base());
    const auto refusal =
        makeErrorReply(m_state, request, unavailable, "this router is behind with its work", RETURN_TIME);
    m_state.counters.at("marjoramloom_refused_total", "status=\"503\"").add();
    return formatReply(refusal, "Service Unavailable", false);
}

auto caller_intake::measureLoopDelay() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (true) {
        const auto now = system_clock_source().now();
        logChanges(now);
        timer.expires_at(m_state.loopDelay.onTimer(now));
        noteDelay(now);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto caller_intake::noteDelay(time_point now) -> void
{
    const auto delay = m_state.loopDelay.lastDelay();
    m_state.connectionAdmission.setCapacity(m_state.settings.cores, m_state.requestCost);
    m_state.connectionAdmission.onTimer(delay, now);
    m_state.requestLimit.onTimer(delay, now);
    m_tunnels.setReports(m_rotation.reports(now), now);
    m_tunnels.tick(now);
    if (!m_state.settings.sharedRotation) {
        m_state.shouldMoveCallers = m_tunnels.mayOpen(m_callers->connections() + m_tunnelled->connections(), now)
            && m_state.connectionAdmission.isOverServed(now);
    }
    // The callers whose connections are refused would most likely come to a smaller router next.
    if (m_state.connectionAdmission.refusingFor(now) >= event_loop_delay::OVERLOAD_DURATION
        && !m_state.roster.isLargerThanMost()) {
        m_state.loopDelay.noteCapacityExceeded(now);
    }
}

auto caller_intake::logChanges(time_point now) -> void
{
    const auto isOverloaded = m_state.loopDelay.isOverloaded(now);
    if (std::exchange(m_wasOverloaded, isOverloaded) != isOverloaded) {
        log_line(log_level::warning, "overload")
            .with("overloaded", isOverloaded ? "yes" : "no")
            .with("running", m_state.running)
            .with("connections", m_callers->connections())
            .with("turned_away", m_turnedAway.value());
    }
    const auto &admission = m_state.connectionAdmission;
    const auto isLimited = admission.refusingFor(now) >= event_loop_delay::OVERLOAD_DURATION;
    const auto isTunnelling = m_tunnels.size() > 0;
    if (std::exchange(m_wasLimited, isLimited) != isLimited
        || std::exchange(m_wasTunnelling, isTunnelling) != isTunnelling) {
        log_line(log_level::warning, "connection_limit")
            .with("limited", isLimited ? "yes" : "no")
            .with("per_second", admission.servedLimit())
            .with("tunnels_per_second", admission.tunnelLimit())
            .with("running", m_state.running)
            .with("connections", m_callers->connections())
            .with("tunnels", m_tunnels.size())
            .with("from_tunnels", m_tunnelled->connections())
            .with("request_cost_us", m_state.requestCost * 1e6)
            .with("turned_away", m_turnedAway.value());
    }
}

} // namespace marjoramloom
