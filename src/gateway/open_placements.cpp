#include "marjoramloom/gateway/open_placements.h"

namespace marjoramloom {

auto open_placements::add(std::uint64_t router, std::uint64_t server, std::uint32_t tokens, time_point now)
    -> std::uint64_t
{
    auto &held = m_routers[router];
    held.open.push_back({ ++held.last, server, tokens, now });
    auto &sum = m_engines[server];
    ++sum.running;
    sum.unreadTokens += tokens;
    return held.last;
}

auto open_placements::settle(std::uint64_t router, std::uint64_t sequence) -> void
{
    auto &open = m_routers[router].open;
    while (!open.empty() && open.front().sequence <= sequence) {
        close(open.front());
        open.pop_front();
    }
}

auto open_placements::expire(time_point now) -> void
{
    for (auto &[router, held] : m_routers) {
        while (!held.open.empty() && now - held.open.front().madeAt > LIFETIME) {
            close(held.open.front());
            held.open.pop_front();
        }
    }
}

auto open_placements::onEngine(std::uint64_t server) const -> engine_share
{
    const auto found = m_engines.find(server);
    return found == m_engines.end() ? engine_share{ server, 0, 0 } : found->second;
}

auto open_placements::close(const placement &ended) -> void
{
    auto &sum = m_engines[ended.server];
    --sum.running;
    sum.unreadTokens -= ended.tokens;
    if (sum.running == 0) {
        m_engines.erase(ended.server);
    }
}

} // namespace marjoramloom
