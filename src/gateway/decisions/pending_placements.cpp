#include "marjoramloom/gateway/decisions/pending_placements.h"

namespace marjoramloom {

auto pending_placements::add(std::uint64_t router, std::uint64_t server, std::uint32_t tokens, const charge &charged,
                             time_point now) -> std::uint64_t
{
    auto &placements = m_routers[router];
    placements.pending.push_back({ ++placements.lastSequence, server, tokens, charged, now });
    auto &sum = m_engines[server];
    ++sum.running;
    sum.pendingPrefillTokens += tokens;
    if (charged.tokens > 0) {
        m_accountTokens[charged.account] += charged.tokens;
    }
    return placements.lastSequence;
}

auto pending_placements::acknowledge(std::uint64_t router, std::uint64_t sequence) -> void
{
    auto &pending = m_routers[router].pending;
    while (!pending.empty() && pending.front().sequence <= sequence) {
        subtract(pending.front());
        pending.pop_front();
    }
}

auto pending_placements::expire(time_point now) -> void
{
    for (auto &[router, placements] : m_routers) {
        while (!placements.pending.empty() && now - placements.pending.front().placedAt > LIFETIME) {
            subtract(placements.pending.front());
            placements.pending.pop_front();
        }
    }
}

auto pending_placements::loadOnEngine(std::uint64_t server) const -> engine_load
{
    const auto found = m_engines.find(server);
    return found == m_engines.end() ? engine_load{ server } : found->second;
}

auto pending_placements::tokensOfAccount(std::uint64_t account) const -> std::uint64_t
{
    const auto found = m_accountTokens.find(account);
    return found == m_accountTokens.end() ? 0 : found->second;
}

auto pending_placements::subtract(const placement &removed) -> void
{
    auto &sum = m_engines[removed.server];
    --sum.running;
    sum.pendingPrefillTokens -= removed.tokens;
    if (sum.running == 0) {
        m_engines.erase(removed.server);
    }
    const auto account = m_accountTokens.find(removed.charged.account);
    if (removed.charged.tokens > 0 && (account->second -= removed.charged.tokens) == 0) {
        m_accountTokens.erase(account);
    }
}

} // namespace marjoramloom
