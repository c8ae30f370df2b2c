#include "marjoramloom/peer/membership.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <cassert>
#include <random>

namespace marjoramloom {

auto makeIncarnation() -> incarnation_id
{
    constexpr auto randomBits = 20U;
    using std::chrono::milliseconds;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto wall = std::chrono::duration_cast<milliseconds>(sinceEpoch).count();
    const auto low = std::random_device()() & ((1U << randomBits) - 1);
    return (static_cast<incarnation_id>(wall) << randomBits) | low;
}

membership::membership(member self, membership_settings limits)
    : m_self(std::move(self))
    , m_limits(limits)
{
    assert(m_self.incarnation != 0 && !m_self.instance.empty() && !m_self.dataCentre.empty());
    m_self.heardDirectly = true;
}

auto membership::isObsolete(const member &router) const -> bool
{
    if (m_replacedAt.contains(router.incarnation)) {
        return true;
    }
    if (router.instance == m_self.instance && router.incarnation != m_self.incarnation) {
        return router.incarnation < m_self.incarnation;
    }
    const auto previous = m_byInstance.find(router.instance);
    if (previous == m_byInstance.end() || previous->second == router.incarnation) {
        return false;
    }
    const auto &entry = m_entries.at(previous->second);
    return entry.isAlive && router.incarnation < entry.info.incarnation;
}

auto membership::removePreviousIncarnation(const member &router, time_point now) -> void
{
    const auto previous = m_byInstance.find(router.instance);
    if (previous == m_byInstance.end() || previous->second == router.incarnation) {
        return;
    }
    const auto entry = m_entries.find(previous->second);
    if (entry->second.isAlive) {
        m_events.push_back({ entry->second.info, false });
    }
    m_replacedAt[entry->first] = now;
    m_entries.erase(entry);
}

auto membership::refresh(const member &router, time_point now) -> heartbeat_result
{
    if (router.incarnation == m_self.incarnation) {
        return heartbeat_result::stale;
    }
    if (isObsolete(router)) {
        return heartbeat_result::obsolete;
    }
    removePreviousIncarnation(router, now);
    auto &entry = m_entries[router.incarnation];
    if (router.heartbeatCount <= entry.info.heartbeatCount) {
        return heartbeat_result::stale;
    }
    const auto joined = !entry.isAlive;
    const auto changed = joined || entry.info.ready != router.ready || entry.info.leaving != router.leaving
        || entry.info.peerAddress != router.peerAddress;
    entry.info = router;
    entry.lastHeartbeat = now;
    entry.isAlive = true;
    m_byInstance[router.instance] = router.incarnation;
    if (changed) {
        m_events.push_back({ router, true });
    }
    return joined ? heartbeat_result::joined : heartbeat_result::refreshed;
}

auto membership::onHeartbeat(const member &router, time_point now) -> heartbeat_result
{
    const auto result = refresh(router, now);
    if (result == heartbeat_result::joined || result == heartbeat_result::refreshed) {
        m_entries[router.incarnation].lastDirectHeartbeat = now;
    }
    return result;
}

auto membership::onShortHeartbeat(const member &router, time_point now) -> heartbeat_result
{
    const auto entry = m_entries.find(router.incarnation);
    if (entry == m_entries.end()) {
        return m_replacedAt.contains(router.incarnation) ? heartbeat_result::obsolete : heartbeat_result::stale;
    }
    auto complete = entry->second.info;
    complete.heartbeatCount = router.heartbeatCount;
    complete.configurationSequence = router.configurationSequence;
    complete.ready = router.ready;
    complete.leaving = router.leaving;
    return onHeartbeat(complete, now);
}

auto membership::onRelayedHeartbeat(const member &router, time_point now) -> heartbeat_result
{
    return refresh(router, now);
}

auto membership::mergeRoster(const roster &update, time_point now) -> bool
{
    if (update.dataCentre == m_self.dataCentre) {
        return true;
    }
    auto &entry = m_rosters[{ update.dataCentre, update.source }];
    if (update.heartbeatCount <= entry.heartbeatCount) {
        return true;
    }
    if (update.members.empty() && (entry.version != update.version || !allAlive(entry.members))) {
        return false;
    }
    if (!update.members.empty()) {
        entry.members.clear();
        for (const auto &router : update.members) {
            entry.members.push_back(router.incarnation);
        }
    }
    entry.heartbeatCount = update.heartbeatCount;
    entry.version = update.version;
    entry.lastHeartbeat = now;
    for (const auto &router : update.members) {
        refresh(router, now);
    }
    for (const auto incarnation : entry.members) {
        if (const auto known = m_entries.find(incarnation); known != m_entries.end() && known->second.isAlive) {
            known->second.lastHeartbeat = now;
        }
    }
    return true;
}

auto membership::allAlive(const std::vector<incarnation_id> &incarnations) const -> bool
{
    return std::all_of(incarnations.begin(), incarnations.end(), [&](auto one) { return find(one) != nullptr; });
}

auto membership::localRoster(bool includeMembers, time_point now) const -> roster
{
    auto own = roster{ m_self.dataCentre, m_self.incarnation, m_self.heartbeatCount, 0, { m_self } };
    for (const auto &[incarnation, entry] : m_entries) {
        if (entry.isAlive && entry.info.dataCentre == m_self.dataCentre && isHeardDirectly(incarnation, now)) {
            own.members.push_back(copyWithAge(entry, now));
        }
    }
    for (const auto &router : own.members) {
        const auto state = (router.ready ? 1U : 0U) + (router.leaving ? 2U : 0U);
        own.version ^= hash64(router.instance + '\n' + router.peerAddress, router.incarnation * 4 + state);
    }
    if (!includeMembers) {
        own.members.clear();
    }
    return own;
}

auto membership::timeoutOf(const member_entry &entry) const -> duration
{
    const auto byRoster = entry.info.dataCentre != m_self.dataCentre;
    return byRoster ? m_limits.remoteTimeout : m_limits.timeout;
}

auto membership::expire(time_point now) -> void
{
    for (auto &[incarnation, entry] : m_entries) {
        if (entry.isAlive && now - entry.lastHeartbeat > timeoutOf(entry)) {
            entry.isAlive = false;
            m_events.push_back({ entry.info, false });
        }
    }
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &entry = item.second;
        const auto isRemoved = !entry.isAlive && now - entry.lastHeartbeat > m_limits.removeAfter;
        if (isRemoved) {
            m_byInstance.erase(entry.info.instance);
        }
        return isRemoved;
    });
    std::erase_if(m_replacedAt, [&](const auto &item) { return now - item.second > m_limits.removeAfter; });
    std::erase_if(m_rosters, [&](const auto &item) { return now - item.second.lastHeartbeat > m_limits.removeAfter; });
}

auto membership::takeEvents() -> std::vector<member_event>
{
    return std::exchange(m_events, {});
}

auto membership::setListedRouters(std::vector<listed_instance> listed) -> void
{
    m_listed = std::move(listed);
    m_listedLeaving.clear();
    for (const auto &row : m_listed) {
        if (row.state == instance_state::leaving) {
            m_listedLeaving.insert({ row.name, row.address });
        }
    }
}

auto membership::listed() const -> const std::vector<listed_instance> &
{
    return m_listed;
}

auto membership::addAddressHint(const std::string &dataCentre, const std::string &address) -> bool
{
    constexpr auto maxHints = std::size_t(3);
    if (dataCentre == m_self.dataCentre || dataCentre.empty() || address.empty()) {
        return false;
    }
    auto &known = m_addressHints[dataCentre];
    const auto isNew = known.empty();
    std::erase(known, address);
    known.push_back(address);
    if (known.size() > maxHints) {
        known.erase(known.begin());
    }
    return isNew;
}

auto membership::addressHints() const -> const std::map<std::string, std::vector<std::string>> &
{
    return m_addressHints;
}

auto membership::isListedAsLeaving(const member &router) const -> bool
{
    return m_listedLeaving.contains({ router.instance, router.peerAddress });
}

auto membership::self() -> member &
{
    return m_self;
}

auto membership::self() const -> const member &
{
    return m_self;
}

auto membership::copyWithAge(const member_entry &entry, time_point now) const -> member
{
    auto copy = entry.info;
    copy.age = now - entry.lastHeartbeat;
    copy.heardDirectly =
        entry.lastDirectHeartbeat != time_point::min() && now - entry.lastDirectHeartbeat <= timeoutOf(entry);
    copy.leaving = copy.leaving || isListedAsLeaving(copy);
    return copy;
}

auto membership::members(time_point now) const -> std::vector<member>
{
    auto live = std::vector<member>{ m_self };
    for (const auto &[incarnation, entry] : m_entries) {
        if (entry.isAlive) {
            live.push_back(copyWithAge(entry, now));
        }
    }
    return live;
}

auto membership::find(incarnation_id incarnation) const -> const member *
{
    const auto entry = m_entries.find(incarnation);
    const auto alive = entry != m_entries.end() && entry->second.isAlive;
    return alive ? &entry->second.info : nullptr;
}

auto membership::isKnown(incarnation_id incarnation) const -> bool
{
    return m_entries.contains(incarnation);
}

auto membership::suspects(time_point now) const -> std::vector<incarnation_id>
{
    auto suspected = std::vector<incarnation_id>();
    for (const auto &[incarnation, entry] : m_entries) {
        const auto local = entry.info.dataCentre == m_self.dataCentre;
        if (local && entry.isAlive && now - entry.lastHeartbeat > m_limits.suspectAfter) {
            suspected.push_back(incarnation);
        }
    }
    return suspected;
}

auto membership::isHeardDirectly(incarnation_id incarnation, time_point now) const -> bool
{
    const auto entry = m_entries.find(incarnation);
    return entry != m_entries.end() && entry->second.lastDirectHeartbeat != time_point::min()
        && now - entry->second.lastDirectHeartbeat <= timeoutOf(entry->second);
}

} // namespace marjoramloom
