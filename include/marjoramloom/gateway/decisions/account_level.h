#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <unordered_map>

namespace marjoramloom {

/// The amount of work that each account gets while the engines cannot serve all: the mean over the accounts of which
/// requests were refused lately.
///
/// As accounts above the level are refused sooner than those below it, their amounts approach each other, until the
/// fleet serves max-min shares: accounts that ask for less than the level get all, and the others the same. The demand
/// of the accounts and the capacity of the engines need not be known. Not thread safe.
class account_level
{
public:
    /// An account counts for this long after its last refused request.
    static constexpr duration REFUSAL_MEMORY = std::chrono::seconds(2);
    /// The level is computed again this often.
    static constexpr duration UPDATE_PERIOD = std::chrono::milliseconds(50);
    /// Beyond this number of accounts, further ones are not counted.
    static constexpr std::size_t MAX_ACCOUNTS = 1'024;

    /// Recent tokens of an account in the whole fleet.
    using token_source = std::function<std::uint64_t(std::uint64_t account)>;

    auto noteRefused(std::uint64_t account, time_point now) -> void;

    /// Tokens of \p account in relation to the level; nothing was refused lately if that is 0, and also for an account
    /// without recent tokens.
    [[nodiscard]] auto fractionOfLevel(std::uint64_t account, const token_source &tokensOf, time_point now) -> double;

    /// Whether requests were refused within REFUSAL_MEMORY.
    [[nodiscard]] auto isContended(time_point now) const -> bool;

private:
    std::unordered_map<std::uint64_t, time_point> m_lastRefusals; ///< By account.
    time_point m_lastRefusal{};
    time_point m_updatedAt{};
    double m_level = 0;
};

} // namespace marjoramloom
