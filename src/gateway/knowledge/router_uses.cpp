#include "marjoramloom/gateway/knowledge/router_uses.h"

#include <algorithm>
#include <tuple>

namespace marjoramloom {

auto router_uses::note(router_use report, time_point now) -> void
{
    report.measuredAt = std::min(report.measuredAt, now);
    report.reasonSince = std::min(report.reasonSince, now);
    report.use = std::clamp(report.use, 0.0, MAX_DEMAND);
    report.demand = std::clamp(report.demand, 0.0, MAX_DEMAND);
    report.arrivals = std::clamp(report.arrivals, 0.0, MAX_RATE);
    report.refusals = std::clamp(report.refusals, 0.0, MAX_RATE);
    if (now - report.measuredAt > rotation_policy::MAX_REPORT_AGE || !(report.cores > 0)) {
        return;
    }
    const auto known = std::find_if(m_reports.begin(), m_reports.end(),
                                    [&](const router_use &other) { return other.router == report.router; });
    if (known == m_reports.end()) {
        m_reports.push_back(report);
    } else if (report.measuredAt > known->measuredAt) {
        *known = report;
    }
}

auto router_uses::recent(time_point now) -> const std::vector<router_use> &
{
    std::erase_if(m_reports,
                  [&](const router_use &report) { return now - report.measuredAt > rotation_policy::MAX_REPORT_AGE; });
    return m_reports;
}

auto router_uses::forRelay(const router_use &own, time_point now) -> std::vector<router_use>
{
    auto reports = recent(now);
    const auto isAbsent = [](const router_use &use) {
        return use.reason != absence_reason::none;
    };
    std::sort(reports.begin(), reports.end(), [&](const router_use &one, const router_use &other) {
        return std::make_tuple(isAbsent(one), one.demand) > std::make_tuple(isAbsent(other), other.demand);
    });
    if (reports.size() >= MAX_RELAYED) {
        const auto absent = std::min(static_cast<std::size_t>(std::count_if(reports.begin(), reports.end(), isAbsent)),
                                     MAX_RELAYED - 1);
        const auto loaded = (MAX_RELAYED - 1 - absent) / 2;
        std::sort(reports.begin() + static_cast<std::ptrdiff_t>(absent + loaded), reports.end(),
                  [](const router_use &one, const router_use &other) { return one.cores > other.cores; });
        reports.resize(MAX_RELAYED - 1);
    }
    reports.insert(reports.begin(), own);
    return reports;
}

} // namespace marjoramloom
