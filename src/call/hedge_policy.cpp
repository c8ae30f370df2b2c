#include "marjoramloom/call/hedge_policy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

constexpr auto SMALLEST_SECONDS = 0.0005;
constexpr auto BINS_PER_DOUBLING = 8.0;

/// Upper edge of a bin, so that a hedge starts late rather than early.
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
    m_tokens = std::min(BURST, m_tokens + m_fraction);
}

auto hedge_policy::observe(double seconds) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_current.total >= WINDOW) {
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
    if (total < ENOUGH) {
        return std::nullopt;
    }
    const auto wanted = QUANTILE * total;
    auto seen = 0.0;
    auto bin = std::size_t(0);
    while (bin + 1 < histogram::BINS) {
        seen += m_current.counts[bin] + m_previous.counts[bin];
        if (seen >= wanted) {
            break;
        }
        ++bin;
    }
    return fromSeconds(upperEdge(bin));
}

auto hedge_policy::take() -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

auto hedge_policy::giveBack() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_tokens = std::min(BURST, m_tokens + 1);
}

} // namespace marjoramloom
