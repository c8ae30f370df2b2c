#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/routed_request.h"

#include <cstdint>
#include <list>
#include <unordered_map>

namespace marjoramloom {

/// Estimate of the prompt parts that an engine keeps, from the requests that this router sent there.
///
/// Engines keep parts in limited memory and drop the least recently used ones first; so does this estimate, with the
/// share of the memory that this router's own requests are likely to fill. Not thread safe.
class part_memory
{
public:
    /// Sets how many tokens are taken to be kept.
    auto setCapacity(std::uint64_t tokens) -> void;

    /// The engine read \p prompt whole.
    auto noteRead(const prompt_outline &prompt) -> void;

    /// Tokens at the start of \p prompt that the engine is taken to keep.
    [[nodiscard]] auto keptTokens(const prompt_outline &prompt) const -> std::uint32_t;

private:
    using order_list = std::list<prompt_part>;

    auto trim() -> void;

    std::uint64_t m_capacity = 0;
    std::uint64_t m_tokens = 0;
    order_list m_order; ///< Most recently used first.
    std::unordered_map<std::uint64_t, order_list::iterator> m_byId;
};

} // namespace marjoramloom
