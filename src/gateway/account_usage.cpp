#include "marjoramloom/gateway/account_usage.h"

#include "marjoramloom/core/hash.h"

namespace marjoramloom {

account_usage::account_usage(const fleet_loads &fleet)
    : m_fleet(fleet)
{
}

auto account_usage::accountId(std::string_view name) -> std::uint64_t
{
    return hash64(name);
}

auto account_usage::noteStarted(std::uint64_t account, std::uint64_t tokens, time_point now) -> void
{
    m_accounts[account].add(tokens, now);
    m_started.add(tokens, now);
}

auto account_usage::startedFraction(std::uint64_t account, time_point now) -> double
{
    const auto own = m_accounts.find(account);
    const auto started =
        (own == m_accounts.end() ? 0 : own->second.total(now)) + m_fleet.ofAccount(account).startedTokens;
    const auto all = m_started.total(now) + m_fleet.startedTokens();
    return all == 0 ? 0 : static_cast<double>(started) / static_cast<double>(all);
}

auto account_usage::ownShares(time_point now) -> std::vector<account_share>
{
    auto shares = std::vector<account_share>();
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        const auto started = entry->second.total(now);
        if (started == 0) {
            entry = m_accounts.erase(entry);
            continue;
        }
        shares.push_back({ entry->first, static_cast<std::uint32_t>(started) });
        ++entry;
    }
    return shares;
}

} // namespace marjoramloom
