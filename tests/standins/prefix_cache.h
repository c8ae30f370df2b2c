#pragma once

#include "answer_text.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace standins {

/// Estimated number of prompt tokens of a text.
inline auto promptTokens(std::string_view text) -> std::uint64_t
{
    constexpr auto bytesPerToken = 4;
    return text.size() / bytesPerToken + 1;
}

/// Simulated prefix cache of an engine. Prefixes end at message boundaries and are evicted in least-recently-used
/// order. Not thread safe.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Returns the number of tokens of the longest cached prefix of \p messages, and adds all of their prefixes to the
    /// cache.
    auto lookupAndInsert(const std::vector<chat_message> &messages) -> std::uint64_t;

private:
    struct cached_prefix
    {
        std::uint64_t hash = 0;
        std::uint64_t tokens = 0; ///< Tokens of its last message only.
    };

    auto evict() -> void;

    std::uint64_t m_capacity; ///< Tokens.
    std::uint64_t m_cachedTokens = 0;
    std::list<cached_prefix> m_prefixes; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> m_byHash;
};

} // namespace standins
