#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/decisions/sliding_window_sum.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace marjoramloom {

/// The amount of work that each account gets while the engines cannot serve all: the mean over the accounts of which
/// requests were refused lately, and at least an even part of all work.
///
/// As accounts above the level are refused sooner than those below it, their amounts approach each other, until the
/// fleet serves max-min shares: accounts that ask for less than the level get all, and the others the same. The demand
/// of the accounts and the capacity of the engines need not be known. Not thread safe.
class account_level
{
public:
    /// An account counts for this long after its last refused request.
    static constexpr duration REFUSAL_MEMORY = sliding_window_sum::LENGTH;
    /// The level is computed again this often.
    static constexpr duration UPDATE_PERIOD = std::chrono::milliseconds(50);
    /// Beyond this number of accounts, further ones are not counted.
    static constexpr std::size_t MAX_ACCOUNTS = 1'024;

    /// Recent tokens of an account in the whole fleet.
    using token_source = std::function<std::uint64_t(std::uint64_t account)>;

    /// Records that a request of \p tokens was placed or refused.
    auto notePlaced(std::uint64_t tokens, time_point now) -> void;
    auto noteRefused(std::uint64_t account, std::uint64_t tokens, time_point now) -> void;

    /// Tokens of \p account in relation to the level; 0 for an account without recent tokens, or if no request was
    /// refused within REFUSAL_MEMORY. \p evenTokens is an even part of all recent tokens.
    [[nodiscard]] auto fractionOfLevel(std::uint64_t account, const token_source &tokensOf, double evenTokens,
                                       time_point now) -> double;

    /// How far the level limits the accounts, from 0 while at most MIN_REFUSED of all tokens is refused to 1 from
    /// FULL_REFUSED on. While little is refused, no account gets less than half of what it asks for.
    [[nodiscard]] auto contention(time_point now) -> double;

    static constexpr double MIN_REFUSED = 0.2;
    static constexpr double FULL_REFUSED = 0.45;

private:
    std::unordered_map<std::uint64_t, time_point> m_lastRefusals; ///< By account.
    sliding_window_sum m_placedTokens;
    sliding_window_sum m_refusedTokens;
    time_point m_updatedAt{};
    double m_level = 0;
};

} // namespace marjoramloom
