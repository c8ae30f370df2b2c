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
    m_self.direct = true;
}

auto membership::isObsolete(const member &who) const -> bool
{
    if (m_replaced.contains(who.incarnation)) {
        return true;
    }
    if (who.instance == m_self.instance && who.incarnation != m_self.incarnation) {
        return who.incarnation < m_self.incarnation;
    }
    const auto previous = m_byInstance.find(who.instance);
    if (previous == m_byInstance.end() || previous->second == who.incarnation) {
        return false;
    }
    const auto &standing = m_entries.at(previous->second);
    return standing.alive && who.incarnation < standing.known.incarnation;
}

auto membership::replacePrevious(const member &who, time_point now) -> void
{
    const auto previous = m_byInstance.find(who.instance);
    if (previous == m_byInstance.end() || previous->second == who.incarnation) {
        return;
    }
    const auto standing = m_entries.find(previous->second);
    if (standing->second.alive) {
        m_events.push_back({ standing->second.known, false });
    }
    m_replaced[standing->first] = now;
    m_entries.erase(standing);
}

auto membership::refresh(const member &who, time_point now) -> heard_result
{
    if (who.incarnation == m_self.incarnation) {
        return heard_result::stale;
    }
    if (isObsolete(who)) {
        return heard_result::obsolete;
    }
    replacePrevious(who, now);
    auto &standing = m_entries[who.incarnation];
    if (who.beat <= standing.known.beat) {
        return heard_result::stale;
    }
    const auto joined = !standing.alive;
    const auto changed = joined || standing.known.ready != who.ready || standing.known.leaving != who.leaving
        || standing.known.peerAddress != who.peerAddress;
    standing.known = who;
    standing.lastHeard = now;
    standing.alive = true;
    m_byInstance[who.instance] = who.incarnation;
    if (changed) {
        m_events.push_back({ who, true });
    }
    return joined ? heard_result::joined : heard_result::refreshed;
}

auto membership::hear(const member &who, time_point now) -> heard_result
{
    const auto result = refresh(who, now);
    if (result == heard_result::joined || result == heard_result::refreshed) {
        m_entries[who.incarnation].lastDirect = now;
    }
    return result;
}

auto membership::hearAgain(const member &who, time_point now) -> heard_result
{
    const auto standing = m_entries.find(who.incarnation);
    if (standing == m_entries.end()) {
        return m_replaced.contains(who.incarnation) ? heard_result::obsolete : heard_result::stale;
    }
    auto whole = standing->second.known;
    whole.beat = who.beat;
    whole.configurationSequence = who.configurationSequence;
    whole.ready = who.ready;
    whole.leaving = who.leaving;
    return hear(whole, now);
}

auto membership::hearThrough(const member &who, time_point now) -> heard_result
{
    return refresh(who, now);
}

auto membership::absorb(const roster &news, time_point now) -> bool
{
    if (news.dataCentre == m_self.dataCentre) {
        return true;
    }
    auto &standing = m_rosters[{ news.dataCentre, news.source }];
    if (news.beat <= standing.beat) {
        return true;
    }
    if (news.members.empty() && (standing.version != news.version || !allAlive(standing.members))) {
        return false;
    }
    if (!news.members.empty()) {
        standing.members.clear();
        for (const auto &who : news.members) {
            standing.members.push_back(who.incarnation);
        }
    }
    standing.beat = news.beat;
    standing.version = news.version;
    standing.lastHeard = now;
    for (const auto &who : news.members) {
        refresh(who, now);
    }
    for (const auto incarnation : standing.members) {
        if (const auto known = m_entries.find(incarnation); known != m_entries.end() && known->second.alive) {
            known->second.lastHeard = now;
        }
    }
    return true;
}

auto membership::allAlive(const std::vector<incarnation_id> &incarnations) const -> bool
{
    return std::all_of(incarnations.begin(), incarnations.end(), [&](auto one) { return find(one) != nullptr; });
}

auto membership::ownRoster(bool whole, time_point now) const -> roster
{
    auto own = roster{ m_self.dataCentre, m_self.incarnation, m_self.beat, 0, { m_self } };
    for (const auto &[incarnation, standing] : m_entries) {
        if (standing.alive && standing.known.dataCentre == m_self.dataCentre && isDirect(incarnation, now)) {
            own.members.push_back(give(standing, now));
        }
    }
    for (const auto &who : own.members) {
        const auto state = (who.ready ? 1U : 0U) + (who.leaving ? 2U : 0U);
        own.version ^= hash64(who.instance + '\n' + who.peerAddress, who.incarnation * 4 + state);
    }
    if (!whole) {
        own.members.clear();
    }
    return own;
}

auto membership::timeoutOf(const entry &which) const -> duration
{
    const auto byRoster = which.known.dataCentre != m_self.dataCentre;
    return byRoster ? m_limits.remoteTimeout : m_limits.timeout;
}

auto membership::expire(time_point now) -> void
{
    for (auto &[incarnation, standing] : m_entries) {
        if (standing.alive && now - standing.lastHeard > timeoutOf(standing)) {
            standing.alive = false;
            m_events.push_back({ standing.known, false });
        }
    }
    std::erase_if(m_entries, [&](const auto &item) {
        const auto &standing = item.second;
        const auto forgotten = !standing.alive && now - standing.lastHeard > m_limits.forgetAfter;
        if (forgotten) {
            m_byInstance.erase(standing.known.instance);
        }
        return forgotten;
    });
    std::erase_if(m_replaced, [&](const auto &item) { return now - item.second > m_limits.forgetAfter; });
    std::erase_if(m_rosters, [&](const auto &item) { return now - item.second.lastHeard > m_limits.forgetAfter; });
}

auto membership::takeEvents() -> std::vector<member_event>
{
    return std::exchange(m_events, {});
}

auto membership::setListed(std::vector<listed_instance> listed) -> void
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

auto membership::hint(const std::string &dataCentre, const std::string &address) -> bool
{
    constexpr auto mostHints = std::size_t(3);
    if (dataCentre == m_self.dataCentre || dataCentre.empty() || address.empty()) {
        return false;
    }
    auto &known = m_hints[dataCentre];
    const auto isNew = known.empty();
    std::erase(known, address);
    known.push_back(address);
    if (known.size() > mostHints) {
        known.erase(known.begin());
    }
    return isNew;
}

auto membership::hints() const -> const std::map<std::string, std::vector<std::string>> &
{
    return m_hints;
}

auto membership::listedAsLeaving(const member &who) const -> bool
{
    return m_listedLeaving.contains({ who.instance, who.peerAddress });
}

auto membership::self() -> member &
{
    return m_self;
}

auto membership::self() const -> const member &
{
    return m_self;
}

auto membership::give(const entry &which, time_point now) const -> member
{
    auto copy = which.known;
    copy.age = now - which.lastHeard;
    copy.direct = which.lastDirect != time_point::min() && now - which.lastDirect <= timeoutOf(which);
    copy.leaving = copy.leaving || listedAsLeaving(copy);
    return copy;
}

auto membership::members(time_point now) const -> std::vector<member>
{
    auto live = std::vector<member>{ m_self };
    for (const auto &[incarnation, standing] : m_entries) {
        if (standing.alive) {
            live.push_back(give(standing, now));
        }
    }
    return live;
}

auto membership::find(incarnation_id incarnation) const -> const member *
{
    const auto standing = m_entries.find(incarnation);
    const auto alive = standing != m_entries.end() && standing->second.alive;
    return alive ? &standing->second.known : nullptr;
}

auto membership::remembers(incarnation_id incarnation) const -> bool
{
    return m_entries.contains(incarnation);
}

auto membership::suspects(time_point now) const -> std::vector<incarnation_id>
{
    auto silent = std::vector<incarnation_id>();
    for (const auto &[incarnation, standing] : m_entries) {
        const auto local = standing.known.dataCentre == m_self.dataCentre;
        if (local && standing.alive && now - standing.lastHeard > m_limits.suspectAfter) {
            silent.push_back(incarnation);
        }
    }
    return silent;
}

auto membership::isDirect(incarnation_id incarnation, time_point now) const -> bool
{
    const auto standing = m_entries.find(incarnation);
    return standing != m_entries.end() && standing->second.lastDirect != time_point::min()
        && now - standing->second.lastDirect <= timeoutOf(standing->second);
}

} // namespace marjoramloom
