#include "marjoramloom/gateway/decisions/connection_admission.h"

#include "marjoramloom/gateway/decisions/router_use_meter.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Smallest burst, in requests, so that a very small router serves something.
constexpr double minBurst = 4;
/// Tunnels are limited only while no more than this multiple of the smallest rate is served.
constexpr double servedRateBeforeTunnelLimit = 2;

} // namespace

auto connection_admission::setCapacity(double cores, double requestSeconds) -> void
{
    assert(cores > 0 && requestSeconds > 0);
    m_cores = cores;
    m_requestSeconds = requestSeconds;
    const auto tunnelSeconds = requestSeconds * router_use_meter::TUNNEL_COST;
    const auto timeToServe = TOTAL_FRACTION * cores - m_arrivalsPerSecond * tunnelSeconds;
    m_ratePerSecond = std::clamp(timeToServe / (requestSeconds - tunnelSeconds),
                                 std::min(connection_pacing::MIN_RATE, SERVED_FRACTION * cores / requestSeconds),
                                 SERVED_FRACTION * cores / requestSeconds);
    const auto minTunnels = MIN_TUNNEL_FRACTION * cores / tunnelSeconds;
    m_tunnelled.setMinRate(std::max(connection_pacing::MIN_RATE, minTunnels));
}

auto connection_admission::onTimer(duration delay, time_point now) -> void
{
    if (m_cores > 0) {
        countArrivals(now);
    }
    m_served.onTimer(delay, now);
    const auto isServedReduced = m_served.limit() <= servedRateBeforeTunnelLimit * connection_pacing::MIN_RATE;
    m_tunnelled.onTimer(isServedReduced ? delay : duration::zero(), now);
}

auto connection_admission::decide(bool mayServe, bool mayTunnel, time_point now) -> connection_action
{
    refill(now);
    m_arrivals += 1;
    if (mayServe && (m_budget >= 1 || !mayTunnel) && m_served.mayAccept(now)) {
        m_budget -= 1;
        return connection_action::serve;
    }
    if (mayTunnel && m_tunnelled.mayAccept(now)) {
        return connection_action::tunnel;
    }
    noteRefusal(now);
    return connection_action::refuse;
}

auto connection_admission::noteFurtherRequest(time_point now) -> void
{
    refill(now);
    m_budget -= 1;
}

auto connection_admission::isOverServed(time_point now) -> bool
{
    refill(now);
    return m_budget < 0;
}

auto connection_admission::refill(time_point now) -> void
{
    const auto burst = std::max(minBurst, m_ratePerSecond * toSeconds(BURST_TIME));
    const auto debt = -m_ratePerSecond * toSeconds(MAX_DEBT_TIME);
    m_budget = std::clamp(m_budget + m_ratePerSecond * toSeconds(now - m_lastRefill), debt, burst);
    m_lastRefill = now;
}

auto connection_admission::countArrivals(time_point now) -> void
{
    if (now - m_periodStart < ARRIVAL_PERIOD) {
        return;
    }
    const auto rate = m_arrivals / toSeconds(now - m_periodStart);
    m_arrivalsPerSecond = std::max(rate, (rate + m_arrivalsPerSecond) / 2);
    m_arrivals = 0;
    m_periodStart = now;
    setCapacity(m_cores, m_requestSeconds);
}

auto connection_admission::noteRefusal(time_point now) -> void
{
    if (now - m_lastRefusal > MAX_REFUSAL_GAP) {
        m_refusingSince = now;
    }
    m_lastRefusal = now;
}

auto connection_admission::refusingFor(time_point now) const -> duration
{
    const auto isRefusing = m_lastRefusal != time_point() && now - m_lastRefusal <= MAX_REFUSAL_GAP;
    return isRefusing ? now - m_refusingSince : duration::zero();
}

auto connection_admission::servedLimit() const -> double
{
    return m_served.limit();
}

auto connection_admission::tunnelLimit() const -> double
{
    return m_tunnelled.limit();
}

} // namespace marjoramloom
