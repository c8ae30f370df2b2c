#pragma once

#include "marjoramloom/share/ticket.h"

#include <map>
#include <utility>

namespace marjoramloom {

/// Learns from settled requests what one of an account and profile is expected to cost.
///
/// Costs have heavy tails, so an observation counts with at most a few times the present level: a rare giant does not
/// raise what all others are charged, as what it uses beyond its estimate is charged while it runs. Callers' hints are
/// rough; they move an estimate by the square root of what they say. Not thread safe.
class cost_estimator
{
public:
    /// Expected cost in weighted tokens. Precondition: \p hint is positive.
    [[nodiscard]] auto expected(object_id account, object_id profile, double hint) const -> double;

    /// Typical cost in weighted tokens whatever the hint, or \p fallback before anything was seen.
    [[nodiscard]] auto typical(object_id account, object_id profile, double fallback) const -> double;

    /// A request that was expected to cost \p hint by its caller ended with \p cost. Preconditions: both are positive.
    auto observe(object_id account, object_id profile, double hint, double cost) -> void;

    /// Largest cost seen lately, in weighted tokens; forgotten by half over a few hundred requests.
    [[nodiscard]] auto largestCost() const -> double;

private:
    /// Robust mean of a positive quantity.
    struct capped_mean
    {
        double value = 0;
        std::uint32_t count = 0;

        auto add(double sample) -> void;
    };

    struct level
    {
        capped_mean cost;
        capped_mean ratio; ///< Of cost to hint.
    };

    [[nodiscard]] auto find(object_id account, object_id profile) const -> const level *;

    std::map<std::pair<object_id, object_id>, level> m_levels; ///< By account and profile.
    std::map<object_id, level> m_profiles; ///< All accounts; for one that was not seen yet.
    double m_largest = 0;
};

} // namespace marjoramloom
