#include "marjoramloom/gateway/decisions/account_usage.h"

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
    m_localTokensByAccount[account].add(tokens, now);
    m_localTokens.add(tokens, now);
}

auto account_usage::fleetTokensOf(std::uint64_t account, time_point now) -> std::uint64_t
{
    return localTokensOf(account, now) + m_fleet.tokensOfAccount(account).startedTokens;
}

auto account_usage::localTokensOf(std::uint64_t account, time_point now) -> std::uint64_t
{
    const auto local = m_localTokensByAccount.find(account);
    return local == m_localTokensByAccount.end() ? 0 : local->second.fading(now);
}

auto account_usage::fleetShare(std::uint64_t account, time_point now) -> double
{
    const auto allTokens = fleetTokens(now);
    return allTokens == 0 ? 0 : static_cast<double>(fleetTokensOf(account, now)) / static_cast<double>(allTokens);
}

auto account_usage::fleetTokens(time_point now) -> std::uint64_t
{
    return m_localTokens.fading(now) + m_fleet.startedTokens();
}

auto account_usage::evenShare() const -> double
{
    auto accounts = m_fleet.accountCount();
    for (const auto &[account, tokens] : m_localTokensByAccount) {
        accounts += m_fleet.tokensOfAccount(account).startedTokens == 0 ? 1 : 0;
    }
    return accounts == 0 ? 0 : 1.0 / static_cast<double>(accounts);
}

auto account_usage::localAccountTokens(time_point now) -> std::vector<account_tokens>
{
    auto shares = std::vector<account_tokens>();
    for (auto entry = m_localTokensByAccount.begin(); entry != m_localTokensByAccount.end();) {
        const auto started = entry->second.fading(now);
        if (started == 0) {
            entry = m_localTokensByAccount.erase(entry);
            continue;
        }
        shares.push_back({ entry->first, static_cast<std::uint32_t>(started) });
        ++entry;
    }
    return shares;
}

} // namespace marjoramloom
