#include "support/fair_rule_checker.h"

#include <algorithm>
#include <cassert>
#include <optional>

namespace marjoramloom::testing {

fair_rule_checker::fair_rule_checker(std::size_t accounts)
    : m_periods(accounts)
{
}

auto fair_rule_checker::at(std::size_t account, duration time) -> period &
{
    assert(account < m_periods.size() && time >= duration::zero());
    auto &periods = m_periods[account];
    const auto index = static_cast<std::size_t>(time / PERIOD);
    if (periods.size() <= index) {
        periods.resize(index + 1);
    }
    return periods[index];
}

auto fair_rule_checker::noteAsked(std::size_t account, std::uint64_t tokens, duration time) -> void
{
    at(account, time).asked += tokens;
    m_largest = std::max(m_largest, tokens);
}

auto fair_rule_checker::noteBegan(std::size_t account, std::uint64_t tokens, duration time) -> void
{
    at(account, time).began += tokens;
}

auto fair_rule_checker::noteMissed(std::size_t account, duration time) -> void
{
    at(account, time).hasMissed = true;
}

auto fair_rule_checker::second(std::size_t account, std::size_t firstPeriod) const -> period
{
    const auto &periods = m_periods[account];
    auto sum = period();
    for (auto index = firstPeriod; index < std::min(firstPeriod + PERIODS_PER_SECOND, periods.size()); ++index) {
        sum.asked += periods[index].asked;
        sum.began += periods[index].began;
        sum.hasMissed = sum.hasMissed || periods[index].hasMissed;
    }
    return sum;
}

auto fair_rule_checker::breaches(duration from, duration until) const -> std::vector<breach>
{
    auto worst = std::vector<std::optional<breach>>(m_periods.size());
    const auto last = static_cast<std::size_t>(until / PERIOD);
    const auto length = WINDOW * PERIODS_PER_SECOND;
    for (auto start = static_cast<std::size_t>(from / PERIOD); start + length <= last; ++start) {
        auto sums = std::vector<breach>(m_periods.size());
        auto missed = std::vector<std::size_t>(m_periods.size());
        for (auto first = start; first < start + length; first += PERIODS_PER_SECOND) {
            auto most = std::uint64_t(0);
            for (auto account = std::size_t(0); account < m_periods.size(); ++account) {
                most = std::max(most, second(account, first).began);
            }
            for (auto account = std::size_t(0); account < m_periods.size(); ++account) {
                const auto own = second(account, first);
                sums[account].owedTokens += std::min(own.asked, most);
                sums[account].gotTokens += own.began;
                missed[account] += own.hasMissed ? 1 : 0;
            }
        }
        for (auto account = std::size_t(0); account < m_periods.size(); ++account) {
            auto &sum = sums[account];
            sum.account = account;
            sum.from = start * PERIOD;
            const auto isBelow = 2 * sum.gotTokens + EXEMPT_REQUESTS * m_largest < sum.owedTokens;
            auto &known = worst[account];
            if (missed[account] == WINDOW && isBelow
                && (!known || sum.gotTokens * known->owedTokens < known->gotTokens * sum.owedTokens)) {
                known = sum;
            }
        }
    }
    auto result = std::vector<breach>();
    for (const auto &one : worst) {
        if (one) {
            result.push_back(*one);
        }
    }
    return result;
}

auto fair_rule_checker::asked(std::size_t account, duration from, duration until) const -> std::uint64_t
{
    const auto &periods = m_periods.at(account);
    auto sum = std::uint64_t(0);
    for (auto index = static_cast<std::size_t>(from / PERIOD);
         index < std::min(static_cast<std::size_t>(until / PERIOD), periods.size()); ++index) {
        sum += periods[index].asked;
    }
    return sum;
}

auto fair_rule_checker::got(std::size_t account, duration from, duration until) const -> std::uint64_t
{
    const auto &periods = m_periods.at(account);
    auto sum = std::uint64_t(0);
    for (auto index = static_cast<std::size_t>(from / PERIOD);
         index < std::min(static_cast<std::size_t>(until / PERIOD), periods.size()); ++index) {
        sum += periods[index].began;
    }
    return sum;
}

auto describe(const std::vector<fair_rule_checker::breach> &breaches) -> std::string
{
    auto text = std::string();
    for (const auto &one : breaches) {
        text += "account " + std::to_string(one.account) + " got " + std::to_string(one.gotTokens) + " of "
            + std::to_string(one.owedTokens) + " tokens from " + std::to_string(toSeconds(one.from)) + " s; ";
    }
    return text;
}

} // namespace marjoramloom::testing
