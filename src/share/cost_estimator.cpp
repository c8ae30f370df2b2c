#include "marjoramloom/share/cost_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

constexpr auto sampleCap = 4.0; ///< An observation counts with at most this factor of the present mean.
constexpr auto hintRange = 4.0; ///< A hint moves an estimate by at most this factor.
constexpr auto memory = std::uint32_t(50); ///< Requests over which a mean forgets.
constexpr auto trustedCount = std::uint32_t(5); ///< Requests after which an account's own mean is used alone.
constexpr auto largestDecay = 0.998; ///< Per request.

} // namespace

auto cost_estimator::capped_mean::add(double sample) -> void
{
    const auto counted = count < trustedCount ? sample : std::min(sample, sampleCap * value);
    count = std::min(count + 1, memory);
    value += (counted - value) / count;
}

auto cost_estimator::expected(object_id account, object_id profile, double hint) const -> double
{
    assert(hint > 0);
    const auto *chosen = find(account, profile);
    if (chosen == nullptr) {
        return hint;
    }
    const auto byHint = hint * chosen->ratio.value;
    const auto estimate = std::sqrt(chosen->cost.value * byHint);
    return std::clamp(estimate, chosen->cost.value / hintRange, chosen->cost.value * hintRange);
}

auto cost_estimator::typical(object_id account, object_id profile, double fallback) const -> double
{
    const auto *chosen = find(account, profile);
    return chosen == nullptr ? fallback : chosen->cost.value;
}

auto cost_estimator::find(object_id account, object_id profile) const -> const level *
{
    const auto own = m_levels.find({ account, profile });
    if (own != m_levels.end() && own->second.cost.count >= trustedCount) {
        return &own->second;
    }
    const auto shared = m_profiles.find(profile);
    return shared == m_profiles.end() ? nullptr : &shared->second;
}

auto cost_estimator::observe(object_id account, object_id profile, double hint, double cost) -> void
{
    assert(hint > 0 && cost > 0);
    for (auto *entry : { &m_levels[{ account, profile }], &m_profiles[profile] }) {
        entry->cost.add(cost);
        entry->ratio.add(cost / hint);
    }
    m_largest = std::max(cost, m_largest * largestDecay);
}

auto cost_estimator::largestCost() const -> double
{
    return m_largest;
}

} // namespace marjoramloom
