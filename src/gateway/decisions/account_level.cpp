#include "marjoramloom/gateway/decisions/account_level.h"

#include <algorithm>

namespace marjoramloom {

auto account_level::notePlaced(std::uint64_t tokens, time_point now) -> void
{
    m_placedTokens.add(tokens, now);
}

auto account_level::noteRefused(std::uint64_t account, std::uint64_t tokens, time_point now) -> void
{
    m_refusedTokens.add(tokens, now);
    if (m_lastRefusals.size() < MAX_ACCOUNTS || m_lastRefusals.contains(account)) {
        m_lastRefusals[account] = now;
    }
}

auto account_level::contention(time_point now) -> double
{
    const auto refused = static_cast<double>(m_refusedTokens.total(now));
    const auto asked = refused + static_cast<double>(m_placedTokens.total(now));
    return asked > 0 ? std::clamp((refused / asked - MIN_REFUSED) / (FULL_REFUSED - MIN_REFUSED), 0.0, 1.0) : 0;
}

auto account_level::fractionOfLevel(std::uint64_t account, const token_source &tokensOf, double evenTokens,
                                    time_point now) -> double
{
    if (now - m_updatedAt >= UPDATE_PERIOD) {
        m_updatedAt = now;
        std::erase_if(m_lastRefusals, [&](const auto &refusal) { return now - refusal.second > REFUSAL_MEMORY; });
        auto sum = std::uint64_t(0);
        for (const auto &[refused, at] : m_lastRefusals) {
            sum += tokensOf(refused);
        }
        const auto count = static_cast<double>(m_lastRefusals.size());
        m_level = count > 0 ? std::max(evenTokens, static_cast<double>(sum) / count) : 0;
    }
    return m_level > 0 ? static_cast<double>(tokensOf(account)) / m_level : 0;
}

} // namespace marjoramloom
