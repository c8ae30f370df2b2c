#include "share/dispatcher_state.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

namespace {

constexpr auto shortestRetryAfter = duration(std::chrono::seconds(1));
constexpr auto longestRetryAfter = duration(std::chrono::seconds(30));

/// Number of tickets of one queue that are tried in a pass if the free servers are excluded by its first tickets.
constexpr auto excludedLookahead = 4;

/// Number of long tickets of one account that are searched for one whose prefix the free server probably has cached.
constexpr auto affinityLookahead = 8;

/// Wait of the oldest long ticket after which no later ticket is preferred to it for prefix affinity.
constexpr auto maxAffinityDelay = duration(std::chrono::seconds(60));

/// A ticket that excludes every server is refused after this time; until then the set of servers may change.
constexpr auto noServerGrace = duration(std::chrono::seconds(2));

/// At most this fraction of the grants is made out of order, for starving accounts.
constexpr auto starvationShare = 1.0 / 8;
constexpr auto maxStarvationCredit = 2.0;

/// The reserve for short work is kept for this time after its last ticket.
constexpr auto shortArrivalWindow = duration(std::chrono::seconds(10));

/// The reserve holds the short work that arrives in this time, which then gets a slot without a suspension.
constexpr auto reserveSeconds = 0.05;
constexpr auto minSlotsPerReserved = 12U; ///< At most one slot in this many is reserved.

/// Waiting short work that is expected to be served by completions within this time causes no suspension.
constexpr auto toleratedWaitSeconds = 0.25;

/// Short work may lead long work by the cost of this many long requests. With a smaller allowance, a single grant of
/// long work uses it up.
constexpr auto allowedLongRequests = 4.0;
constexpr auto chargeWeight = 0.05; ///< Weight of a new grant in the mean charge.
constexpr auto prefetchDivisor = 32U; ///< A pool requests one ticket per this many slots beyond its free slots.
constexpr auto minRequestedTickets = 4U; ///< Lower limit of the maximum of requested tickets, for small pools.

} // namespace

dispatcher::state::state(pool_id ownPool, dispatcher_settings chosenSettings, share_ledger &sharedLedger)
    : pool(std::move(ownPool))
    , settings(chosenSettings)
    , ledger(sharedLedger)
    , running(sharedLedger)
    , pulls(pool, settings, sharedLedger)
{
}

auto dispatcher::state::service(object_id account) const -> double
{
    return ledger.virtualService(account, pool.service);
}

auto dispatcher::state::queueLimitOf(object_id account) const -> std::uint32_t
{
    const auto accountLimit = queueLimits.find(account);
    return accountLimit == queueLimits.end() ? settings.queueLimit : accountLimit->second;
}

auto dispatcher::state::reservedSlots(time_point now) const -> std::uint32_t
{
    if (!lastShortArrival || now - *lastShortArrival > shortArrivalWindow) {
        return 0;
    }
    if (settings.shortReserve > 0) {
        return settings.shortReserve;
    }
    const auto slots = placement.totalSlots(now);
    const auto arriving = std::ceil(shortArrivals.perSecond(now) * reserveSeconds);
    return std::min(std::uint32_t(arriving), slots / minSlotsPerReserved);
}

auto dispatcher::state::queueSeconds(time_point now) const -> double
{
    const auto rate = completions.perSecond(now);
    return rate > 0 ? double(waiting.count(work_length::shortWork)) / rate : 0;
}

auto dispatcher::state::expectedWait(object_id account, time_point now) const -> std::optional<duration>
{
    const auto grants = accountGrants.find(account);
    if (grants == accountGrants.end() || !backlog.contains(account)) {
        return std::nullopt;
    }
    const auto rate = grants->second.perSecond(now);
    if (rate <= 0) {
        return std::nullopt;
    }
    const auto seconds = double(waiting.count(account)) / rate;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::min(seconds, 3600.0)));
}

auto dispatcher::state::typicalCharge() const -> double
{
    return std::max(1.0, meanCharge);
}

auto dispatcher::state::shortAllowance() const -> double
{
    return std::max(settings.shortWorkLead, allowedLongRequests * meanLongCharge);
}

auto dispatcher::state::refuse(const ticket &refused, refusal_reason reason, time_point now) -> void
{
    const auto wait = expectedWait(refused.account, now).value_or(shortestRetryAfter);
    const auto retryAfter = std::clamp(wait, shortestRetryAfter, longestRetryAfter);
    decisions.refusals.push_back({ refused.id, refused.account, refused.origin, reason, retryAfter });
}

auto dispatcher::state::takeWaiting(ticket_id id, time_point now) -> std::optional<ticket>
{
    auto taken = waiting.take(id);
    if (taken && waiting.count(taken->account) == 0) {
        backlog.onQueueEmpty(taken->account, now);
    }
    return taken;
}

auto dispatcher::state::refuseExpired(time_point now) -> void
{
    for (const auto &expired : waiting.takeExpired(now)) {
        refuse(expired, refusal_reason::deadline, now);
        if (waiting.count(expired.account) == 0) {
            backlog.onQueueEmpty(expired.account, now);
        }
    }
}

auto dispatcher::state::updateOrder(object_id account) -> void
{
    const auto queue = waiting.accounts().find(account);
    const auto hasQueue = queue != waiting.accounts().end();
    const auto hasShort = hasQueue && !queue->second.tickets(work_length::shortWork).empty();
    const auto hasLong = hasQueue && !queue->second.tickets(work_length::longWork).empty();
    order.setPosition({ service(account), ledger.receivedService(account), account }, hasShort, hasLong);
}

auto dispatcher::state::grantFreeSlots(time_point now) -> void
{
    order = {};
    auto freeSlots = placement.freeSlots(now);
    if (freeSlots == 0 || waiting.size() == 0) {
        return;
    }
    for (const auto &[account, queue] : waiting.accounts()) {
        updateOrder(account);
    }
    grantStarving(now);
    const auto reserve = reservedSlots(now);
    freeSlots = placement.freeSlots(now);
    while (freeSlots > 0) {
        const auto selected = order.next(shortAllowance(), freeSlots > reserve);
        if (!selected) {
            return;
        }
        if (grantFrom(*selected, now)) {
            updateOrder(selected->account);
            --freeSlots;
        }
    }
}

auto dispatcher::state::grantFrom(const grant_order::queue_id &selected, time_point now) -> bool
{
    const auto &queue = waiting.accounts().at(selected.account);
    if (selected.length == work_length::longWork) {
        const auto &candidate = chooseLongTicket(queue.tickets(selected.length), now);
        if (const auto choice = placement.choose(candidate, now)) {
            const auto chosen = takeWaiting(candidate.id, now);
            start(*chosen, *choice, now);
            return true;
        }
    }
    auto tries = excludedLookahead;
    for (const auto &[key, candidate] : queue.tickets(selected.length)) {
        if (const auto choice = placement.choose(candidate, now, queueSeconds(now))) {
            const auto chosen = takeWaiting(candidate.id, now);
            start(*chosen, *choice, now);
            return true;
        }
        if (candidate.excluded.empty()) {
            order.skipAll(selected.length); // No other ticket without exclusions can be placed either.
            return false;
        }
        if (now - candidate.submitted > noServerGrace && !placement.hasUsableServer(candidate)) {
            const auto unplaceable = takeWaiting(candidate.id, now);
            refuse(*unplaceable, refusal_reason::noServer, now);
            break;
        }
        if (--tries == 0) {
            break;
        }
    }
    order.skip(selected);
    return false;
}

auto dispatcher::state::chooseLongTicket(const account_queue::ticket_map &tickets, time_point now) -> const ticket &
{
    const auto &oldest = tickets.begin()->second;
    auto tries = affinityLookahead;
    for (const auto &[key, candidate] : tickets) {
        if (tries-- == 0 || now - oldest.submitted > maxAffinityDelay) {
            break;
        }
        const auto choice = placement.choose(candidate, now);
        if (choice && choice->preferred) {
            return candidate;
        }
    }
    return oldest;
}

auto dispatcher::state::start(const ticket &chosen, const placement_choice &choice, time_point now) -> void
{
    auto request = charged_request();
    const auto hint = std::max(1.0, chosen.expectedCost);
    const auto resumed = chosen.suspensions > 0;
    // By its first estimate, a resumed long request has little work left, but as costs have heavy tails it is likely to
    // use as much again as any other. It is charged at least the typical cost, and no cost is learnt from it.
    const auto charged = resumed ? std::max(hint, costs.typical(chosen.account, chosen.profile, hint))
                                 : costs.expected(chosen.account, chosen.profile, hint);
    request.hint = resumed ? 0 : hint;
    request.granted = { chosen.id, chosen.account, choice.server, chosen.origin, pool, charged, choice.reason };
    request.profile = chosen.profile;
    request.length = chosen.length;
    request.grantedAt = now;
    request.suspendable = chosen.suspendable;
    lastGrantedVirtualService = service(chosen.account);
    meanCharge = meanCharge > 0 ? meanCharge + chargeWeight * (charged - meanCharge) : charged;
    if (chosen.length == work_length::longWork) {
        meanLongCharge += meanLongCharge > 0 ? chargeWeight * (charged - meanLongCharge) : charged;
    }
    starvationCredit = std::min(maxStarvationCredit, starvationCredit + starvationShare);
    accountGrants[chosen.account].add(now);
    running.start(request);
    placement.start(choice.server, chosen.length, now);
    decisions.grants.push_back(request.granted);
}

auto dispatcher::state::finish(ticket_id id, double cost, time_point now) -> void
{
    if (running.progress(id, cost, now) == nullptr) {
        return;
    }
    const auto request = running.finish(id);
    placement.finish(request.granted.server, request.length, now);
    completions.add(now);
    const auto isComplete = cost > 0 && request.hint > 0 && !request.suspendedAt;
    if (isComplete) {
        costs.observe(request.granted.account, request.profile, request.hint, cost);
    }
}

auto dispatcher::state::suspendForShortWork(time_point now) -> void
{
    const auto waitingShort = double(waiting.count(work_length::shortWork));
    if (!settings.suspendLongWork || waitingShort == 0) {
        return;
    }
    const auto soonFree = completions.perSecond(now) * toleratedWaitSeconds;
    auto lowest = std::optional<account_position>();
    for (const auto &[account, queue] : waiting.accounts()) {
        const auto candidate = account_position{ service(account), ledger.receivedService(account), account };
        if (!queue.tickets(work_length::shortWork).empty() && (!lowest || candidate < *lowest)) {
            lowest = candidate;
        }
    }
    if (waitingShort <= soonFree) {
        return;
    }
    auto demand = suspension_policy::demand();
    demand.slots = std::size_t(std::ceil(waitingShort - soonFree));
    demand.shortAccount = lowest->account;
    demand.shortService = lowest->virtualService;
    demand.allowance = shortAllowance();
    const auto chosen = suspensions.choose(
        running, demand, [this](object_id account) { return service(account); }, usableForShort(now), now);
    decisions.suspensions.insert(decisions.suspensions.end(), chosen.begin(), chosen.end());
}

auto dispatcher::state::usableForShort(time_point now) -> std::function<bool(object_id)>
{
    return [this, now](object_id server) {
        return placement.acceptsShortWork(server, now);
    };
}

auto dispatcher::state::requestTickets(time_point now) -> void
{
    const auto slots = placement.totalSlots(now);
    if (slots == 0) {
        return;
    }
    auto lowest = std::optional<double>();
    for (const auto &[account, queue] : waiting.accounts()) {
        lowest = std::min(lowest.value_or(service(account)), service(account));
    }
    const auto targetQueue = placement.freeSlots(now) + std::max(1U, slots / prefetchDivisor);
    const auto queued = std::uint32_t(waiting.size());
    const auto hasIdleSlots = queued < targetQueue;
    const auto requests = hasIdleSlots
        ? pulls.chooseForIdleSlots(targetQueue - queued, slots, now)
        : pulls.chooseForLaggingAccounts(*lowest, std::max(minRequestedTickets, slots / 2), typicalCharge(), now);
    decisions.pulls.insert(decisions.pulls.end(), requests.begin(), requests.end());
    if (!hasIdleSlots && settings.suspendLongWork && waiting.count(work_length::shortWork) == 0) {
        const auto suspendable = std::uint32_t(suspensions.candidates(running, usableForShort(now), now));
        const auto wanted = std::min(suspendable, std::max(minRequestedTickets, slots / 4));
        const auto shortRequests = pulls.chooseShortWork(wanted, slots, now);
        decisions.pulls.insert(decisions.pulls.end(), shortRequests.begin(), shortRequests.end());
    }
}

auto dispatcher::state::release(object_id account, std::uint32_t tickets, bool shortOnly, time_point now)
    -> std::vector<ticket>
{
    auto releasedTickets = std::vector<ticket>();
    const auto queue = waiting.accounts().find(account);
    if (queue == waiting.accounts().end()) {
        return releasedTickets;
    }
    // A ticket that was pulled here is not released, as two idle pools could transfer it back and forth without end. If
    // this pool has no server, it is released nevertheless.
    const auto hasNoServer = placement.totalSlots(now) == 0;
    auto ids = std::vector<ticket_id>();
    for (const auto length : { work_length::shortWork, work_length::longWork }) {
        if (shortOnly && length == work_length::longWork) {
            break;
        }
        for (const auto &[key, candidate] : queue->second.tickets(length)) {
            if (ids.size() == tickets) {
                break;
            }
            if (hasNoServer || candidate.origin == pool) {
                ids.push_back(candidate.id);
            }
        }
    }
    for (const auto id : ids) {
        releasedTickets.push_back(*takeWaiting(id, now));
        released.add(id, now);
    }
    return releasedTickets;
}

auto dispatcher::state::releaseFromLowest(std::uint32_t tickets, bool shortOnly, time_point now) -> std::vector<ticket>
{
    auto byService = std::set<std::pair<double, object_id>>();
    for (const auto &[account, queue] : waiting.accounts()) {
        byService.emplace(service(account), account);
    }
    auto releasedTickets = std::vector<ticket>();
    for (const auto &[virtualService, account] : byService) {
        const auto wanted = tickets - std::uint32_t(releasedTickets.size());
        if (wanted == 0) {
            break;
        }
        auto part = release(account, wanted, shortOnly, now);
        releasedTickets.insert(releasedTickets.end(), part.begin(), part.end());
    }
    return releasedTickets;
}

} // namespace marjoramloom
