#include "marjoramloom/gateway/traffic/rotation.h"

#include "marjoramloom/core/log.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <sys/resource.h>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Processor time that this process has used, in seconds of a core. The processor time clocks of some platforms run
/// with the time of day.
auto processCpuSeconds() -> double
{
    constexpr double microsecond = 1e-6;
    auto used = rusage();
    if (::getrusage(RUSAGE_SELF, &used) != 0) {
        return 0;
    }
    const auto seconds = [](const timeval &span) {
        return static_cast<double>(span.tv_sec) + microsecond * static_cast<double>(span.tv_usec);
    };
    return seconds(used.ru_utime) + seconds(used.ru_stime);
}

} // namespace

rotation::rotation(asio::any_io_executor executor, gateway_state &state, report_sender send)
    : m_executor(std::move(executor))
    , m_state(state)
    , m_send(std::move(send))
    , m_meter(state.settings.cores)
    , m_refusedConnections(state.counters.at("marjoramloom_connections_turned_away_total", "listener=\"callers\""))
    , m_absences(state.counters.at("marjoramloom_rotation_absences_total"))
{
    m_own.reason = absence_reason::unavailable;
    state.counters.setGauge("marjoramloom_rotation_demand", "", [this] { return m_own.demand; });
    state.counters.setGauge("marjoramloom_rotation_absent_routers", "",
                            [this] { return static_cast<double>(m_decision.absentRouters); });
}

auto rotation::noteConnection() -> void
{
    m_connections += 1;
}

auto rotation::noteTunnel() -> void
{
    m_tunnels += 1;
}

auto rotation::reports(time_point now) -> const std::vector<router_use> &
{
    return m_reports.recent(now);
}

auto rotation::setAvailable(bool isAvailable, time_point now) -> void
{
    if (isAvailable != m_isAvailable) {
        m_isAvailable = isAvailable;
        m_availabilityChange = now;
    }
}

auto rotation::isAvailable() const -> bool
{
    return m_isAvailable;
}

auto rotation::handleReports(const std::vector<router_use> &reports, time_point now) -> void
{
    const auto &local = m_state.roster.watchOrder();
    for (const auto &report : reports) {
        const auto isLocal = std::find(local.begin(), local.end(), report.router) != local.end();
        if (isLocal && report.router != m_state.roster.self()) {
            m_reports.note(report, now);
        }
    }
}

auto rotation::isAbsent() const -> bool
{
    return m_decision.isAbsent;
}

auto rotation::run() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_executor);
    while (true) {
        timer.expires_after(router_use_meter::PERIOD);
        co_await timer.async_wait(asio::use_awaitable);
        const auto now = system_clock_source().now();
        update(now);
        sendReports(now);
    }
}

auto rotation::update(time_point now) -> void
{
    m_meter.setCores(m_state.settings.cores);
    const auto refusals = static_cast<double>(m_refusedConnections.value() + m_state.requestsOverShare.value());
    m_meter.update({ .cpuSeconds = processCpuSeconds(),
                     .arrivals = m_connections,
                     .refusals = refusals,
                     .tunnels = m_tunnels,
                     .requests = static_cast<double>(m_state.handledRequests) },
                   now);
    m_state.requestCost = m_meter.requestCost();
    m_own = m_meter.use();

    m_own.router = m_state.roster.self();
    m_own.measuredAt = now;
    if (!m_isAvailable) {
        m_own.reason = absence_reason::unavailable;
        m_own.reasonSince = m_availabilityChange;
    } else if (now - m_availabilityChange < START_TIME) {
        m_own.demand = 0;
    }
    if (m_state.loopDelay.lastDelay() > connection_pacing::LONG_DELAY) {
        m_own.demand = std::max(m_own.demand, 1.0);
    }
    if (m_state.settings.sharedRotation) {
        decide(now);
    } else {
        m_decision = {};
        m_own.isAbsent = !m_isAvailable;
    }
}

auto rotation::decide(time_point now) -> void
{
    const auto wasAbsent = m_decision.isAbsent;
    const auto previousReason = m_decision.reason;
    m_decision = m_policy.update(m_own, m_reports.recent(now), m_state.roster.watchOrder().size(), now);
    m_own.reason = m_decision.reason;
    m_own.reasonSince = m_decision.reasonSince;
    m_own.isAbsent = m_decision.isAbsent;
    if (m_decision.isAbsent && !wasAbsent) {
        m_absentSince = now;
        m_absences.add();
    }
    if (m_decision.isAbsent != wasAbsent || m_decision.reason != previousReason) {
        logChange(m_decision, now);
    }
    // A caller whose connection is closed sooner would come back here.
    m_state.shouldMoveCallers = m_decision.isAbsent && m_decision.reason == absence_reason::overload
        && now - m_absentSince >= BALANCER_DELAY && m_own.demand > MOVE_DEMAND;
}

auto rotation::sendReports(time_point now) -> void
{
    const auto &local = m_state.roster.watchOrder();
    if (local.size() < 2) {
        return;
    }
    const auto reports = m_reports.forRelay(m_own, now);
    // A start at random and neighbours in the order from there reach every router with the same probability.
    auto draw = boost::random::uniform_int_distribution<std::size_t>(0, local.size() - 1);
    auto index = draw(m_state.random);
    for (auto sent = std::size_t(0); sent < std::min(RECEIVERS, local.size() - 1); ++index) {
        const auto router = local[index % local.size()];
        if (router != m_state.roster.self()) {
            m_send(router, reports);
            ++sent;
        }
    }
}

auto rotation::logChange(const rotation_policy::decision &decision, time_point now) const -> void
{
    log_line(log_level::info, "rotation")
        .with("absent", decision.isAbsent ? "yes" : "no")
        .with("reason", nameOf(decision.reason))
        .with("since_s", decision.reason == absence_reason::none ? 0.0 : toSeconds(now - decision.reasonSince))
        .with("use", m_own.use)
        .with("demand", m_own.demand)
        .with("arrivals", m_own.arrivals)
        .with("refusals", m_own.refusals)
        .with("heard", decision.reportingRouters)
        .with("absent_routers", decision.absentRouters)
        .with("max_absent", decision.maxAbsent);
}

} // namespace marjoramloom
