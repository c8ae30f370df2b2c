#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <unordered_set>

namespace marjoramloom {

/// Remembers the ids that were noted lately, in bounded memory. Not thread safe.
class recent_ids
{
public:
    /// An id is remembered for at least this long, unless many others are noted after it.
    static constexpr duration LIFETIME = std::chrono::minutes(10);
    /// At least this many of the latest ids are remembered for LIFETIME, and at most twice as many.
    static constexpr std::size_t CAPACITY = 1'024;

    auto note(std::uint64_t id, time_point now) -> void;

    [[nodiscard]] auto contains(std::uint64_t id) const -> bool;

private:
    std::unordered_set<std::uint64_t> m_latest; ///< Noted since m_latestSince.
    std::unordered_set<std::uint64_t> m_earlier; ///< Noted in the period before.
    time_point m_latestSince{};
};

} // namespace marjoramloom
