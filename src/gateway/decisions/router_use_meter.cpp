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
/// Processor time of a connection before it was measured. A request on a new connection took 0.14 ms of a full core on
/// a development machine, and about 0.35 ms under a quota of 0.12 of a core.
constexpr double initialConnectionCost = 0.35e-3;
/// Bounds of the measured cost. Longer ones come from streams on few connections, which no balancer can move.
constexpr double minConnectionCost = 0.1e-3;
constexpr double maxConnectionCost = 2e-3;
/// The cost is measured while the use is within these bounds: below, other work than requests prevails.
constexpr double minUseForCost = 0.25;
/// Longer periods are those of a process that was suspended, which say nothing about its load.
constexpr auto maxPeriod = std::chrono::milliseconds(1'500);

auto smooth(double &value, double newest, double weight) -> void
{
    value += weight * (newest - value);
}

} // namespace

router_use_meter::router_use_meter(double cores)
    : m_connectionCost(initialConnectionCost)
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
    const auto use = (totals.cpuSeconds - last.cpuSeconds) / (seconds * m_use.cores);
    if (use >= minUseForCost && arrivals > refusals) {
        const auto cost = use * m_use.cores / (arrivals - refusals);
        smooth(m_connectionCost, std::clamp(cost, minConnectionCost, maxConnectionCost), newestCostWeight);
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

auto router_use_meter::connectionCost() const -> double
{
    return m_connectionCost;
}

} // namespace marjoramloom
