#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>

namespace marjoramloom {

/// The amount of recent work up to which one shard of the engines serves every account in full.
///
/// While prompts would wait long at the shard's engines, the level falls; while they would not, it rises to the largest
/// account that asks for them. Accounts above the level are refused first, and an account counts with its work in the
/// whole fleet. So in an overload an account is refused only where no other account of the shard gets more than it
/// does: the shard is its bottleneck, and the fleet's shares are max-min fair. Neither the demand of the accounts nor
/// the capacity of the engines need be known, and the shards need not agree on a level. Not thread safe.
class account_level
{
public:
    /// The level is adapted this often while prompts arrive.
    static constexpr duration UPDATE_PERIOD = std::chrono::milliseconds(50);
    /// The level is adapted until prompts would wait for this fraction of their longest wait, on average.
    static constexpr double TARGET_WAIT = 0.75;
    /// The level rises up to this multiple of the largest account, where it limits nobody.
    static constexpr double HIGHEST_LEVEL = 1.25;

    /// Records the arrival of a prompt of \p tokens, of an account with \p accountTokens of recent work in the whole
    /// fleet, that would wait for \p waitFraction of its longest wait. \p evenTokens is an even part of all recent
    /// work, which the level never falls below.
    auto noteAsked(std::uint64_t tokens, double accountTokens, double waitFraction, double evenTokens, time_point now)
        -> void;

    /// \p accountTokens in relation to the level; 0 as long as nothing was recorded.
    [[nodiscard]] auto fractionOfLevel(double accountTokens) const -> double;

    /// How far the level limits the accounts, from 0 at the largest account to 1.
    [[nodiscard]] auto contention() const -> double;

    /// The level in tokens; 0 while it limits nobody.
    [[nodiscard]] auto limitTokens() const -> std::uint64_t;

private:
    auto update(double evenTokens, time_point now) -> void;
    [[nodiscard]] auto highestLevel() const -> double;

    /// Longest time that the level is adapted for at once, after a pause without prompts.
    static constexpr duration MAX_STEP = std::chrono::milliseconds(200);
    /// The largest account is that of this time and the one before.
    static constexpr duration LARGEST_PERIOD = std::chrono::seconds(1);

    time_point m_updatedAt{};
    time_point m_largestSince{};
    double m_askedTokens = 0; ///< Since the last update.
    double m_weightedWaits = 0; ///< Sum of the wait fractions, by tokens.
    double m_largest = 0; ///< Recent work of the largest account since m_largestSince.
    double m_largestBefore = 0; ///< The same for the period before.
    double m_fraction = 1; ///< The level in relation to the highest, so that it follows when all work grows.
    double m_level = 0;
};

} // namespace marjoramloom
