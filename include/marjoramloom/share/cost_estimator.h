#pragma once

#include "marjoramloom/share/ticket.h"

#include <map>
#include <utility>

namespace marjoramloom {

/// Estimates the cost of a request from completed requests of the same account and profile.
///
/// Costs have heavy tails, so a sample is capped at a few times the current mean: one very expensive request does not
/// raise the estimate for all others, because cost beyond its own estimate is charged while it runs. Hints from callers
/// are rough, so an estimate is the geometric mean of the mean cost and the hint scaled by the mean ratio of cost to
/// hint. Not thread safe.
class cost_estimator
{
public:
    /// Expected cost in weighted tokens; \p hint itself before any cost was observed. Precondition: \p hint is
    /// positive.
    [[nodiscard]] auto expected(object_id account, object_id profile, double hint) const -> double;

    /// Typical cost in weighted tokens regardless of any hint, or \p fallback before any cost was observed.
    [[nodiscard]] auto typical(object_id account, object_id profile, double fallback) const -> double;

    /// Records that a request whose caller expected \p hint ended with \p cost. Precondition: both are positive.
    auto observe(object_id account, object_id profile, double hint, double cost) -> void;

    /// Largest recent cost in weighted tokens; it decays by half over a few hundred requests.
    [[nodiscard]] auto largestCost() const -> double;

private:
    /// Moving average of a positive quantity that limits the influence of outliers.
    struct capped_mean
    {
        double value = 0;
        std::uint32_t count = 0;

        auto add(double sample) -> void;
    };

    /// Means over the completed requests of an account and profile, or of a profile.
    struct cost_means
    {
        capped_mean cost;
        capped_mean costToHint;
    };

    [[nodiscard]] auto find(object_id account, object_id profile) const -> const cost_means *;

    std::map<std::pair<object_id, object_id>, cost_means> m_accountMeans; ///< By account and profile.
    std::map<object_id, cost_means> m_profileMeans; ///< By profile; for accounts with few completed requests.
    double m_largestCost = 0;
};

} // namespace marjoramloom
