#include "marjoramloom/share/share_ledger.h"

#include "share/offset_key.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// A router's total follows the use that its dispatcher saw by one digest period; this allows for several lost ones.
constexpr auto balanceLifetime = duration(std::chrono::seconds(5));

} // namespace

auto share_ledger::setWeights(const std::map<object_id, double> &weights) -> void
{
    std::erase_if(m_accounts, [&](const auto &row) { return !weights.contains(row.first); });
    std::erase_if(m_totals, [&](const auto &row) { return !weights.contains(row.first.account); });
    std::erase_if(m_bySerial, [&](const auto &row) { return !weights.contains(row.second.account); });
    std::erase_if(m_balances, [&](const auto &row) { return !weights.contains(row.first.account); });
    for (const auto &[account, weight] : weights) {
        assert(weight > 0);
        auto &entry = m_accounts[account];
        const auto before = receivedService(account);
        entry.weight = weight;
        const auto shift = before - receivedService(account);
        const auto services = entry.offsets;
        for (const auto &[service, offset] : services) {
            const auto kept = virtualService(account, service) + shift;
            lift(account, service, kept);
            relieve(account, service, kept);
        }
    }
}

auto share_ledger::merge(const std::vector<service_total> &totals) -> void
{
    for (const auto &total : totals) {
        grow({ total.router, total.account }, total.cost);
    }
}

auto share_ledger::count(incarnation_id router, object_id account, double cost) -> void
{
    assert(cost >= 0);
    const auto key = total_key{ router, account };
    const auto known = m_totals.find(key);
    grow(key, (known == m_totals.end() ? 0 : known->second.cost) + cost);
}

auto share_ledger::grow(const total_key &key, double cost) -> void
{
    auto &total = m_totals[key];
    const auto growth = cost - total.cost;
    if (growth <= 0) {
        return;
    }
    m_bySerial.erase(total.serial);
    total.cost = cost;
    total.serial = ++m_serial;
    m_bySerial[total.serial] = key;
    auto &entry = m_accounts[key.account];
    if (const auto offset = offset_key::decode(key.router)) {
        entry.offsets[offset->service] += offset->kind == offset_kind::lift ? growth : -growth;
        return;
    }
    entry.counted += growth;
    settleBalance(key, growth);
}

auto share_ledger::settleBalance(const total_key &key, double growth) -> void
{
    const auto balance = m_balances.find(key);
    if (balance != m_balances.end()) {
        setBalance(m_accounts[key.account], balance->second, balance->second.cost - growth);
    }
}

auto share_ledger::setBalance(account_entry &entry, use_balance &balance, double cost) -> void
{
    entry.unconfirmed += std::max(0.0, cost) - std::max(0.0, balance.cost);
    balance.cost = cost;
}

auto share_ledger::totalsSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>
{
    auto grown = std::vector<service_total>();
    for (auto row = m_bySerial.upper_bound(since); row != m_bySerial.end(); ++row) {
        const auto &key = row->second;
        grown.push_back({ key.router, key.account, m_totals.at(key).cost });
    }
    next = m_serial;
    return grown;
}

auto share_ledger::retire(incarnation_id router) -> void
{
    for (auto row = m_balances.lower_bound({ router, {} }); row != m_balances.end() && row->first.router == router;) {
        setBalance(m_accounts[row->first.account], row->second, 0);
        row = m_balances.erase(row);
    }
}

auto share_ledger::charge(object_id account, double cost) -> void
{
    m_accounts[account].pending += cost;
}

auto share_ledger::observeUse(incarnation_id router, object_id account, double cost, time_point now) -> void
{
    auto &balance = m_balances[{ router, account }];
    if (balance.halfEnds == time_point()) {
        balance.halfEnds = now + balanceLifetime / 2;
    }
    balance.observed += cost;
    setBalance(m_accounts[account], balance, balance.cost + cost);
}

auto share_ledger::expire(time_point now) -> void
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + balanceLifetime / 8;
    for (auto row = m_balances.begin(); row != m_balances.end();) {
        auto &balance = row->second;
        if (balance.halfEnds > now) {
            ++row;
            continue;
        }
        balance.halfEnds = now + balanceLifetime / 2;
        balance.observedBefore = std::exchange(balance.observed, 0);
        setBalance(m_accounts[row->first.account], balance, std::min(balance.cost, balance.observedBefore));
        row = balance.observedBefore > 0 ? std::next(row) : m_balances.erase(row);
    }
}

auto share_ledger::lift(object_id account, object_id service, double floor) -> void
{
    const auto missing = floor - virtualService(account, service);
    if (missing > 0) {
        count(offset_key{ offset_kind::lift, service }.encode(), account, missing);
    }
}

auto share_ledger::relieve(object_id account, object_id service, double ceiling) -> void
{
    const auto excess = virtualService(account, service) - ceiling;
    if (excess > 0) {
        count(offset_key{ offset_kind::relief, service }.encode(), account, excess);
    }
}

auto share_ledger::receivedService(object_id account) const -> double
{
    const auto row = m_accounts.find(account);
    if (row == m_accounts.end()) {
        return 0;
    }
    const auto &entry = row->second;
    return (entry.counted + entry.pending + entry.unconfirmed) / entry.weight;
}

auto share_ledger::virtualService(object_id account, object_id service) const -> double
{
    const auto row = m_accounts.find(account);
    if (row == m_accounts.end()) {
        return 0;
    }
    const auto &entry = row->second;
    const auto offset = entry.offsets.find(service);
    const auto received = (entry.counted + entry.pending + entry.unconfirmed) / entry.weight;
    return received + (offset == entry.offsets.end() ? 0 : offset->second);
}

auto share_ledger::weight(object_id account) const -> double
{
    const auto row = m_accounts.find(account);
    return row == m_accounts.end() ? 1 : row->second.weight;
}

} // namespace marjoramloom
