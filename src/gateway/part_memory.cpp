#include "marjoramloom/gateway/part_memory.h"

namespace marjoramloom {

auto part_memory::setCapacity(std::uint64_t tokens) -> void
{
    m_capacity = tokens;
    trim();
}

auto part_memory::noteRead(const prompt_outline &prompt) -> void
{
    // The last part is left as the most recently used one, as the engine uses parts in their order.
    for (const auto &part : prompt.parts) {
        const auto known = m_byId.find(part.id);
        if (known != m_byId.end()) {
            m_order.splice(m_order.begin(), m_order, known->second);
            continue;
        }
        m_order.push_front(part);
        m_byId.emplace(part.id, m_order.begin());
        m_tokens += part.tokens;
    }
    trim();
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
        m_tokens -= m_order.back().tokens;
        m_byId.erase(m_order.back().id);
        m_order.pop_back();
    }
}

} // namespace marjoramloom
