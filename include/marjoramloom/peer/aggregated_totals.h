#pragma once

#include "marjoramloom/share/share_ledger.h"

#include <cstdint>
#include <map>
#include <vector>

namespace marjoramloom {

/// Computes the increase of cumulative totals between calls. Not thread safe.
class delta_tracker
{
public:
    /// Returns the increase of \p total since the previous call, or since 0. With \p rebase, this total becomes the new
    /// baseline and the result is 0.
    auto takeDelta(const service_total &total, bool rebase) -> double;

    /// Removes the state of a source that is gone for good.
    auto removeSource(incarnation_id source) -> void;

private:
    std::map<std::pair<incarnation_id, object_id>, double> m_lastTotals;
};

/// Keeps one cumulative total per account, summed from the increases of many sources. Not thread safe.
class aggregated_totals
{
public:
    /// \p stream is sent as the router number of the totals.
    explicit aggregated_totals(incarnation_id stream);

    auto add(object_id account, double delta) -> void;

    /// Returns the totals that increased after the serial \p since. \p next receives the serial to pass to the next
    /// call.
    [[nodiscard]] auto changedSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>;

private:
    /// The total of one account and the serial of its last increase.
    struct sum_entry
    {
        double cost = 0;
        std::uint64_t serial = 0;
    };

    incarnation_id m_stream;
    std::uint64_t m_serial = 0;
    std::map<object_id, sum_entry> m_sums;
};

} // namespace marjoramloom
