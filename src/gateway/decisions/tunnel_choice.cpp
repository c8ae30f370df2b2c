#include "marjoramloom/gateway/decisions/tunnel_choice.h"

#include <algorithm>
#include <boost/random/uniform_real_distribution.hpp>
#include <iterator>

namespace marjoramloom {

namespace {

/// Less processor time than this, in cores, is no room.
constexpr double minRoom = 0.005;
/// What was sent to a router counts over at least this time. Reports are older than that on average.
constexpr double minReportAgeSeconds = 0.5;

} // namespace

auto tunnel_choice::setReports(const std::vector<router_use> &reports, time_point now) -> void
{
    auto candidates = std::vector<candidate>();
    for (const auto &report : reports) {
        const auto room = report.cores * (MAX_DEMAND - std::max(report.use, report.demand));
        if (report.reason == absence_reason::unavailable || room < minRoom || isExcluded(report.router, now)) {
            continue;
        }
        const auto known = std::find_if(m_candidates.begin(), m_candidates.end(),
                                        [&](const candidate &other) { return other.router == report.router; });
        const auto isSame = known != m_candidates.end() && known->measuredAt == report.measuredAt;
        candidates.push_back({ .router = report.router,
                               .cores = room,
                               .measuredAt = report.measuredAt,
                               .sentSeconds = isSame ? known->sentSeconds : 0 });
    }
    m_candidates = std::move(candidates);
    std::erase_if(m_excludedUntil, [&](const auto &entry) { return entry.second <= now; });
}

/// Cores that are left at a router after what was sent there since its report.
auto tunnel_choice::roomOf(const candidate &one, time_point now) -> double
{
    const auto age = std::max(toSeconds(now - one.measuredAt), minReportAgeSeconds);
    return std::max(0.0, one.cores - one.sentSeconds / age);
}

auto tunnel_choice::hasRoom(time_point now) const -> bool
{
    return std::any_of(m_candidates.begin(), m_candidates.end(),
                       [&](const candidate &one) { return roomOf(one, now) > 0; });
}

auto tunnel_choice::choose(const is_usable &isUsable, boost::random::mt19937_64 &random, time_point now)
    -> std::optional<std::uint64_t>
{
    while (!m_candidates.empty()) {
        auto total = 0.0;
        for (const auto &one : m_candidates) {
            total += roomOf(one, now);
        }
        if (total <= 0) {
            return std::nullopt;
        }
        auto rest = boost::random::uniform_real_distribution<double>(0, total)(random);
        auto chosen = std::prev(m_candidates.end());
        for (auto one = m_candidates.begin(); one != m_candidates.end(); ++one) {
            rest -= roomOf(*one, now);
            if (rest < 0) {
                chosen = one;
                break;
            }
        }
        if (isUsable(chosen->router)) {
            chosen->sentSeconds += CONNECTION_COST;
            return chosen->router;
        }
        m_candidates.erase(chosen);
    }
    return std::nullopt;
}

auto tunnel_choice::noteUnreachable(std::uint64_t router, time_point now) -> void
{
    m_excludedUntil[router] = now + UNREACHABLE_TIME;
    std::erase_if(m_candidates, [&](const candidate &one) { return one.router == router; });
}

auto tunnel_choice::isExcluded(std::uint64_t router, time_point now) const -> bool
{
    const auto found = m_excludedUntil.find(router);
    return found != m_excludedUntil.end() && now < found->second;
}

} // namespace marjoramloom
