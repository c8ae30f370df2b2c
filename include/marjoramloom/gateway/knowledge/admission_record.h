#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// What a router decided about a prompt.
enum class admission_result {
    placed,
    expectedLate, ///< Refused: the expected wait is beyond the limit for the account.
    noRoom, ///< Refused: no engine has a free slot, or enough free KV memory, for a prompt of the account.
    aboveStatedLevel, ///< Refused: no dispatcher answers, and the account is above the level that one stated last.
};

template<>
struct enum_names<admission_result>
{
    static constexpr std::array table{
        enum_name<admission_result>{ admission_result::placed, "placed" },
        enum_name<admission_result>{ admission_result::expectedLate, "expected_late" },
        enum_name<admission_result>{ admission_result::noRoom, "no_room" },
        enum_name<admission_result>{ admission_result::aboveStatedLevel, "above_stated_level" },
    };
};

/// One decision about a prompt, with the inputs that depend on its account.
struct admission_decision
{
    std::uint64_t account = 0; ///< From account_usage::accountId().
    std::uint64_t tokens = 0; ///< Tokens of the prompt and twice its expected output.
    admission_result result = admission_result::placed;
    double accountShare = 0; ///< The account's recent share of all work, from 0 to 1.
    double fractionOfLevel = 0; ///< From account_level.
    duration wait{}; ///< Expected wait at the chosen engine; 0 if none was chosen.
    duration maxWait{}; ///< The limit that the wait was compared with; 0 if none was chosen.
    double contention = 0; ///< From account_level.
    bool alone = false; ///< Decided by the router of the request, as no dispatcher answered.
};

/// Sums of the decisions of one router about one account within a second.
struct admission_totals
{
    static constexpr std::size_t RESULTS = enum_names<admission_result>::table.size();

    std::uint64_t account = 0;
    std::array<std::uint32_t, RESULTS> requests{}; ///< By admission_result.
    std::uint64_t askedTokens = 0;
    std::uint64_t placedTokens = 0;
    std::uint64_t placedAloneTokens = 0; ///< Part of placedTokens for which no dispatcher answered.
    double accountShare = 0; ///< Of the latest decision.
    double fractionOfLevel = 0; ///< Of the latest decision.
    double contention = 0; ///< Of the latest decision.
    duration longestWait{};
    duration shortestMaxWait{}; ///< The lowest limit of a refused request; 0 if none was refused for its wait.

    [[nodiscard]] auto refused() const -> std::uint32_t;
    [[nodiscard]] auto count(admission_result result) const -> std::uint32_t;
};

/// Counts the decisions of this router, as a dispatcher or in place of a silent one, by account, so that a log shows
/// for each second which accounts were refused, and why. Not thread safe.
class admission_record
{
public:
    /// Beyond this number of accounts within a second, further ones are not counted.
    static constexpr std::size_t MAX_ACCOUNTS = 1'024;

    auto note(const admission_decision &decision) -> void;

    /// The accounts of which requests were refused, or placed without a dispatcher, since the last call, those with the
    /// most refused requests first, at most \p limit. Starts a new period.
    [[nodiscard]] auto takeRefused(std::size_t limit) -> std::vector<admission_totals>;

private:
    std::unordered_map<std::uint64_t, admission_totals> m_totals; ///< By account.
};

} // namespace marjoramloom
