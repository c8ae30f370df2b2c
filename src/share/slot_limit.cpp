#include "share/slot_limit.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

constexpr auto reviewPeriod = std::uint32_t(16); ///< Calls between two changes of the limit.
constexpr auto neededSamples = std::uint32_t(8); ///< Calls in each of light and full load before they are compared.
constexpr auto sampleWeight = 0.1; ///< Of a new call in the typical values.
constexpr auto queueingFactor = 4.0; ///< First-token time, full against light, that means waiting inside the server.

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

auto slot_limit::occupancy_pace::add(std::uint32_t runningNow, double firstTokenSeconds, double tokenSeconds) -> void
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
    if (++m_sinceReview >= reviewPeriod) {
        m_sinceReview = 0;
        review();
    }
}

auto slot_limit::overfull() const -> bool
{
    if (m_light.samples < neededSamples || m_full.samples < neededSamples) {
        return false;
    }
    const auto waitsInside = m_light.firstToken > 0 && m_full.firstToken > queueingFactor * m_light.firstToken;
    const auto slowdown = m_light.token > 0 ? m_full.token / m_light.token : 0;
    return waitsInside || slowdown * m_light.running >= m_full.running;
}

auto slot_limit::review() -> void
{
    if (overfull()) {
        m_slots = std::max({ std::uint32_t(1), m_declared / 2, m_slots - 1 });
        m_full = {};
    } else if (m_full.samples >= neededSamples) {
        m_slots = std::min(m_declared, m_slots + 1);
    }
}

auto slot_limit::slots() const -> std::uint32_t
{
    return m_slots;
}

} // namespace marjoramloom
