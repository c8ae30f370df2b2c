#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/traffic/routed_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Estimate of an engine's prefix cache, from the prompts that were sent to it.
///
/// Engines evict the least recently used blocks once their cache memory is full; so does this estimate. Not thread
/// safe.
class prefix_cache_estimate
{
public:
    /// Sets how many tokens the cache is assumed to hold.
    auto setCapacity(std::uint64_t tokens) -> void;

    /// Records that the engine prefilled a prompt that consists of the shareable \p blocks and \p unsharedTokens that
    /// no other prompt shares.
    auto recordPrefill(const std::vector<prefix_block> &blocks, std::uint32_t unsharedTokens) -> void;

    /// Number of tokens at the start of \p prompt that the engine is assumed to have cached.
    [[nodiscard]] auto cachedTokens(const prompt_summary &prompt) const -> std::uint32_t;

private:
    using lru_list = std::list<prefix_block>;

    auto touch(const prefix_block &block) -> void;
    auto evict() -> void;

    std::uint64_t m_capacityTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    lru_list m_lruOrder; ///< Most recently used first.
    std::unordered_map<std::uint64_t, lru_list::iterator> m_byId; ///< Shareable blocks only.
};

} // namespace marjoramloom
