#include "marjoramloom/gateway/knowledge/dispatcher_levels.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

auto dispatcher_levels::shardId(const std::string &service, std::uint32_t shard) -> std::uint64_t
{
    return hash64(service, shard);
}

auto dispatcher_levels::note(std::uint64_t shard, std::uint64_t account, const stated_level &stated, time_point now)
    -> void
{
    m_levels[shard] = { stated.levelTokens, now };
    if (m_accounts.size() >= MAX_ACCOUNTS) {
        std::erase_if(m_accounts, [&](const auto &known) { return now - known.second.at > LIFETIME; });
    }
    if (m_accounts.size() < MAX_ACCOUNTS || m_accounts.contains(account)) {
        m_accounts[account] = { stated.accountTokens, now };
    }
}

auto dispatcher_levels::isAbove(std::uint64_t shard, std::uint64_t account, std::uint64_t localTokens,
                                time_point now) const -> bool
{
    const auto level = m_levels.find(shard);
    if (level == m_levels.end() || level->second.tokens == 0 || now - level->second.at > LIFETIME) {
        return false;
    }
    const auto known = m_accounts.find(account);
    const auto isKnown = known != m_accounts.end() && now - known->second.at <= LIFETIME;
    return std::max(localTokens, isKnown ? known->second.tokens : 0) >= level->second.tokens;
}

} // namespace marjoramloom
