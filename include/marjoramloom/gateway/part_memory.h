#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/routed_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Estimate of the prompt parts that an engine keeps, from the requests that it is known to have read.
///
/// Engines keep parts in limited memory and drop the least recently used ones first; so does this estimate. Not thread
/// safe.
class part_memory
{
public:
    /// Sets how many tokens are taken to be kept.
    auto setCapacity(std::uint64_t tokens) -> void;

    /// The engine read a prompt that begins with \p parts and goes on with \p ownTokens that no other prompt shares.
    auto noteRead(const std::vector<prompt_part> &parts, std::uint32_t ownTokens) -> void;

    /// Tokens at the start of \p prompt that the engine is taken to keep.
    [[nodiscard]] auto keptTokens(const prompt_outline &prompt) const -> std::uint32_t;

private:
    using order_list = std::list<prompt_part>;

    auto touch(const prompt_part &part) -> void;
    auto trim() -> void;

    std::uint64_t m_capacity = 0;
    std::uint64_t m_tokens = 0;
    order_list m_order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, order_list::iterator> m_byId; ///< Shared parts only.
};

} // namespace marjoramloom
