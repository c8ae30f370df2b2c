#include "share/dispatcher_state.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

namespace {

constexpr auto shortestRetryAfter = duration(std::chrono::seconds(1));
constexpr auto longestRetryAfter = duration(std::chrono::seconds(30));

/// Tickets of one account that are tried in a pass where servers they exclude are the only free ones.
constexpr auto excludedLookahead = 4;

/// Long tickets of one account among which one is looked for whose prefix the free server probably holds; the oldest
/// is not passed over for longer than the patience.
constexpr auto affinityLookahead = 8;
constexpr auto affinityPatience = duration(std::chrono::seconds(60));

/// A ticket that excludes every server is refused after this long, as the servers may be about to change.
constexpr auto noServerGrace = duration(std::chrono::seconds(2));

/// Accounts that wait too long get at most this part of the grants out of order.
constexpr auto starvationShare = 1.0 / 8;
constexpr auto mostStarvationCredit = 2.0;

/// Short work counts as arriving for this long after its last ticket.
constexpr auto shortArrivalMemory = duration(std::chrono::seconds(10));
constexpr auto reserveSeconds = 0.05; ///< Arrivals of short work in this time find a slot without a suspension.
constexpr auto leastUnreserved = 12U; ///< At most one slot in this many is kept from long work.

/// A wait that the next ends of requests will serve within this time needs no suspension.
constexpr auto toleratedWaitSeconds = 0.25;

constexpr auto chargeWeight = 0.05; ///< Of a new grant in the mean charge.
constexpr auto pullAheadFraction = 32U; ///< An idle pool asks ahead for one ticket per this many slots.
constexpr auto fewestPulls = 4U; ///< Tickets that may be asked for at once by the smallest pool.

} // namespace

dispatcher::state::state(pool_id where, dispatcher_settings with, share_ledger &shared)
    : pool(std::move(where))
    , settings(with)
    , ledger(shared)
    , running(shared)
    , pulls(pool, settings, shared)
{
}

auto dispatcher::state::service(object_id account) const -> double
{
    return ledger.virtualService(account, pool.service);
}

auto dispatcher::state::limitOf(object_id account) const -> std::uint32_t
{
    const auto own = queueLimits.find(account);
    return own == queueLimits.end() ? settings.queueLimit : own->second;
}

auto dispatcher::state::longReserve(time_point now) const -> std::uint32_t
{
    if (!lastShortArrival || now - *lastShortArrival > shortArrivalMemory) {
        return 0;
    }
    if (settings.shortReserve > 0) {
        return settings.shortReserve;
    }
    const auto slots = placement.totalSlots(now);

    const auto arriving = std::ceil(shortArrivals.perSecond(now) * reserveSeconds);
    return std::min(std::uint32_t(arriving), slots / leastUnreserved);
}

auto dispatcher::state::queueSeconds(time_point now) const -> double
{
    const auto rate = ends.perSecond(now);
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

auto dispatcher::state::refuse(const ticket &refused, refusal_reason reason, time_point now) -> void
{
    const auto wait = expectedWait(refused.account, now).value_or(shortestRetryAfter);
    const auto retryAfter = std::clamp(wait, shortestRetryAfter, longestRetryAfter);
    decided.refusals.push_back({ refused.id, refused.account, refused.origin, reason, retryAfter });
}

auto dispatcher::state::takeWaiting(ticket_id id, time_point now) -> std::optional<ticket>
{
    auto taken = waiting.take(id);
    if (taken && waiting.count(taken->account) == 0) {
        backlog.depart(taken->account, now);
    }
    return taken;
}

auto dispatcher::state::refuseOverdue(time_point now) -> void
{
    for (const auto &overdue : waiting.takeOverdue(now)) {
        refuse(overdue, refusal_reason::deadline, now);
        if (waiting.count(overdue.account) == 0) {
            backlog.depart(overdue.account, now);
        }
    }
}

auto dispatcher::state::placeInOrder(object_id account) -> void
{
    const auto queue = waiting.accounts().find(account);
    const auto exists = queue != waiting.accounts().end();
    const auto hasShort = exists && !queue->second.of(work_length::shortWork).empty();
    const auto hasLong = exists && !queue->second.of(work_length::longWork).empty();
    order.place({ service(account), ledger.receivedService(account), account }, hasShort, hasLong);
}

auto dispatcher::state::grantAll(time_point now) -> void
{
    order = {};
    auto free = placement.freeSlots(now);
    if (free == 0 || waiting.size() == 0) {
        return;
    }
    for (const auto &[account, queue] : waiting.accounts()) {
        placeInOrder(account);
    }
    grantStarving(now);
    const auto reserve = longReserve(now);
    free = placement.freeSlots(now);
    while (free > 0) {
        const auto turn = order.next(settings.shortAdvance, free > reserve);
        if (!turn) {
            return;
        }
        if (grantTurn(*turn, now)) {
            placeInOrder(turn->account);
            --free;
        }
    }
}

auto dispatcher::state::grantTurn(const grant_order::turn &turn, time_point now) -> bool
{
    const auto &queue = waiting.accounts().at(turn.account);
    if (turn.length == work_length::longWork) {
        const auto &candidate = withAffinity(queue.of(turn.length), now);
        if (const auto choice = placement.choose(candidate, now)) {
            const auto chosen = takeWaiting(candidate.id, now);
            start(*chosen, *choice, now);
            return true;
        }
    }
    auto tries = excludedLookahead;
    for (const auto &[key, candidate] : queue.of(turn.length)) {
        if (const auto choice = placement.choose(candidate, now, queueSeconds(now))) {
            const auto chosen = takeWaiting(candidate.id, now);
            start(*chosen, *choice, now);
            return true;
        }
        if (candidate.excluded.empty()) {
            order.close(turn.length); // No other ticket without exclusions can be placed either.
            return false;
        }
        if (now - candidate.submitted > noServerGrace && !placement.anyUsable(candidate)) {
            const auto hopeless = takeWaiting(candidate.id, now);
            refuse(*hopeless, refusal_reason::noServer, now);
            break;
        }
        if (--tries == 0) {
            break;
        }
    }
    order.skip(turn);
    return false;
}

auto dispatcher::state::withAffinity(const account_queue::ticket_map &tickets, time_point now) -> const ticket &
{
    const auto &oldest = tickets.begin()->second;
    auto tries = affinityLookahead;
    for (const auto &[key, candidate] : tickets) {
        if (tries-- == 0 || now - oldest.submitted > affinityPatience) {
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
    auto piece = running_piece();
    piece.hint = std::max(1.0, chosen.expectedCost);
    const auto charged = costs.expected(chosen.account, chosen.profile, piece.hint);
    piece.granted = { chosen.id, chosen.account, choice.server, chosen.origin, pool, charged, choice.reason };
    piece.profile = chosen.profile;
    piece.length = chosen.length;
    piece.grantedAt = now;
    piece.suspendable = chosen.suspendable;
    lastGrantService = service(chosen.account);
    meanCharge = meanCharge > 0 ? meanCharge + chargeWeight * (charged - meanCharge) : charged;
    starvationCredit = std::min(mostStarvationCredit, starvationCredit + starvationShare);
    accountGrants[chosen.account].add(now);
    running.start(piece);
    placement.start(choice.server, chosen.length, now);
    decided.grants.push_back(piece.granted);
}

auto dispatcher::state::finish(ticket_id id, double cost, time_point now) -> void
{
    if (running.progress(id, cost, now) == nullptr) {
        return;
    }
    const auto piece = running.finish(id);
    placement.finish(piece.granted.server, piece.length, now);
    ends.add(now);
    const auto whole = cost > 0 && piece.hint > 0 && !piece.suspendedAt;
    if (whole) {
        costs.observe(piece.granted.account, piece.profile, piece.hint, cost);
    }
}

auto dispatcher::state::suspendLong(time_point now) -> void
{
    const auto waitingShort = double(waiting.count(work_length::shortWork));
    if (!settings.suspendLongWork || waitingShort == 0) {
        return;
    }
    const auto soonFree = ends.perSecond(now) * toleratedWaitSeconds;
    auto due = std::optional<due_account>();
    for (const auto &[account, queue] : waiting.accounts()) {
        const auto candidate = due_account{ service(account), ledger.receivedService(account), account };
        if (!queue.of(work_length::shortWork).empty() && (!due || candidate < *due)) {
            due = candidate;
        }
    }
    if (waitingShort <= soonFree) {
        return;
    }
    auto wanted = suspension_policy::demand();
    wanted.slots = std::size_t(std::ceil(waitingShort - soonFree));
    wanted.shortAccount = due->account;
    wanted.shortService = due->virtualService;
    wanted.allowance = settings.shortAdvance;
    const auto chosen = suspensions.choose(
        running, wanted, [this](object_id account) { return service(account); }, usableForShort(now), now);
    decided.suspensions.insert(decided.suspensions.end(), chosen.begin(), chosen.end());
}

auto dispatcher::state::usableForShort(time_point now) -> std::function<bool(object_id)>
{
    return [this, now](object_id server) {
        return placement.mayServeShort(server, now);
    };
}

auto dispatcher::state::pull(time_point now) -> void
{
    const auto slots = placement.totalSlots(now);
    if (slots == 0) {
        return;
    }
    auto lowest = std::optional<double>();
    for (const auto &[account, queue] : waiting.accounts()) {
        lowest = std::min(lowest.value_or(service(account)), service(account));
    }
    const auto room = placement.freeSlots(now) + std::max(1U, slots / pullAheadFraction);
    const auto queued = std::uint32_t(waiting.size());
    const auto idle = queued < room;
    const auto asked = idle ? pulls.chooseIdle(room - queued, slots, now)
                            : pulls.chooseBehind(*lowest, std::max(fewestPulls, slots / 2), typicalCharge(), now);
    decided.pulls.insert(decided.pulls.end(), asked.begin(), asked.end());
    if (!idle && settings.suspendLongWork && waiting.count(work_length::shortWork) == 0) {
        const auto lent = std::uint32_t(suspensions.candidates(running, usableForShort(now), now));
        const auto wanted = std::min(lent, std::max(fewestPulls, slots / 4));
        const auto shortAsked = pulls.chooseShort(wanted, slots, now);
        decided.pulls.insert(decided.pulls.end(), shortAsked.begin(), shortAsked.end());
    }
}

auto dispatcher::state::release(object_id account, std::uint32_t tickets, bool shortOnly, time_point now)
    -> std::vector<ticket>
{
    auto given = std::vector<ticket>();
    const auto queue = waiting.accounts().find(account);
    if (queue == waiting.accounts().end()) {
        return given;
    }
    // A ticket that was pulled here stays, or two idle pools would pass it to and fro; unless this pool has no server.
    const auto closed = placement.totalSlots(now) == 0;
    auto ids = std::vector<ticket_id>();
    for (const auto length : { work_length::shortWork, work_length::longWork }) {
        if (shortOnly && length == work_length::longWork) {
            break;
        }
        for (const auto &[key, candidate] : queue->second.of(length)) {
            if (ids.size() == tickets) {
                break;
            }
            if (closed || candidate.origin == pool) {
                ids.push_back(candidate.id);
            }
        }
    }
    for (const auto id : ids) {
        given.push_back(*takeWaiting(id, now));
        released.add(id, now);
    }
    return given;
}

auto dispatcher::state::releaseDue(std::uint32_t tickets, bool shortOnly, time_point now) -> std::vector<ticket>
{
    auto due = std::set<std::pair<double, object_id>>();
    for (const auto &[account, queue] : waiting.accounts()) {
        due.emplace(service(account), account);
    }
    auto given = std::vector<ticket>();
    for (const auto &[virtualService, account] : due) {
        const auto wanted = tickets - std::uint32_t(given.size());
        if (wanted == 0) {
            break;
        }
        auto part = release(account, wanted, shortOnly, now);
        given.insert(given.end(), part.begin(), part.end());
    }
    return given;
}

} // namespace marjoramloom
