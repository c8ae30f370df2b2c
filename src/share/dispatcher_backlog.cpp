#include "share/dispatcher_state.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// An account without running work must wait for this many times the time in which its fair share is one request. Its
/// grants out of order then amount to less than its fair share and never widen the fairness gap.
constexpr auto starvationFactor = 3.0;

/// Maximum time after the first digest until the totals of the other side of a partition arrive.
constexpr auto rejoinDelay = duration(std::chrono::seconds(1));

/// An account that returns after idling keeps its debt up to this factor of the fairness bound. With a lower limit, an
/// account could run large requests, pause, and have the debt dropped.
constexpr auto debtFactor = 2.0;

/// Number of pull thresholds that an account keeps of its claim after idling, and of its debt after a partition.
///
/// An account that lags behind has all its requests running from time to time, and would lose its claim each time
/// otherwise. The limit on debt is low because the other accounts could not have used the service that an account got
/// during a partition, and no account can cause a partition.
constexpr auto preservedThresholds = 10.0;

} // namespace

auto dispatcher::state::serviceFloor(time_point now) const -> std::optional<double>
{
    auto lowest = pulls.lowestRemote(now);
    for (const auto &[account, queue] : waiting.accounts()) {
        if (backlog.contains(account)) {
            lowest = std::min(lowest.value_or(service(account)), service(account));
        }
    }
    return lowest ? lowest : lastGrantedVirtualService;
}

auto dispatcher::state::debtLimit(time_point now) const -> double
{
    if (settings.debtLimit > 0) {
        return settings.debtLimit;
    }
    const auto slots = placement.totalSlots(now) * double(1 + pulls.recentPools(now));
    const auto largestCost = std::max(costs.largestCost(), typicalCharge());
    const auto threshold = std::max(settings.pullThreshold, shortAllowance());
    return debtFactor * (threshold + slots * largestCost);
}

auto dispatcher::state::starvationLimit(object_id account, time_point now) const -> duration
{
    auto weights = std::map<object_id, double>();
    for (const auto &[waitingAccount, queue] : waiting.accounts()) {
        weights[waitingAccount] = ledger.weight(waitingAccount);
    }
    for (const auto waitingAccount : pulls.waitingAccounts(now)) {
        weights[waitingAccount] = ledger.weight(waitingAccount);
    }
    auto weightSum = 0.0;
    for (const auto &[waitingAccount, weight] : weights) {
        weightSum += weight;
    }
    const auto fleetRate = std::max(1.0, running.usageRate(now) * double(1 + pulls.recentPools(now)));
    const auto fairSeconds = typicalCharge() * weightSum / (ledger.weight(account) * fleetRate);
    const auto minWait = std::chrono::duration<double>(starvationFactor * fairSeconds);
    return std::max(settings.starvationLimit, std::chrono::duration_cast<duration>(minWait));
}

auto dispatcher::state::markBackloggedAccounts(time_point now) -> void
{
    firstPassAt = firstPassAt.value_or(now);
    if (now - *firstPassAt < settings.warmUp || waiting.size() <= placement.freeSlots(now)) {
        return;
    }
    const auto lowest = serviceFloor(now);
    const auto limit = debtLimit(now);
    for (const auto &[account, queue] : waiting.accounts()) {
        if (backlog.contains(account)) {
            continue;
        }
        if (lowest && !pulls.waitsElsewhere(account, now)) {
            ledger.raiseVirtualService(account, pool.service, *lowest - preservedThresholds * settings.pullThreshold);
            ledger.capVirtualService(account, pool.service, *lowest + limit);
        }
        backlog.markBacklogged(account);
    }
}

auto dispatcher::state::capDebtAfterPartition(time_point now) -> void
{
    if (!rejoinedAt || now - *rejoinedAt < rejoinDelay) {
        return;
    }
    rejoinedAt.reset();
    const auto lowest = serviceFloor(now);
    const auto limit = settings.debtLimit > 0 ? settings.debtLimit : preservedThresholds * settings.pullThreshold;
    for (const auto &[account, queue] : waiting.accounts()) {
        if (lowest) {
            ledger.capVirtualService(account, pool.service, *lowest + limit);
        }
    }
}

auto dispatcher::state::grantStarving(time_point now) -> void
{
    while (starvationCredit >= 1) {
        auto oldest = std::optional<std::pair<time_point, grant_order::queue_id>>();
        for (const auto &[account, queue] : waiting.accounts()) {
            if (running.count(account) > 0) {
                continue;
            }
            for (const auto length : { work_length::shortWork, work_length::longWork }) {
                const auto &accountTickets = queue.tickets(length);
                if (!accountTickets.empty() && (!oldest || accountTickets.begin()->first.first < oldest->first)) {
                    oldest = { accountTickets.begin()->first.first, { account, length } };
                }
            }
        }
        if (!oldest || now - oldest->first < settings.starvationLimit) {
            return;
        }
        const auto account = oldest->second.account;
        if (now - oldest->first < starvationLimit(account, now) || !grantFrom(oldest->second, now)) {
            return;
        }
        updateOrder(account);
        starvationCredit -= 1;
    }
}

} // namespace marjoramloom
