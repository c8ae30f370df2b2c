#include "marjoramloom/gateway/decisions/admission_policy.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

namespace {

/// The factor of the allowed wait is 1 - waitReductionPerShare * account share, and at least minWaitFactor.
constexpr double waitReductionPerShare = 2.0;
constexpr double minWaitFactor = 0.25;
/// Fraction of the objective that a prompt may wait even if its own prefill takes longer than the objective; otherwise
/// the largest prompts would never be served.
constexpr double minWaitFraction = 0.35;
/// An account is small if its share is below this fraction of an even one.
constexpr double smallAccountFraction = 0.5;
/// The same for prompts of small accounts.
constexpr double minWaitFractionOfSmallAccounts = 1.0;

/// Fraction of the objective that a prompt of an account at the level may wait, whatever its length.
constexpr double levelWaitFraction = 0.35;
/// Exponent of an account's relation to the level, by which that wait falls.
constexpr double levelExponent = 4;

} // namespace

auto admission_policy::maxWait(duration objective, duration prefillTime, double accountShare, double evenShare) const
    -> duration
{
    const auto minFraction = isSmall(accountShare, evenShare) ? minWaitFractionOfSmallAccounts : minWaitFraction;
    const auto waitFactor = std::max(1 - waitReductionPerShare * accountShare, minWaitFactor);
    const auto timeForWaiting =
        std::max<duration>(objective - prefillTime, std::chrono::duration_cast<duration>(objective * minFraction));
    return std::chrono::duration_cast<duration>(timeForWaiting * waitFactor);
}

auto admission_policy::isSmall(double accountShare, double evenShare) -> bool
{
    return accountShare < smallAccountFraction * evenShare;
}

auto admission_policy::blend(duration free, duration contended, double contention) -> duration
{
    return free + std::chrono::duration_cast<duration>((contended - free) * contention);
}

auto admission_policy::maxContendedWait(duration objective, duration prefillTime, double fractionOfLevel) const
    -> duration
{
    const auto longest =
        std::max<duration>(objective - prefillTime, std::chrono::duration_cast<duration>(objective * minWaitFraction));
    const auto limited = toSeconds(objective) * levelWaitFraction / std::pow(fractionOfLevel, levelExponent);
    return limited < toSeconds(longest) ? std::chrono::duration_cast<duration>(std::chrono::duration<double>(limited))
                                        : longest;
}

} // namespace marjoramloom
