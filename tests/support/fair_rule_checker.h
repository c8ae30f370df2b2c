#pragma once

#include "marjoramloom/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom::testing {

/// Checks the users' rule FAIR against what the callers asked for and what the engines began.
///
/// An account breaks it if in each of six successive seconds one of its requests is refused or waits too long, and it
/// gets less than half of what it asked for or of what the account that got most did, whichever is less, second by
/// second, less three of the largest requests. The six seconds may begin at any tenth of a second. Not thread safe.
class fair_rule_checker
{
public:
    /// Seconds of a window.
    static constexpr std::size_t WINDOW = 6;
    /// Windows begin at multiples of this time.
    static constexpr duration PERIOD = std::chrono::milliseconds(100);
    static constexpr std::size_t PERIODS_PER_SECOND = std::chrono::seconds(1) / PERIOD;
    /// Number of the largest requests by which an account may miss its half.
    static constexpr std::uint64_t EXEMPT_REQUESTS = 3;

    /// A window in which an account got too little.
    struct breach
    {
        std::size_t account = 0;
        duration from{}; ///< Begin of the window.
        std::uint64_t owedTokens = 0; ///< The smaller of what it asked for and of what the best served account got.
        std::uint64_t gotTokens = 0;
    };

    explicit fair_rule_checker(std::size_t accounts);

    /// Records an attempt of \p account. Precondition of all: \p account is one of the accounts, \p time not negative.
    auto noteAsked(std::size_t account, std::uint64_t tokens, duration time) -> void;

    /// Records that an engine begins with a request.
    auto noteBegan(std::size_t account, std::uint64_t tokens, duration time) -> void;

    /// Records that a request is refused, lost, or waits past its latency objective.
    auto noteMissed(std::size_t account, duration time) -> void;

    /// For each account that breaks the rule, the window with the smallest fraction of what it is owed. Windows lie in
    /// [\p from, \p until].
    [[nodiscard]] auto breaches(duration from, duration until) const -> std::vector<breach>;

    /// Tokens that \p account asked for in [\p from, \p until].
    [[nodiscard]] auto asked(std::size_t account, duration from, duration until) const -> std::uint64_t;

    /// Tokens that engines began for \p account in that time.
    [[nodiscard]] auto got(std::size_t account, duration from, duration until) const -> std::uint64_t;

private:
    struct period
    {
        std::uint64_t asked = 0;
        std::uint64_t began = 0;
        bool hasMissed = false;
    };

    auto at(std::size_t account, duration time) -> period &;
    [[nodiscard]] auto second(std::size_t account, std::size_t firstPeriod) const -> period;

    std::vector<std::vector<period>> m_periods; ///< By account.
    std::uint64_t m_largest = 0; ///< Tokens of the largest request.
};

/// The breaches as text for a test's message.
auto describe(const std::vector<fair_rule_checker::breach> &breaches) -> std::string;

} // namespace marjoramloom::testing
