#include "marjoramloom/gateway/decisions/account_level.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marjoramloom {

namespace {

/// Relative change of the level in a second, for each unit by which the mean wait fraction differs from the target.
constexpr double gain = 4;
/// Wait fractions count up to this one, so that the level falls about as fast as it rises.
constexpr double maxWaitFraction = 2 * account_level::TARGET_WAIT;
/// The level stays at least this fraction of the highest, so that it returns within seconds.
constexpr double lowestFraction = 0.001;

} // namespace

auto account_level::noteAsked(std::uint64_t tokens, double accountTokens, double waitFraction, double evenTokens,
                              time_point now) -> void
{
    m_askedTokens += static_cast<double>(tokens);
    m_weightedWaits += static_cast<double>(tokens) * std::min(waitFraction, maxWaitFraction);
    m_largest = std::max(m_largest, accountTokens);
    if (now - m_updatedAt >= UPDATE_PERIOD) {
        update(evenTokens, now);
    }
}

auto account_level::update(double evenTokens, time_point now) -> void
{
    const auto step = std::min(now - m_updatedAt, MAX_STEP);
    m_updatedAt = now;
    const auto meanWait = m_askedTokens > 0 ? m_weightedWaits / m_askedTokens : 0;
    const auto factor = std::exp(gain * (TARGET_WAIT - meanWait) * toSeconds(step));
    m_askedTokens = 0;
    m_weightedWaits = 0;
    const auto highest = highestLevel();
    const auto evenFraction = highest > 0 ? std::clamp(evenTokens / highest, lowestFraction, 1.0) : 1.0;
    m_fraction = std::clamp(m_fraction * factor, evenFraction, 1.0);
    m_level = m_fraction * highest;
    if (now - m_largestSince >= LARGEST_PERIOD) {
        m_largestSince = now;
        m_largestBefore = std::exchange(m_largest, 0);
    }
}

auto account_level::highestLevel() const -> double
{
    return std::max(m_largest, m_largestBefore) * HIGHEST_LEVEL;
}

auto account_level::fractionOfLevel(double accountTokens) const -> double
{
    return m_level > 0 ? accountTokens / m_level : 0;
}

auto account_level::limitTokens() const -> std::uint64_t
{
    return contention() > 0 ? std::max<std::uint64_t>(static_cast<std::uint64_t>(m_level), 1) : 0;
}

auto account_level::contention() const -> double
{
    return std::clamp((1 / m_fraction - 1) / (HIGHEST_LEVEL - 1), 0.0, 1.0);
}

} // namespace marjoramloom
