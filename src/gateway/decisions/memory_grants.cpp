#include "marjoramloom/gateway/decisions/memory_grants.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Time between two searches for expired grants.
constexpr auto expiryPeriod = std::chrono::milliseconds(100);

} // namespace

auto memory_commitment::fullTokens() const -> std::uint64_t
{
    auto tokens = ownTokens;
    for (const auto &block : shared) {
        tokens += block.tokens;
    }
    return tokens;
}

auto memory_commitment::of(const prompt_summary &prompt) -> memory_commitment
{
    auto commitment = memory_commitment{ .shared = prompt.parts,
                                         .ownTokens = std::uint64_t(prompt.promptTokens) + prompt.outputTokens };
    if (!commitment.shared.empty()) {
        commitment.shared.pop_back(); // Only this request uses the last block.
    }
    for (const auto &block : commitment.shared) {
        commitment.ownTokens -= std::min<std::uint64_t>(commitment.ownTokens, block.tokens);
    }
    return commitment;
}

auto memory_grants::add(std::uint64_t router, std::uint64_t engine, memory_commitment commitment, time_point now)
    -> std::uint64_t
{
    auto &memory = m_engines[engine];
    ++memory.grants;
    memory.tokens += commitment.ownTokens;
    for (const auto &block : commitment.shared) {
        auto &used = memory.blocks[block.id];
        if (used.users++ == 0) {
            used.tokens = block.tokens;
            memory.tokens += block.tokens;
        }
    }
    m_routers[router].emplace(++m_lastNumber, grant{ engine, std::move(commitment), now });
    return m_lastNumber;
}

auto memory_grants::reconcile(std::uint64_t router, std::uint64_t last, const std::set<std::uint64_t> &held,
                              time_point now) -> std::map<std::uint64_t, std::uint64_t>
{
    auto retained = std::map<std::uint64_t, std::uint64_t>();
    const auto known = m_routers.find(router);
    if (known == m_routers.end()) {
        return retained;
    }
    auto &grants = known->second;
    for (auto entry = grants.begin(); entry != grants.end() && entry->first <= last;) {
        if (held.contains(entry->first)) {
            entry->second.renewedAt = now;
            retained[entry->second.engine] += entry->second.commitment.fullTokens();
            ++entry;
        } else {
            subtract(entry->second);
            entry = grants.erase(entry);
        }
    }
    return retained;
}

auto memory_grants::removeRouter(std::uint64_t router) -> void
{
    const auto known = m_routers.find(router);
    if (known == m_routers.end()) {
        return;
    }
    for (const auto &[number, ended] : known->second) {
        subtract(ended);
    }
    m_routers.erase(known);
}

auto memory_grants::expire(time_point now) -> void
{
    if (now - m_lastExpiry < expiryPeriod) {
        return;
    }
    m_lastExpiry = now;
    for (auto router = m_routers.begin(); router != m_routers.end();) {
        auto &grants = router->second;
        for (auto entry = grants.begin(); entry != grants.end();) {
            if (now - entry->second.renewedAt <= LIFETIME) {
                ++entry;
                continue;
            }
            subtract(entry->second);
            entry = grants.erase(entry);
        }
        router = grants.empty() ? m_routers.erase(router) : std::next(router);
    }
}

auto memory_grants::committedTokens(std::uint64_t engine) const -> std::uint64_t
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? 0 : found->second.tokens;
}

auto memory_grants::additionalTokens(std::uint64_t engine, const memory_commitment &commitment) const -> std::uint64_t
{
    const auto found = m_engines.find(engine);
    auto tokens = commitment.ownTokens;
    for (const auto &block : commitment.shared) {
        const auto isUsed = found != m_engines.end() && found->second.blocks.contains(block.id);
        tokens += isUsed ? 0 : block.tokens;
    }
    return tokens;
}

auto memory_grants::subtract(const grant &ended) -> void
{
    const auto found = m_engines.find(ended.engine);
    assert(found != m_engines.end());
    auto &memory = found->second;
    memory.tokens -= ended.commitment.ownTokens;
    for (const auto &block : ended.commitment.shared) {
        const auto used = memory.blocks.find(block.id);
        if (--used->second.users == 0) {
            memory.tokens -= used->second.tokens;
            memory.blocks.erase(used);
        }
    }
    if (--memory.grants == 0) {
        m_engines.erase(found);
    }
}

} // namespace marjoramloom
