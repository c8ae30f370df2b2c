#include "marjoramloom/gateway/decisions/rotation_policy.h"

#include <algorithm>
#include <tuple>

namespace marjoramloom {

namespace {

/// A flood that needs less than this fraction of an absent router's processor time lets it return.
constexpr double returnDemand = 0.6;
/// Arrivals at one router beyond this multiple of the median are those of a flood.
constexpr double floodFactor = 3;
/// Processor time of a new connection and its requests, where a router cannot measure it.
constexpr double defaultConnectionCost = 0.35e-3;
/// A router has room for a flood if its demand is below this.
constexpr double roomDemand = 0.7;

/// Whether \p use is one that this policy moves connections to.
auto isInRotation(const router_use &use) -> bool
{
    return use.reason == absence_reason::none;
}

/// Number of arrivals a second in the middle of those in \p uses; 0 if there are none.
auto medianArrivals(const std::vector<router_use> &uses) -> double
{
    auto arrivals = std::vector<double>();
    for (const auto &use : uses) {
        if (isInRotation(use)) {
            arrivals.push_back(use.arrivals);
        }
    }
    if (arrivals.empty()) {
        return 0;
    }
    const auto middle = arrivals.begin() + static_cast<std::ptrdiff_t>(arrivals.size() / 2);
    std::nth_element(arrivals.begin(), middle, arrivals.end());
    return *middle;
}

/// Arrivals a second at the router where most arrive.
auto maxArrivals(const std::vector<router_use> &uses) -> double
{
    auto most = 0.0;
    for (const auto &use : uses) {
        most = std::max(most, use.arrivals);
    }
    return most;
}

/// Use of the processor time of the router \p own and of those of \p others that are in rotation, as a fraction.
auto fleetUse(const router_use &own, const std::vector<router_use> &others) -> double
{
    auto cores = own.cores;
    auto used = own.cores * own.demand;
    for (const auto &use : others) {
        if (isInRotation(use)) {
            cores += use.cores;
            used += use.cores * use.demand;
        }
    }
    return used / cores;
}

/// Processor cores that \p arrivals a second need.
auto coresFor(double arrivals) -> double
{
    return arrivals * defaultConnectionCost;
}

/// Whether the claim of \p one is granted before that of \p other: routers that are unavailable, those that are absent
/// already with the smallest first, then the others with the oldest claim first.
///
/// Routers know the times of others by their ages only, so two may both take their claims for the older one. Once both
/// are absent, their order is the same at every router, and the later one returns before the balancer has missed it
/// twice. Reports carry the cores as a float.
auto isGrantedBefore(const router_use &one, const router_use &other) -> bool
{
    const auto position = [](const router_use &use) {
        return std::make_tuple(use.reason != absence_reason::unavailable, !use.isAbsent,
                               use.isAbsent ? time_point() : use.reasonSince, static_cast<float>(use.cores),
                               use.router);
    };
    return position(one) < position(other);
}

} // namespace

auto rotation_policy::update(const router_use &own, const std::vector<router_use> &others, std::size_t routers,
                             time_point now) -> decision
{
    auto heard = std::vector<router_use>();
    for (const auto &use : others) {
        if (now - use.measuredAt <= MAX_REPORT_AGE && use.router != own.router) {
            heard.push_back(use);
        }
    }
    const auto claimsOfOthers = static_cast<std::size_t>(std::count_if(
        heard.begin(), heard.end(), [](const router_use &use) { return use.reason != absence_reason::none; }));
    if (claimsOfOthers < m_claimsOfOthers) {
        m_lastReturn = now;
    }
    m_claimsOfOthers = claimsOfOthers;
    if (own.reason == absence_reason::unavailable) {
        m_reason = absence_reason::none;
        m_isAbsent = false;
        return { .isAbsent = true,
                 .reason = own.reason,
                 .reasonSince = own.reasonSince,
                 .reportingRouters = heard.size(),
                 .absentRouters = claimsOfOthers + 1 };
    }
    updateReason(own, heard, now);
    auto result = decision{ .reason = m_reason,
                            .reasonSince = m_reasonSince,
                            .reportingRouters = heard.size(),
                            .absentRouters = claimsOfOthers + (m_reason == absence_reason::none ? 0 : 1),
                            .maxAbsent = static_cast<std::size_t>(static_cast<double>(routers) * MAX_ABSENT_FRACTION) };
    if (m_reason != absence_reason::none) {
        auto ownClaim = own;
        ownClaim.reason = m_reason;
        ownClaim.reasonSince = m_reasonSince;
        ownClaim.isAbsent = m_isAbsent;
        const auto earlier = std::count_if(heard.begin(), heard.end(), [&](const router_use &use) {
            return use.reason != absence_reason::none && isGrantedBefore(use, ownClaim);
        });
        const auto isGranted = heard.empty() || static_cast<std::size_t>(earlier) < result.maxAbsent;
        result.isAbsent = isGranted && now - m_reasonSince >= CLAIM_TIME;
    }
    m_isAbsent = result.isAbsent;
    return result;
}

auto rotation_policy::updateReason(const router_use &own, const std::vector<router_use> &heard, time_point now) -> void
{
    const auto hasLargerWithRoom = std::any_of(heard.begin(), heard.end(), [&](const router_use &use) {
        return isInRotation(use) && use.cores > own.cores && use.demand < roomDemand;
    });
    m_overloadedUpdates = own.demand >= LEAVE_DEMAND ? m_overloadedUpdates + 1 : 0;
    const auto isOverloaded = m_overloadedUpdates >= UPDATES_BEFORE_CLAIM
        && (heard.empty() || (hasLargerWithRoom && fleetUse(own, heard) < MAX_FLEET_USE));
    if (isOverloaded && m_reason != absence_reason::overload) {
        m_reason = absence_reason::overload;
        m_reasonSince = now;
    } else if (m_reason != absence_reason::none && mayReturn(own, heard, now)) {
        m_reason = absence_reason::none;
        m_reasonSince = now;
    }
}

auto rotation_policy::mayReturn(const router_use &own, const std::vector<router_use> &heard, time_point now) const
    -> bool
{
    const auto absentFor = now - m_reasonSince;
    const auto isFleetFull = fleetUse(own, heard) > FULL_FLEET_USE;
    if (now - m_lastReturn < (isFleetFull ? RETURN_SPACING_IF_FULL : RETURN_SPACING)) {
        return false;
    }
    // The largest router returns first, as it is the least likely to be flooded again.
    const auto isFirst = std::none_of(heard.begin(), heard.end(), [&](const router_use &use) {
        return use.reason == absence_reason::overload
            && std::tie(use.cores, use.router) > std::tie(own.cores, own.router);
    });
    if (isFleetFull) {
        return isFirst && absentFor >= MIN_ABSENCE_IF_FULL;
    }
    const auto most = maxArrivals(heard);
    const auto isFloodOver = most <= floodFactor * medianArrivals(heard) || coresFor(most) < returnDemand * own.cores;
    const auto minAbsence = heard.empty() ? ABSENCE_IF_ALONE : MIN_ABSENCE;
    return absentFor >= minAbsence && isFirst && own.demand < returnDemand && (isFloodOver || absentFor >= MAX_ABSENCE);
}

} // namespace marjoramloom
