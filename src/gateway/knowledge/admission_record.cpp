#include "marjoramloom/gateway/knowledge/admission_record.h"

#include <algorithm>

namespace marjoramloom {

auto admission_totals::refused() const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto amount : requests) {
        sum += amount;
    }
    return sum - count(admission_result::placed);
}

auto admission_totals::count(admission_result result) const -> std::uint32_t
{
    return requests.at(static_cast<std::size_t>(result));
}

auto admission_record::note(const admission_decision &decision) -> void
{
    if (m_totals.size() >= MAX_ACCOUNTS && !m_totals.contains(decision.account)) {
        return;
    }
    auto &totals = m_totals[decision.account];
    totals.account = decision.account;
    ++totals.requests.at(static_cast<std::size_t>(decision.result));
    totals.askedTokens += decision.tokens;
    totals.placedTokens += decision.result == admission_result::placed ? decision.tokens : 0;
    totals.placedAloneTokens += decision.alone && decision.result == admission_result::placed ? decision.tokens : 0;
    totals.accountShare = decision.accountShare;
    totals.fractionOfLevel = decision.fractionOfLevel;
    totals.contention = decision.contention;
    totals.longestWait = std::max(totals.longestWait, decision.wait);
    if (decision.result == admission_result::expectedLate) {
        const auto isFirst = totals.count(admission_result::expectedLate) == 1;
        totals.shortestMaxWait = isFirst ? decision.maxWait : std::min(totals.shortestMaxWait, decision.maxWait);
    }
}

auto admission_record::takeRefused(std::size_t limit) -> std::vector<admission_totals>
{
    auto refused = std::vector<admission_totals>();
    for (const auto &[account, totals] : m_totals) {
        if (totals.refused() > 0 || totals.placedAloneTokens > 0) {
            refused.push_back(totals);
        }
    }
    m_totals.clear();
    std::sort(refused.begin(), refused.end(), [](const auto &left, const auto &right) {
        return left.refused() != right.refused() ? left.refused() > right.refused() : left.account < right.account;
    });
    refused.resize(std::min(refused.size(), limit));
    return refused;
}

} // namespace marjoramloom
