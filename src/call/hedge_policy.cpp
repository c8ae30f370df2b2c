#include "marjoramloom/call/hedge_policy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

constexpr auto SMALLEST_SECONDS = 0.0005;
constexpr auto BINS_PER_DOUBLING = 8.0;

/// Upper edge of \p bin in seconds. The upper edge is used so that a hedge starts late rather than early.
auto upperEdge(std::size_t bin) -> double
{
    return SMALLEST_SECONDS * std::exp2((static_cast<double>(bin) + 1) / BINS_PER_DOUBLING);
}

} // namespace

hedge_policy::hedge_policy(double fraction)
    : m_fraction(fraction)
{
    assert(fraction >= 0 && fraction < 1);
}

auto hedge_policy::binOf(double seconds) -> std::size_t
{
    const auto bin = std::floor(std::log2(std::max(seconds, SMALLEST_SECONDS) / SMALLEST_SECONDS) * BINS_PER_DOUBLING);
    return std::min(histogram::BINS - 1, static_cast<std::size_t>(bin));
}

auto hedge_policy::onCall() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_available = std::min(MAX_SAVED_HEDGES, m_available + m_fraction);
}

auto hedge_policy::observe(double seconds) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_current.total >= HALF_WINDOW_OBSERVATIONS) {
        m_previous = m_current;
        m_current = {};
    }
    ++m_current.counts[binOf(seconds)];
    ++m_current.total;
}

auto hedge_policy::delay() const -> std::optional<duration>
{
    const auto lock = std::lock_guard(m_mutex);
    const auto total = m_current.total + m_previous.total;
    if (total < MIN_OBSERVATIONS) {
        return std::nullopt;
    }
    const auto targetCount = DELAY_QUANTILE * total;
    auto cumulativeCount = 0.0;
    auto bin = std::size_t(0);
    while (bin + 1 < histogram::BINS) {
        cumulativeCount += m_current.counts[bin] + m_previous.counts[bin];
        if (cumulativeCount >= targetCount) {
            break;
        }
        ++bin;
    }
    return fromSeconds(upperEdge(bin));
}

auto hedge_policy::take() -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_available < 1) {
        return false;
    }
    m_available -= 1;
    return true;
}

auto hedge_policy::giveBack() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_available = std::min(MAX_SAVED_HEDGES, m_available + 1);
}

} // namespace marjoramloom
