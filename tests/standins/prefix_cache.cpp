#include "prefix_cache.h"

namespace standins {

auto prefix_cache::lookupAndInsert(const std::vector<chat_message> &messages) -> std::uint64_t
{
    auto hash = std::uint64_t(0);
    auto cached = std::uint64_t(0);
    auto hit = true;
    for (const auto &message : messages) {
        hash = marjoramloom::hash64(message.role + "\n" + message.content, hash);
        const auto tokens = promptTokens(message.content);
        const auto found = m_byHash.find(hash);
        hit = hit && found != m_byHash.end();
        cached += hit ? tokens : 0;
        if (found != m_byHash.end()) {
            m_prefixes.splice(m_prefixes.begin(), m_prefixes, found->second);
            continue;
        }
        m_prefixes.push_front({ hash, tokens });
        m_byHash[hash] = m_prefixes.begin();
        m_cachedTokens += tokens;
    }
    evict();
    return cached;
}

auto prefix_cache::evict() -> void
{
    while (m_cachedTokens > m_capacity) {
        m_cachedTokens -= m_prefixes.back().tokens;
        m_byHash.erase(m_prefixes.back().hash);
        m_prefixes.pop_back();
    }
}

} // namespace standins
