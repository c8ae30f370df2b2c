#include "share/slot_limit.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

constexpr auto adjustmentPeriod = std::uint32_t(16); ///< Calls between two adjustments.
constexpr auto minSamples = std::uint32_t(8); ///< Calls under light and under full load before they are compared.
constexpr auto sampleWeight = 0.1; ///< Weight of a new call in the mean values.

/// Ratio of the time to the first token under full and light load above which requests queue inside the server.
constexpr auto queueingFactor = 4.0;

auto smooth(double &value, double sample) -> void
{
    if (sample > 0) {
        value = value > 0 ? value + sampleWeight * (sample - value) : sample;
    }
}

} // namespace

slot_limit::slot_limit(std::uint32_t declared)
    : m_declared(declared)
    , m_slots(declared)
{
}

auto slot_limit::declare(std::uint32_t declared) -> void
{
    if (declared == m_declared) {
        return;
    }
    m_slots = std::max(std::uint32_t(1), m_slots * declared / std::max(std::uint32_t(1), m_declared));
    m_slots = std::min(m_slots, declared);
    m_declared = declared;
    m_light = {};
    m_full = {};
}

auto slot_limit::occupancy_latency::add(std::uint32_t runningNow, double firstTokenSeconds, double tokenSeconds) -> void
{
    smooth(running, runningNow);
    smooth(firstToken, firstTokenSeconds);
    smooth(token, tokenSeconds);
    ++samples;
}

auto slot_limit::observe(std::uint32_t running, double firstTokenSeconds, double tokenSeconds) -> void
{
    if (running * 2 <= m_slots) {
        m_light.add(running, firstTokenSeconds, tokenSeconds);
    } else if (running * 8 >= m_slots * 7) {
        m_full.add(running, firstTokenSeconds, tokenSeconds);
    }
    if (++m_callsSinceAdjustment >= adjustmentPeriod) {
        m_callsSinceAdjustment = 0;
        adjust();
    }
}

auto slot_limit::isOverloaded() const -> bool
{
    if (m_light.samples < minSamples || m_full.samples < minSamples) {
        return false;
    }
    const auto queuesInServer = m_light.firstToken > 0 && m_full.firstToken > queueingFactor * m_light.firstToken;
    const auto slowdown = m_light.token > 0 ? m_full.token / m_light.token : 0;
    return queuesInServer || slowdown * m_light.running >= m_full.running;
}

auto slot_limit::adjust() -> void
{
    if (isOverloaded()) {
        m_slots = std::max({ std::uint32_t(1), m_declared / 2, m_slots - 1 });
        m_full = {};
    } else if (m_full.samples >= minSamples) {
        m_slots = std::min(m_declared, m_slots + 1);
    }
}

auto slot_limit::slots() const -> std::uint32_t
{
    return m_slots;
}

} // namespace marjoramloom
