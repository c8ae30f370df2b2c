#include "share/server_entry.h"

#include <algorithm>

namespace marjoramloom {

namespace {

constexpr auto failureLimit = std::uint32_t(3); ///< Failures in a row after which a server rests.
constexpr auto firstRest = duration(std::chrono::seconds(1));
constexpr auto longestRest = duration(std::chrono::seconds(16));
constexpr auto firstProbe = duration(std::chrono::seconds(2));
constexpr auto longestProbe = duration(std::chrono::seconds(16));
constexpr auto usualSlowness = 1.5; ///< Below this a server counts as recovered.

constexpr auto reportLifetime = duration(std::chrono::seconds(6));
constexpr auto historyLength =
    duration(std::chrono::seconds(10)); ///< Older reports are compared with the oldest entry.

/// A report's age is rough, and a grant needs some time to reach the server.
constexpr auto reportTolerance = duration(std::chrono::milliseconds(500));

/// \p first doubled \p times, at most \p longest.
auto doubled(duration first, std::uint32_t times, duration longest) -> duration
{
    constexpr auto mostDoublings = std::uint32_t(10);
    return std::min(longest, first * (1 << std::min(times, mostDoublings)));
}

} // namespace

auto server_entry::configure(const backend_server &contract) -> void
{
    m_contract = contract;
    m_limit.declare(contract.slots);
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
    const auto own = mostRunningAround(now - report.age);
    const auto excess = report.running > own ? report.running - own : 0;
    // Two reports in a row must agree: one alone may count a request that was settled here while the report was made.
    m_reportedElsewhere = std::min(excess, m_lastExcess);
    m_lastExcess = excess;
    m_reportExpiry = now + reportLifetime;
}

auto server_entry::mostRunningAround(time_point moment) const -> std::uint32_t
{
    auto most = m_history.empty() ? m_running : std::uint32_t(0);
    for (auto change = m_history.rbegin(); change != m_history.rend(); ++change) {
        if (change->when > moment + reportTolerance) {
            continue;
        }
        most = std::max(most, change->running);
        if (change->when < moment - reportTolerance) {
            break;
        }
    }
    return most;
}

auto server_entry::noteRunning(time_point now) -> void
{
    m_history.push_back({ now, m_running });
    while (m_history.size() > 1 && m_history[1].when < now - historyLength) {
        m_history.pop_front();
    }
}

auto server_entry::start(time_point now) -> void
{
    ++m_running;
    noteRunning(now);
}

auto server_entry::finish(time_point now) -> void
{
    m_running -= m_running > 0 ? 1 : 0;
    noteRunning(now);
}

auto server_entry::rest(time_point now) -> void
{
    m_retryAt = now + doubled(firstRest, m_failures - failureLimit, longestRest);
}

auto server_entry::noteProbe(time_point now) -> void
{
    m_nextProbe = now + doubled(firstProbe, ++m_probes, longestProbe);
}

auto server_entry::probeDue(time_point now) const -> bool
{
    return now >= m_nextProbe && now - m_pace.lastFirstToken() >= firstProbe;
}

auto server_entry::contract() const -> const backend_server &
{
    return m_contract;
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
    // Half at most: two dispatchers that each left to the other what it holds would never come to share.
    return m_running + std::min(m_reportedElsewhere, std::max(limit() / 2, 1U));
}

auto server_entry::limit() const -> std::uint32_t
{
    return m_limit.slots();
}

auto server_entry::freeSlots(time_point now) const -> std::uint32_t
{
    const auto busy = running(now);
    if (!available() || now < m_retryAt || busy >= limit()) {
        return 0;
    }
    return limit() - busy;
}

} // namespace marjoramloom
