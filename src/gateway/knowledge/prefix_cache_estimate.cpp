#include "marjoramloom/gateway/knowledge/prefix_cache_estimate.h"

namespace marjoramloom {

auto prefix_cache_estimate::setCapacity(std::uint64_t tokens) -> void
{
    m_capacityTokens = tokens;
    evict();
}

auto prefix_cache_estimate::recordPrefill(const std::vector<prefix_block> &blocks, std::uint32_t unsharedTokens) -> void
{
    for (const auto &block : blocks) {
        touch(block);
    }
    m_lruOrder.push_front({ 0, unsharedTokens });
    m_cachedTokens += unsharedTokens;
    evict();
}

auto prefix_cache_estimate::touch(const prefix_block &block) -> void
{
    const auto known = m_byId.find(block.id);
    if (known != m_byId.end()) {
        m_lruOrder.splice(m_lruOrder.begin(), m_lruOrder, known->second);
        return;
    }
    m_lruOrder.push_front(block);
    m_byId.emplace(block.id, m_lruOrder.begin());
    m_cachedTokens += block.tokens;
}

auto prefix_cache_estimate::cachedTokens(const prompt_summary &prompt) const -> std::uint32_t
{
    auto tokens = std::uint32_t(0);
    for (const auto &block : prompt.parts) {
        if (!m_byId.contains(block.id)) {
            break;
        }
        tokens += block.tokens;
    }
    return tokens;
}

auto prefix_cache_estimate::evict() -> void
{
    while (m_cachedTokens > m_capacityTokens && !m_lruOrder.empty()) {
        const auto oldest = std::prev(m_lruOrder.end());
        m_cachedTokens -= oldest->tokens;
        const auto shared = m_byId.find(oldest->id);
        if (shared != m_byId.end() && shared->second == oldest) {
            m_byId.erase(shared);
        }
        m_lruOrder.pop_back();
    }
}

} // namespace marjoramloom
