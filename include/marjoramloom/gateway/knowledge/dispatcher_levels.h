#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/decisions/sliding_window_sum.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace marjoramloom {

/// What a dispatcher that knows the fleet's load states with its answer to a query.
struct stated_level
{
    std::uint64_t levelTokens = 0; ///< Level of the shard's engines, from account_level; 0 if it limits no account.
    std::uint64_t accountTokens = 0; ///< Recent work of the query's account in the whole fleet.
};

/// The levels and accounts' work that dispatchers stated lately.
///
/// A router that gets no answer knows neither the queues of the engines nor what its accounts get elsewhere. What it
/// decides alone would pass the limits that it had just been held to, so it keeps to the last ones. Not thread safe.
class dispatcher_levels
{
public:
    /// A statement holds for the time over which recent work is counted.
    static constexpr duration LIFETIME = sliding_window_sum::LENGTH;
    /// Beyond this number of accounts, expired ones are forgotten.
    static constexpr std::size_t MAX_ACCOUNTS = 1'024;

    /// Id of the shard with the index \p shard of \p service.
    [[nodiscard]] static auto shardId(const std::string &service, std::uint32_t shard) -> std::uint64_t;

    /// Records what a dispatcher of the shard with the id \p shard stated about \p account.
    auto note(std::uint64_t shard, std::uint64_t account, const stated_level &stated, time_point now) -> void;

    /// Whether \p account, with \p localTokens of recent work through this router, has at least as much as the level
    /// that was stated for the shard.
    [[nodiscard]] auto isAbove(std::uint64_t shard, std::uint64_t account, std::uint64_t localTokens,
                               time_point now) const -> bool;

private:
    struct statement
    {
        std::uint64_t tokens = 0;
        time_point at;
    };

    std::unordered_map<std::uint64_t, statement> m_levels; ///< By shard.
    std::unordered_map<std::uint64_t, statement> m_accounts;
};

} // namespace marjoramloom
