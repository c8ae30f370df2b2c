#include "marjoramloom/gateway/decisions/pending_placements.h"

namespace marjoramloom {

auto pending_placements::add(std::uint64_t router, std::uint64_t server, std::uint32_t tokens, time_point now)
    -> std::uint64_t
{
    auto &placements = m_routers[router];
    placements.pending.push_back({ ++placements.lastSequence, server, tokens, now });
    auto &sum = m_engines[server];
    ++sum.running;
    sum.pendingPrefillTokens += tokens;
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

auto pending_placements::subtract(const placement &removed) -> void
{
    auto &sum = m_engines[removed.server];
    --sum.running;
    sum.pendingPrefillTokens -= removed.tokens;
    if (sum.running == 0) {
        m_engines.erase(removed.server);
    }
}

} // namespace marjoramloom
