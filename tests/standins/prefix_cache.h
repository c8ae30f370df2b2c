#pragma once

#include "answer_text.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace standins {

/// Prompt tokens of a text, roughly as engines count them.
inline auto promptTokens(std::string_view text) -> std::uint64_t
{
    constexpr auto bytesPerToken = 4;
    return text.size() / bytesPerToken + 1;
}

/// Prompt prefixes that an engine keeps, at message boundaries; the least recently used go first. Not thread safe.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacityTokens)
        : m_capacity(capacityTokens)
    {
    }

    /// Tokens of the longest cached prefix of \p messages; afterwards all of its prefixes are cached.
    auto use(const std::vector<chat_message> &messages) -> std::uint64_t;

private:
    struct cached_prefix
    {
        std::uint64_t hash = 0;
        std::uint64_t tokens = 0; ///< Of its last message alone.
    };

    auto evict() -> void;

    std::uint64_t m_capacity;
    std::uint64_t m_held = 0; ///< Tokens.
    std::list<cached_prefix> m_recent; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> m_byHash;
};

} // namespace standins
