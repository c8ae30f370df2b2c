#include "share/dispatcher_state.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// An account without running work waits for this many times the time in which its fair share is one request, so that
/// grants out of order come to less than its share and never widen a gap.
constexpr auto starvationFactor = 3.0;

/// Totals of the other side of a partition arrive within this time after its first digest.
constexpr auto rejoinDelay = duration(std::chrono::seconds(1));

/// An account that idled and comes back keeps debt up to this factor of the fairness bound: less would let it run large
/// requests, pause, and be forgiven.
constexpr auto debtFactor = 2.0;

/// Thresholds of the pull rule that an account keeps. Of its claim when it comes back after idling: one that is behind
/// has all its requests running now and then, and would lose what it is owed each time. Of its debt after a partition:
/// the others could not have used what it got then, and no account can bring a partition about.
constexpr auto keptThresholds = 10.0;

} // namespace

auto dispatcher::state::floor(time_point now) const -> std::optional<double>
{
    auto lowest = pulls.lowestRemote(now);
    for (const auto &[account, queue] : waiting.accounts()) {
        if (backlog.contains(account)) {
            lowest = std::min(lowest.value_or(service(account)), service(account));
        }
    }
    return lowest ? lowest : lastGrantService;
}

auto dispatcher::state::debtLimit(time_point now) const -> double
{
    if (settings.debtLimit > 0) {
        return settings.debtLimit;
    }
    const auto slots = placement.totalSlots(now) * double(1 + pulls.pools(now));
    const auto largest = std::max(costs.largestCost(), typicalCharge());
    const auto threshold = std::max(settings.pullThreshold, settings.shortAdvance);
    return debtFactor * (threshold + slots * largest);
}

auto dispatcher::state::starvationLimit(object_id account, time_point now) const -> duration
{
    auto weights = std::map<object_id, double>();
    for (const auto &[other, queue] : waiting.accounts()) {
        weights[other] = ledger.weight(other);
    }
    for (const auto other : pulls.waitingAccounts(now)) {
        weights[other] = ledger.weight(other);
    }
    auto sum = 0.0;
    for (const auto &[other, weight] : weights) {
        sum += weight;
    }
    const auto fleetRate = std::max(1.0, running.useRate(now) * double(1 + pulls.pools(now)));
    const auto fairSeconds = typicalCharge() * sum / (ledger.weight(account) * fleetRate);
    const auto scaled = std::chrono::duration<double>(starvationFactor * fairSeconds);
    return std::max(settings.starvationLimit, std::chrono::duration_cast<duration>(scaled));
}

auto dispatcher::state::enterBacklogs(time_point now) -> void
{
    started = started.value_or(now);
    if (now - *started < settings.warmUp || waiting.size() <= placement.freeSlots(now)) {
        return;
    }
    const auto lowest = floor(now);
    const auto limit = debtLimit(now);
    for (const auto &[account, queue] : waiting.accounts()) {
        if (backlog.contains(account)) {
            continue;
        }
        if (lowest && !pulls.waitsElsewhere(account, now)) {
            ledger.lift(account, pool.service, *lowest - keptThresholds * settings.pullThreshold);
            ledger.relieve(account, pool.service, *lowest + limit);
        }
        backlog.enter(account);
    }
}

auto dispatcher::state::forgiveAfterPartition(time_point now) -> void
{
    if (!rejoined || now - *rejoined < rejoinDelay) {
        return;
    }
    rejoined.reset();
    const auto lowest = floor(now);
    const auto limit = settings.debtLimit > 0 ? settings.debtLimit : keptThresholds * settings.pullThreshold;
    for (const auto &[account, queue] : waiting.accounts()) {
        if (lowest) {
            ledger.relieve(account, pool.service, *lowest + limit);
        }
    }
}

auto dispatcher::state::grantStarving(time_point now) -> void
{
    while (starvationCredit >= 1) {
        auto oldest = std::optional<std::pair<time_point, grant_order::turn>>();
        for (const auto &[account, queue] : waiting.accounts()) {
            if (running.count(account) > 0) {
                continue;
            }
            for (const auto length : { work_length::shortWork, work_length::longWork }) {
                const auto &tickets = queue.of(length);
                if (!tickets.empty() && (!oldest || tickets.begin()->first.first < oldest->first)) {
                    oldest = { tickets.begin()->first.first, { account, length } };
                }
            }
        }
        if (!oldest || now - oldest->first < settings.starvationLimit) {
            return;
        }
        const auto account = oldest->second.account;
        if (now - oldest->first < starvationLimit(account, now) || !grantTurn(oldest->second, now)) {
            return;
        }
        placeInOrder(account);
        starvationCredit -= 1;
    }
}

} // namespace marjoramloom
