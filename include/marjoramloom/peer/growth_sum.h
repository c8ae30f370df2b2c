#pragma once

#include "marjoramloom/share/share_ledger.h"

#include <cstdint>
#include <map>
#include <vector>

namespace marjoramloom {

/// How much growing totals grew since they were last looked at. Not thread safe.
class growth_tracker
{
public:
    /// Growth of \p total since the last call, or since 0. With \p rebase growth begins at this total and is 0.
    auto growthOf(const service_total &total, bool rebase) -> double;

    /// Forgets a source that is gone for good.
    auto forget(incarnation_id source) -> void;

private:
    std::map<std::pair<incarnation_id, object_id>, double> m_seen;
};

/// One growing total per account, made of the growth of many sources. Not thread safe.
class growth_sum
{
public:
    /// \p stream is the incarnation number under which the sum's totals travel.
    explicit growth_sum(incarnation_id stream);

    auto add(object_id account, double growth) -> void;

    /// Sums that grew since the serial \p since; \p next is the one to ask with next time.
    [[nodiscard]] auto since(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>;

private:
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
