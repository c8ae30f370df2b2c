#include "marjoramloom/call/stop_calendar.h"

#include <algorithm>
#include <unordered_map>

namespace marjoramloom {

stop_calendar::stop_calendar(stop_settings settings)
    : m_settings(settings)
{
}

auto stop_calendar::setConfiguration(const configuration &accepted) -> void
{
    auto next = std::map<object_id, server_entry>();
    for (const auto &[name, server] : accepted.backendServers) {
        auto &entry = next[server.id];
        if (const auto known = m_servers.find(server.id); known != m_servers.end()) {
            entry = std::move(known->second);
        }
        if (entry.address != server.address) {
            entry.leavingSinceMs.reset();
        }
        entry.address = server.address;
        entry.stopWindows.clear();
    }
    for (const auto &[name, stop] : accepted.plannedStops) {
        const auto server = accepted.backendServers.find(stop.backendServer);
        if (server != accepted.backendServers.end()) {
            next[server->second.id].stopWindows.push_back({ stop.atUnixMs, stop.untilUnixMs });
        }
    }
    m_servers = std::move(next);
}

auto stop_calendar::setInstances(const std::vector<listed_instance> &instances, std::int64_t nowMs) -> void
{
    auto leaving = std::set<std::string>();
    for (const auto &instance : instances) {
        if (instance.role == instance_role::backendServer && instance.state == instance_state::leaving) {
            leaving.insert(instance.address);
        }
    }
    for (auto &[id, entry] : m_servers) {
        if (!leaving.contains(entry.address)) {
            entry.leavingSinceMs.reset();
        } else if (!entry.leavingSinceMs) {
            entry.leavingSinceMs = nowMs;
        }
    }
}

auto stop_calendar::absorb(const server_notice &notice, std::int64_t nowMs) -> bool
{
    const auto found = m_servers.find(notice.server);
    if (found == m_servers.end()) {
        return false;
    }
    auto &received = found->second.received;
    if (received && received->notice.unixMs >= notice.unixMs) {
        return false;
    }
    const auto changed = !received || received->notice.state != notice.state
        || nowMs - received->receivedMs > m_settings.noticeValidity.count() / 2;
    if (changed) {
        received = received_notice{ notice, nowMs };
    }
    return changed;
}

auto stop_calendar::phaseAt(object_id server, std::int64_t nowMs) const -> stop_phase
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? stop_phase::open : phaseOf(found->second, nowMs);
}

auto stop_calendar::phaseOf(const server_entry &entry, std::int64_t nowMs) const -> stop_phase
{
    auto phase = stop_phase::open;
    for (const auto &window : entry.stopWindows) {
        if (nowMs >= window.untilMs || nowMs < window.atMs - m_settings.noNewWorkBefore.count()) {
            continue;
        }
        phase = std::max(
            phase, nowMs < window.atMs - m_settings.moveBefore.count() ? stop_phase::noNewWork : stop_phase::moving);
    }
    if (entry.leavingSinceMs) {
        const auto inGracePeriod = nowMs - *entry.leavingSinceMs < m_settings.listedGrace.count();
        phase = std::max(phase, inGracePeriod ? stop_phase::noNewWork : stop_phase::moving);
    }
    const auto &received = entry.received;
    if (received && received->notice.state == server_state::leaving
        && nowMs - received->receivedMs < m_settings.noticeValidity.count()) {
        phase = std::max(phase, stop_phase::noNewWork);
    }
    return phase;
}

auto stop_calendar::stoppingAt(std::int64_t nowMs) const -> std::map<object_id, stop_phase>
{
    auto stopping = std::map<object_id, stop_phase>();
    for (const auto &[id, entry] : m_servers) {
        const auto phase = phaseOf(entry, nowMs);
        if (phase != stop_phase::open) {
            stopping.emplace(id, phase);
        }
    }
    return stopping;
}

auto stop_calendar::phaseChangeTimes(const server_entry &entry) const -> std::set<std::int64_t>
{
    auto changes = std::set<std::int64_t>();
    for (const auto &window : entry.stopWindows) {
        changes.insert(window.atMs - m_settings.noNewWorkBefore.count());
        changes.insert(window.atMs - m_settings.moveBefore.count());
        changes.insert(window.untilMs);
    }
    if (entry.leavingSinceMs) {
        changes.insert(*entry.leavingSinceMs + m_settings.listedGrace.count());
    }
    if (entry.received) {
        changes.insert(entry.received->receivedMs + m_settings.noticeValidity.count());
    }
    return changes;
}

auto stop_calendar::nextChange(std::int64_t nowMs) const -> std::optional<std::int64_t>
{
    auto next = std::optional<std::int64_t>();
    for (const auto &[id, entry] : m_servers) {
        const auto changes = phaseChangeTimes(entry);
        const auto after = changes.upper_bound(nowMs);
        if (after != changes.end() && (!next || *after < *next)) {
            next = *after;
        }
    }
    return next;
}

auto stop_calendar::notices(std::int64_t nowMs) const -> std::vector<server_notice>
{
    auto validNotices = std::vector<server_notice>();
    for (const auto &[id, entry] : m_servers) {
        if (entry.received && nowMs - entry.received->receivedMs < m_settings.noticeValidity.count()) {
            validNotices.push_back(entry.received->notice);
        }
    }
    return validNotices;
}

} // namespace marjoramloom
