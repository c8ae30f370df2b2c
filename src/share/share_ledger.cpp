#include "marjoramloom/share/share_ledger.h"

#include "share/offset_key.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// A router's total arrives one digest period after the usage that its dispatcher saw; this allows for several lost
/// digests.
constexpr auto unconfirmedLifetime = duration(std::chrono::seconds(5));

} // namespace

auto share_ledger::setWeights(const std::map<object_id, double> &weights) -> void
{
    std::erase_if(m_accounts, [&](const auto &entry) { return !weights.contains(entry.first); });
    std::erase_if(m_totals, [&](const auto &entry) { return !weights.contains(entry.first.account); });
    std::erase_if(m_keysBySerial, [&](const auto &entry) { return !weights.contains(entry.second.account); });
    std::erase_if(m_unconfirmed, [&](const auto &entry) { return !weights.contains(entry.first.account); });
    for (const auto &[account, weight] : weights) {
        assert(weight > 0);
        auto &entry = m_accounts[account];
        const auto oldService = receivedService(account);
        entry.weight = weight;
        const auto shift = oldService - receivedService(account);
        const auto services = entry.offsets;
        for (const auto &[service, offset] : services) {
            const auto unchangedService = virtualService(account, service) + shift;
            raiseVirtualService(account, service, unchangedService);
            capVirtualService(account, service, unchangedService);
        }
    }
}

auto share_ledger::merge(const std::vector<service_total> &totals) -> void
{
    for (const auto &total : totals) {
        raiseTotal({ total.router, total.account }, total.cost);
    }
}

auto share_ledger::count(incarnation_id router, object_id account, double cost) -> void
{
    assert(cost >= 0);
    const auto key = total_key{ router, account };
    const auto known = m_totals.find(key);
    raiseTotal(key, (known == m_totals.end() ? 0 : known->second.cost) + cost);
}

auto share_ledger::raiseTotal(const total_key &key, double cost) -> void
{
    auto &total = m_totals[key];
    const auto growth = cost - total.cost;
    if (growth <= 0) {
        return;
    }
    m_keysBySerial.erase(total.serial);
    total.cost = cost;
    total.serial = ++m_serial;
    m_keysBySerial[total.serial] = key;
    auto &entry = m_accounts[key.account];
    if (const auto offset = offset_key::decode(key.router)) {
        entry.offsets[offset->service] += offset->kind == offset_kind::raise ? growth : -growth;
        return;
    }
    entry.counted += growth;
    confirmUsage(key, growth);
}

auto share_ledger::confirmUsage(const total_key &key, double growth) -> void
{
    const auto usage = m_unconfirmed.find(key);
    if (usage != m_unconfirmed.end()) {
        setUnconfirmed(m_accounts[key.account], usage->second, usage->second.cost - growth);
    }
}

auto share_ledger::setUnconfirmed(account_entry &entry, unconfirmed_usage &usage, double cost) -> void
{
    entry.unconfirmed += std::max(0.0, cost) - std::max(0.0, usage.cost);
    usage.cost = cost;
}

auto share_ledger::totalsSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>
{
    auto grown = std::vector<service_total>();
    for (auto entry = m_keysBySerial.upper_bound(since); entry != m_keysBySerial.end(); ++entry) {
        const auto &key = entry->second;
        grown.push_back({ key.router, key.account, m_totals.at(key).cost });
    }
    next = m_serial;
    return grown;
}

auto share_ledger::retire(incarnation_id router) -> void
{
    for (auto entry = m_unconfirmed.lower_bound({ router, {} });
         entry != m_unconfirmed.end() && entry->first.router == router;) {
        setUnconfirmed(m_accounts[entry->first.account], entry->second, 0);
        entry = m_unconfirmed.erase(entry);
    }
}

auto share_ledger::charge(object_id account, double cost) -> void
{
    m_accounts[account].pending += cost;
}

auto share_ledger::recordUsage(incarnation_id router, object_id account, double cost, time_point now) -> void
{
    auto &usage = m_unconfirmed[{ router, account }];
    if (usage.halfPeriodEnd == time_point()) {
        usage.halfPeriodEnd = now + unconfirmedLifetime / 2;
    }
    usage.observed += cost;
    setUnconfirmed(m_accounts[account], usage, usage.cost + cost);
}

auto share_ledger::expire(time_point now) -> void
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + unconfirmedLifetime / 8;
    for (auto entry = m_unconfirmed.begin(); entry != m_unconfirmed.end();) {
        auto &usage = entry->second;
        if (usage.halfPeriodEnd > now) {
            ++entry;
            continue;
        }
        usage.halfPeriodEnd = now + unconfirmedLifetime / 2;
        usage.observedInPreviousHalf = std::exchange(usage.observed, 0);
        setUnconfirmed(m_accounts[entry->first.account], usage, std::min(usage.cost, usage.observedInPreviousHalf));
        entry = usage.observedInPreviousHalf > 0 ? std::next(entry) : m_unconfirmed.erase(entry);
    }
}

auto share_ledger::raiseVirtualService(object_id account, object_id service, double floor) -> void
{
    const auto missing = floor - virtualService(account, service);
    if (missing > 0) {
        count(offset_key{ offset_kind::raise, service }.encode(), account, missing);
    }
}

auto share_ledger::capVirtualService(object_id account, object_id service, double ceiling) -> void
{
    const auto excess = virtualService(account, service) - ceiling;
    if (excess > 0) {
        count(offset_key{ offset_kind::reduction, service }.encode(), account, excess);
    }
}

auto share_ledger::receivedService(object_id account) const -> double
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return 0;
    }
    const auto &entry = found->second;
    return (entry.counted + entry.pending + entry.unconfirmed) / entry.weight;
}

auto share_ledger::virtualService(object_id account, object_id service) const -> double
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return 0;
    }
    const auto &entry = found->second;
    const auto offset = entry.offsets.find(service);
    const auto received = (entry.counted + entry.pending + entry.unconfirmed) / entry.weight;
    return received + (offset == entry.offsets.end() ? 0 : offset->second);
}

auto share_ledger::weight(object_id account) const -> double
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? 1 : found->second.weight;
}

} // namespace marjoramloom
