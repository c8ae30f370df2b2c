#include "prefix_cache.h"

namespace standins {

auto prefix_cache::use(const std::vector<chat_message> &messages) -> std::uint64_t
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
            m_recent.splice(m_recent.begin(), m_recent, found->second);
            continue;
        }
        m_recent.push_front({ hash, tokens });
        m_byHash[hash] = m_recent.begin();
        m_held += tokens;
    }
    evict();
    return cached;
}

auto prefix_cache::evict() -> void
{
    while (m_held > m_capacity) {
        m_held -= m_recent.back().tokens;
        m_byHash.erase(m_recent.back().hash);
        m_recent.pop_back();
    }
}

} // namespace standins
