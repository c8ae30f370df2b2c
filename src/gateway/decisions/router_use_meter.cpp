#include "marjoramloom/gateway/decisions/router_use_meter.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace marjoramloom {

namespace {

/// Weight of the newest period in the rates.
constexpr double newestWeight = 0.5;
/// Weight of the newest period in the cost of a connection.
constexpr double newestCostWeight = 0.1;
/// Bounds of the measured cost. Longer ones come from streams on few connections, which no balancer can move.
constexpr double minConnectionCost = 0.1e-3;
constexpr double maxConnectionCost = 2e-3;
/// The cost is measured while the use is within these bounds: below, other work than requests prevails.
constexpr double minUseForCost = 0.25;
/// The same for the cost of a request, which decides what is served here.
constexpr double minUseForRequestCost = 0.5;
/// Longer periods are those of a process that was suspended, which say nothing about its load.
constexpr auto maxPeriod = std::chrono::milliseconds(1'500);

auto smooth(double &value, double newest, double weight) -> void
{
    value += weight * (newest - value);
}

} // namespace

router_use_meter::router_use_meter(double cores)
{
    setCores(cores);
}

auto router_use_meter::setCores(double cores) -> void
{
    assert(cores > 0);
    m_use.cores = cores;
}

auto router_use_meter::update(const process_totals &totals, time_point now) -> bool
{
    if (m_hasStarted && now - m_use.measuredAt < PERIOD) {
        return false;
    }
    const auto span = now - m_use.measuredAt;
    const auto seconds = toSeconds(span);
    const auto isUsable = m_hasStarted && span <= maxPeriod;
    const auto last = std::exchange(m_last, totals);
    m_hasStarted = true;
    m_use.measuredAt = now;
    if (!isUsable) {
        m_lastArrivalRate = 0;
        return false;
    }
    const auto arrivals = (totals.arrivals - last.arrivals) / seconds;
    const auto refusals = (totals.refusals - last.refusals) / seconds;
    const auto tunnels = (totals.tunnels - last.tunnels) / seconds;
    const auto requests = (totals.requests - last.requests) / seconds;
    const auto use = (totals.cpuSeconds - last.cpuSeconds) / (seconds * m_use.cores);
    const auto accepted = arrivals - refusals - (1 - TUNNEL_COST) * tunnels;
    if (use >= minUseForCost && accepted > 0) {
        const auto cost = use * m_use.cores / accepted;
        smooth(m_connectionCost, std::clamp(cost, minConnectionCost, maxConnectionCost), newestCostWeight);
    }
    const auto equivalentRequests = requests + TUNNEL_COST * tunnels;
    if (use >= minUseForRequestCost && equivalentRequests > 0) {
        const auto cost = use * m_use.cores / equivalentRequests;
        smooth(m_requestCost, std::clamp(cost, minConnectionCost, maxConnectionCost), newestCostWeight);
    }
    smooth(m_use.arrivals, arrivals, newestWeight);
    smooth(m_use.refusals, refusals, newestWeight);
    smooth(m_use.use, use, newestWeight);
    const auto growth = std::max(0.0, arrivals - m_lastArrivalRate) / seconds * toSeconds(SLOPE_TIME);
    m_lastArrivalRate = arrivals;
    // Growth counts up to the present arrivals only: a step is no slope.
    const auto ahead = std::min(growth, arrivals) + m_use.refusals;
    m_use.demand = m_use.use + ahead * m_connectionCost / m_use.cores;
    return true;
}

auto router_use_meter::use() const -> const router_use &
{
    return m_use;
}

auto router_use_meter::requestCost() const -> double
{
    return m_requestCost;
}

auto router_use_meter::connectionCost() const -> double
{
    return m_connectionCost;
}

} // namespace marjoramloom
