#include "share/server_entry.h"

#include <algorithm>

namespace marjoramloom {

namespace {

constexpr auto failureLimit = std::uint32_t(3); ///< Consecutive failures after which a cooldown starts.
constexpr auto firstCooldown = duration(std::chrono::seconds(1));
constexpr auto maxCooldown = duration(std::chrono::seconds(16));
constexpr auto firstProbeDelay = duration(std::chrono::seconds(2));
constexpr auto maxProbeDelay = duration(std::chrono::seconds(16));
constexpr auto usualSlowness = 1.5; ///< Below this a server counts as recovered.

constexpr auto reportLifetime = duration(std::chrono::seconds(6));

/// A report that is older than this is compared with the oldest entry of the history.
constexpr auto historyLength = duration(std::chrono::seconds(10));

/// Tolerance for the age of a report: the age is imprecise, and a grant takes some time to reach the server.
constexpr auto reportTolerance = duration(std::chrono::milliseconds(500));

/// \p first doubled \p times times, at most \p maximum.
auto doubled(duration first, std::uint32_t times, duration maximum) -> duration
{
    constexpr auto maxDoublings = std::uint32_t(10);
    return std::min(maximum, first * (1 << std::min(times, maxDoublings)));
}

} // namespace

auto server_entry::configure(const backend_server &configuration) -> void
{
    m_configuration = configuration;
    m_limit.declare(configuration.slots);
}

auto server_entry::setState(server_state state) -> void
{
    m_state = state;
}

auto server_entry::observe(const pace_sample &sample, time_point now) -> void
{
    if (sample.failed) {
        ++m_failures;
        return;
    }
    m_failures = 0;
    m_pace.observe(sample.firstTokenSeconds, sample.tokenSeconds, now);
    m_limit.observe(running(now), sample.firstTokenSeconds, sample.tokenSeconds);
    if (slowness < usualSlowness) {
        m_probes = 0;
    }
}

auto server_entry::observe(const load_report &report, time_point now) -> void
{
    const auto grantedHere = maxRunningAround(now - report.age);
    const auto excess = report.running > grantedHere ? report.running - grantedHere : 0;
    // Two consecutive reports must agree: a single one may count a request that was settled here while it was made.
    m_reportedElsewhere = std::min(excess, m_lastExcess);
    m_lastExcess = excess;
    m_reportExpiry = now + reportLifetime;
}

auto server_entry::maxRunningAround(time_point moment) const -> std::uint32_t
{
    auto highest = m_runningHistory.empty() ? m_running : std::uint32_t(0);
    for (auto change = m_runningHistory.rbegin(); change != m_runningHistory.rend(); ++change) {
        if (change->time > moment + reportTolerance) {
            continue;
        }
        highest = std::max(highest, change->running);
        if (change->time < moment - reportTolerance) {
            break;
        }
    }
    return highest;
}

auto server_entry::recordRunning(time_point now) -> void
{
    m_runningHistory.push_back({ now, m_running });
    while (m_runningHistory.size() > 1 && m_runningHistory[1].time < now - historyLength) {
        m_runningHistory.pop_front();
    }
}

auto server_entry::start(time_point now) -> void
{
    ++m_running;
    recordRunning(now);
}

auto server_entry::finish(time_point now) -> void
{
    m_running -= m_running > 0 ? 1 : 0;
    recordRunning(now);
}

auto server_entry::startCooldown(time_point now) -> void
{
    m_cooldownEnd = now + doubled(firstCooldown, m_failures - failureLimit, maxCooldown);
}

auto server_entry::recordProbe(time_point now) -> void
{
    m_nextProbe = now + doubled(firstProbeDelay, ++m_probes, maxProbeDelay);
}

auto server_entry::isProbeDue(time_point now) const -> bool
{
    return now >= m_nextProbe && now - m_pace.lastFirstToken() >= firstProbeDelay;
}

auto server_entry::configuration() const -> const backend_server &
{
    return m_configuration;
}

auto server_entry::pace() const -> const pace_tracker &
{
    return m_pace;
}

auto server_entry::available() const -> bool
{
    return m_state == server_state::available;
}

auto server_entry::failing() const -> bool
{
    return m_failures >= failureLimit;
}

auto server_entry::running(time_point now) const -> std::uint32_t
{
    if (now >= m_reportExpiry) {
        return m_running;
    }
    // At most half of the limit: if two dispatchers each reserved the other's running requests in full, the one that
    // came first would keep all slots.
    return m_running + std::min(m_reportedElsewhere, std::max(limit() / 2, 1U));
}

auto server_entry::limit() const -> std::uint32_t
{
    return m_limit.slots();
}

auto server_entry::freeSlots(time_point now) const -> std::uint32_t
{
    const auto busy = running(now);
    if (!available() || now < m_cooldownEnd || busy >= limit()) {
        return 0;
    }
    return limit() - busy;
}

} // namespace marjoramloom
