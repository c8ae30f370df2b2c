#include "marjoramloom/gateway/part_memory.h"

namespace marjoramloom {

auto part_memory::setCapacity(std::uint64_t tokens) -> void
{
    m_capacity = tokens;
    trim();
}

auto part_memory::noteRead(const std::vector<prompt_part> &parts, std::uint32_t ownTokens) -> void
{
    for (const auto &part : parts) {
        touch(part);
    }
    m_order.push_front({ 0, ownTokens });
    m_tokens += ownTokens;
    trim();
}

auto part_memory::touch(const prompt_part &part) -> void
{
    const auto known = m_byId.find(part.id);
    if (known != m_byId.end()) {
        m_order.splice(m_order.begin(), m_order, known->second);
        return;
    }
    m_order.push_front(part);
    m_byId.emplace(part.id, m_order.begin());
    m_tokens += part.tokens;
}

auto part_memory::keptTokens(const prompt_outline &prompt) const -> std::uint32_t
{
    auto tokens = std::uint32_t(0);
    for (const auto &part : prompt.parts) {
        if (!m_byId.contains(part.id)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

auto part_memory::trim() -> void
{
    while (m_tokens > m_capacity && !m_order.empty()) {
        const auto oldest = std::prev(m_order.end());
        m_tokens -= oldest->tokens;
        const auto shared = m_byId.find(oldest->id);
        if (shared != m_byId.end() && shared->second == oldest) {
            m_byId.erase(shared);
        }
        m_order.pop_back();
    }
}

} // namespace marjoramloom
