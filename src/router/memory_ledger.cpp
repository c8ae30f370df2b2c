#include "marjoramloom/router/memory_ledger.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

memory_ledger::memory_ledger(std::size_t limitBytes)
    : m_limit(limitBytes)
{
}

auto memory_ledger::setLimit(std::size_t limitBytes) -> void
{
    m_limit = limitBytes;
}

auto memory_ledger::add(std::uint64_t party, time_point now) -> holder &
{
    auto &added = m_holders.emplace_back();
    added.m_place = std::prev(m_holders.end());
    added.m_party = party;
    added.m_progress = now;
    ++m_parties[party].holders;
    return added;
}

auto memory_ledger::remove(holder &gone) -> void
{
    change(gone, 0);
    leaveParty(gone);
    m_holders.erase(gone.m_place);
}

auto memory_ledger::setParty(holder &moved, std::uint64_t party) -> void
{
    if (party == moved.m_party) {
        return;
    }
    const auto bytes = moved.m_bytes;
    change(moved, 0);
    leaveParty(moved);
    moved.m_party = party;
    ++m_parties[party].holders;
    change(moved, bytes);
}

auto memory_ledger::setEvictable(holder &changed, bool evictable) -> void
{
    changed.m_evictable = evictable;
}

auto memory_ledger::noteProgress(holder &active, time_point now) -> void
{
    active.m_progress = now;
}

auto memory_ledger::resize(holder &asking, std::size_t bytes, time_point now) -> verdict
{
    const auto after = m_used - asking.m_bytes + bytes;
    if (bytes > asking.m_bytes && after > m_limit) {
        return { .granted = false, .victims = findVictims(asking, bytes, after - m_limit, now) };
    }
    change(asking, bytes);
    return { .granted = true, .victims = {} };
}

auto memory_ledger::used() const -> std::size_t
{
    return m_used;
}

auto memory_ledger::limit() const -> std::size_t
{
    return m_limit;
}

auto memory_ledger::change(holder &changed, std::size_t bytes) -> void
{
    auto &total = m_parties.at(changed.m_party).bytes;
    total = total - changed.m_bytes + bytes;
    m_used = m_used - changed.m_bytes + bytes;
    changed.m_bytes = bytes;
}

auto memory_ledger::leaveParty(const holder &left) -> void
{
    const auto found = m_parties.find(left.m_party);
    assert(found != m_parties.end() && found->second.holders > 0);
    if (--found->second.holders == 0) {
        m_parties.erase(found);
    }
}

/// Returns holders that hold \p missing bytes together, in the order of eviction; none if there are not enough that may
/// be evicted for \p asking, which would hold \p bytes.
auto memory_ledger::findVictims(const holder &asking, std::size_t bytes, std::size_t missing, time_point now)
    -> std::vector<holder *>
{
    auto candidates = std::vector<holder *>();
    for (auto &other : m_holders) {
        if (&other != &asking && other.m_evictable && other.m_bytes > 0) {
            candidates.push_back(&other);
        }
    }
    const auto isStalled = [&](const holder *candidate) {
        return now - candidate->m_progress >= STALL_TIME;
    };
    const auto firstActive = std::partition(candidates.begin(), candidates.end(), isStalled);
    std::sort(candidates.begin(), firstActive,
              [](const holder *one, const holder *other) { return one->m_progress < other->m_progress; });
    std::sort(firstActive, candidates.end(),
              [](const holder *one, const holder *other) { return one->m_bytes > other->m_bytes; });
    auto victims = std::vector<holder *>();
    auto found = std::size_t(0);
    auto left =
        std::unordered_map<std::uint64_t, std::size_t>(); // Bytes of each party after the change, without the victims.
    for (const auto &[id, total] : m_parties) {
        left[id] = total.bytes;
    }
    left[asking.m_party] += bytes - asking.m_bytes;
    const auto take = [&](holder *victim) {
        victims.push_back(victim);
        found += victim->m_bytes;
        left[victim->m_party] -= victim->m_bytes;
    };
    for (auto next = candidates.begin(); next != firstActive && found < missing; ++next) {
        take(*next);
    }
    auto active = std::vector<holder *>(firstActive, candidates.end());
    while (found < missing) {
        // The largest holder of the largest party; `active` is ordered by the size of the holders.
        const auto size = [&](const holder *candidate) {
            return std::pair(left[candidate->m_party], candidate->m_party == asking.m_party);
        };
        const auto largest =
            std::max_element(active.begin(), active.end(),
                             [&](const holder *one, const holder *other) { return size(one) < size(other); });
        if (largest == active.end()) {
            return {};
        }
        const auto isSameParty = (*largest)->m_party == asking.m_party;
        if (isSameParty ? (*largest)->m_bytes <= bytes : left[(*largest)->m_party] <= left[asking.m_party]) {
            return {};
        }
        take(*largest);
        active.erase(largest);
    }
    return victims;
}

} // namespace marjoramloom
