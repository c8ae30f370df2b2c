#include "marjoramloom/share/cost_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

constexpr auto sampleCap = 4.0; ///< A sample is capped at this factor of the current mean.
constexpr auto hintRange = 4.0; ///< A hint moves an estimate by at most this factor.
constexpr auto maxMeanSamples = std::uint32_t(50); ///< A sample has a weight of at least 1 in this many.
constexpr auto trustedCount = std::uint32_t(5); ///< Samples after which an account's mean replaces the profile's.
constexpr auto largestCostDecay = 0.998; ///< Factor per request.

} // namespace

auto cost_estimator::capped_mean::add(double sample) -> void
{
    const auto capped = count < trustedCount ? sample : std::min(sample, sampleCap * value);
    count = std::min(count + 1, maxMeanSamples);
    value += (capped - value) / count;
}

auto cost_estimator::expected(object_id account, object_id profile, double hint) const -> double
{
    assert(hint > 0);
    const auto *chosen = find(account, profile);
    if (chosen == nullptr) {
        return hint;
    }
    const auto byHint = hint * chosen->costToHint.value;
    const auto estimate = std::sqrt(chosen->cost.value * byHint);
    return std::clamp(estimate, chosen->cost.value / hintRange, chosen->cost.value * hintRange);
}

auto cost_estimator::typical(object_id account, object_id profile, double fallback) const -> double
{
    const auto *chosen = find(account, profile);
    return chosen == nullptr ? fallback : chosen->cost.value;
}

auto cost_estimator::find(object_id account, object_id profile) const -> const cost_means *
{
    const auto accountMeans = m_accountMeans.find({ account, profile });
    if (accountMeans != m_accountMeans.end() && accountMeans->second.cost.count >= trustedCount) {
        return &accountMeans->second;
    }
    const auto profileMeans = m_profileMeans.find(profile);
    return profileMeans == m_profileMeans.end() ? nullptr : &profileMeans->second;
}

auto cost_estimator::observe(object_id account, object_id profile, double hint, double cost) -> void
{
    assert(hint > 0 && cost > 0);
    for (auto *entry : { &m_accountMeans[{ account, profile }], &m_profileMeans[profile] }) {
        entry->cost.add(cost);
        entry->costToHint.add(cost / hint);
    }
    m_largestCost = std::max(cost, m_largestCost * largestCostDecay);
}

auto cost_estimator::largestCost() const -> double
{
    return m_largestCost;
}

} // namespace marjoramloom
