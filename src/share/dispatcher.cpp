#include "marjoramloom/share/dispatcher.h"

#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"
#include "share/running_work.h"
#include "share/waiting_tickets.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>

namespace marjoramloom {

namespace {

/// A ticket that is sent again this long after its grant means that the grant was lost.
constexpr auto regrantDelay = duration(std::chrono::seconds(1));

/// What a refused caller is told where nothing better is known.
constexpr auto defaultRetryAfter = duration(std::chrono::seconds(1));

/// Tickets of one account that are tried in a pass where servers they exclude are the only free ones.
constexpr auto excludedLookahead = 4;

/// An account whose queue was empty for less than this is taken as backlogged all the time.
constexpr auto backlogGrace = duration(std::chrono::seconds(1));

/// Place of an account in the order of grants: among equals, the one that received less goes first.
struct due_account
{
    double virtualService = 0;
    double received = 0;
    object_id account;

    auto operator<=>(const due_account &) const = default;
};

} // namespace

struct dispatcher::state
{
    pool_id pool;
    dispatcher_settings settings;
    share_ledger &ledger;
    server_placement placement;
    waiting_tickets waiting;
    running_work running;
    std::map<object_id, std::uint32_t> queueLimits;
    dispatch_decisions pending; ///< Decided between passes.
    std::optional<double> lastGrantService; ///< Virtual service of the account that was granted last.
    std::optional<time_point> started; ///< First call; lifts wait until the routers' totals had time to arrive.
    std::map<object_id, time_point> leftBacklog; ///< When an account's last waiting ticket left.
    std::uint64_t digestSerial = 0;

    state(pool_id where, dispatcher_settings with, share_ledger &shared)
        : pool(std::move(where))
        , settings(with)
        , ledger(shared)
        , running(shared)
    {
    }

    auto service(object_id account) const -> double;
    auto dueKey(object_id account) const -> due_account;
    auto floorFor(object_id account) const -> std::optional<double>;
    auto warm(time_point now) -> bool;
    auto enterBacklog(object_id account, time_point now) -> void;
    auto noteDeparture(object_id account, time_point now) -> void;
    auto limitOf(object_id account) const -> std::uint32_t;
    auto refuse(const ticket &waiting, refusal_reason reason) -> void;
    auto refuseOverdue(time_point now) -> void;
    auto grantAll(time_point now) -> void;
    auto grantOne(const account_queue &queue, time_point now) -> bool;
    auto start(const ticket &chosen, const placement_choice &choice, time_point now) -> void;
};

auto dispatcher::state::service(object_id account) const -> double
{
    return ledger.virtualService(account, pool.service);
}

auto dispatcher::state::dueKey(object_id account) const -> due_account
{
    return { service(account), ledger.receivedService(account), account };
}

auto dispatcher::state::floorFor(object_id account) const -> std::optional<double>
{
    auto lowest = std::numeric_limits<double>::infinity();
    for (const auto &[other, queue] : waiting.accounts()) {
        if (other != account) {
            lowest = std::min(lowest, service(other));
        }
    }
    return std::isinf(lowest) ? lastGrantService : lowest;
}

auto dispatcher::state::warm(time_point now) -> bool
{
    started = started.value_or(now);
    return now - *started >= settings.warmUp;
}

auto dispatcher::state::enterBacklog(object_id account, time_point now) -> void
{
    const auto left = leftBacklog.find(account);
    const auto wasBacklogged = left != leftBacklog.end() && now - left->second < backlogGrace;
    if (wasBacklogged || !warm(now)) {
        return;
    }
    if (const auto floor = floorFor(account)) {
        ledger.lift(account, pool.service, *floor);
        ledger.relieve(account, pool.service, *floor + settings.debtLimit);
    }
}

auto dispatcher::state::noteDeparture(object_id account, time_point now) -> void
{
    if (waiting.count(account) == 0) {
        leftBacklog[account] = now;
    }
}

auto dispatcher::state::limitOf(object_id account) const -> std::uint32_t
{
    const auto own = queueLimits.find(account);
    return own == queueLimits.end() ? settings.queueLimit : own->second;
}

auto dispatcher::state::refuse(const ticket &refused, refusal_reason reason) -> void
{
    pending.refusals.push_back({ refused.id, refused.account, refused.origin, reason, defaultRetryAfter });
}

auto dispatcher::state::refuseOverdue(time_point now) -> void
{
    for (const auto &overdue : waiting.takeOverdue(now)) {
        refuse(overdue, refusal_reason::deadline);
    }
}

auto dispatcher::state::start(const ticket &chosen, const placement_choice &choice, time_point now) -> void
{
    auto piece = running_piece();
    piece.granted = {
        chosen.id, chosen.account, choice.server, chosen.origin, pool, chosen.expectedCost, choice.reason
    };
    piece.length = chosen.length;
    piece.grantedAt = now;
    piece.suspendable = chosen.suspendable;
    piece.suspensions = chosen.suspensions;
    lastGrantService = service(chosen.account);
    running.start(piece);
    placement.start(choice.server, chosen.length);
    pending.grants.push_back(piece.granted);
}

auto dispatcher::state::grantOne(const account_queue &queue, time_point now) -> bool
{
    for (const auto length : { work_length::shortWork, work_length::longWork }) {
        auto tries = excludedLookahead;
        for (const auto &[key, candidate] : queue.of(length)) {
            if (tries-- == 0) {
                break;
            }
            const auto choice = placement.choose(candidate, now);
            if (choice) {
                const auto chosen = waiting.take(candidate.id);
                noteDeparture(chosen->account, now);
                start(*chosen, *choice, now);
                return true;
            }
        }
    }
    return false;
}

auto dispatcher::state::grantAll(time_point now) -> void
{
    auto free = placement.freeSlots(now);
    if (free == 0) {
        return;
    }
    auto due = std::set<due_account>();
    for (const auto &[account, queue] : waiting.accounts()) {
        due.insert(dueKey(account));
    }
    while (free > 0 && !due.empty()) {
        const auto account = due.begin()->account;
        due.erase(due.begin());
        if (!grantOne(waiting.accounts().at(account), now)) {
            continue;
        }
        --free;
        if (waiting.count(account) > 0) {
            due.insert(dueKey(account));
        }
    }
}

dispatcher::dispatcher(pool_id pool, dispatcher_settings settings, share_ledger &ledger)
    : m_state(std::make_unique<state>(std::move(pool), settings, ledger))
{
}

dispatcher::~dispatcher() = default;

auto dispatcher::submit(const ticket &waiting, time_point now) -> void
{
    if (const auto *piece = m_state->running.find(waiting.id)) {
        if (now - piece->grantedAt >= regrantDelay) {
            m_state->pending.grants.push_back(piece->granted);
        }
        return;
    }
    const auto known = m_state->waiting.contains(waiting.id);
    if (!known && m_state->waiting.count(waiting.account) == 0) {
        m_state->enterBacklog(waiting.account, now);
    }
    if (!known && m_state->waiting.count(waiting.account) >= m_state->limitOf(waiting.account)) {
        m_state->refuse(waiting, refusal_reason::queueFull);
        return;
    }
    m_state->waiting.insert(waiting);
}

auto dispatcher::withdraw(ticket_id id, time_point) -> void
{
    m_state->waiting.take(id);
}

auto dispatcher::progress(ticket_id id, double cost, time_point now) -> void
{
    m_state->running.progress(id, cost, now);
}

auto dispatcher::settle(ticket_id id, double cost, time_point now) -> void
{
    m_state->waiting.take(id);
    if (m_state->running.progress(id, cost, now) == nullptr) {
        return;
    }
    const auto piece = m_state->running.finish(id);
    m_state->placement.finish(piece.granted.server, piece.length);
}

auto dispatcher::adopt(const grant &running, work_length length, time_point now) -> void
{
    if (m_state->running.find(running.ticket) != nullptr) {
        return;
    }
    m_state->waiting.take(running.ticket);
    auto piece = running_piece();
    piece.granted = running;
    piece.length = length;
    piece.grantedAt = now;
    m_state->running.start(piece);
    m_state->placement.start(running.server, length);
}

auto dispatcher::forgetRouter(incarnation_id router, time_point) -> void
{
    m_state->waiting.takeOf(router);
    for (const auto id : m_state->running.of(router)) {
        const auto piece = m_state->running.finish(id);
        m_state->placement.finish(piece.granted.server, piece.length);
    }
}

auto dispatcher::setQueueLimits(const std::map<object_id, std::uint32_t> &limits) -> void
{
    m_state->queueLimits = limits;
}

auto dispatcher::placement() -> server_placement &
{
    return m_state->placement;
}

auto dispatcher::absorbDigest(const pool_digest &, time_point) -> void {}

auto dispatcher::makeDigest(time_point now) -> pool_digest
{
    auto digest = pool_digest();
    digest.pool = m_state->pool;
    digest.serial = ++m_state->digestSerial;
    digest.spareSlots = m_state->placement.freeSlots(now);
    for (const auto &[account, queue] : m_state->waiting.accounts()) {
        digest.waiting.push_back({ account, m_state->service(account), std::uint32_t(queue.size()) });
    }
    return digest;
}

auto dispatcher::releaseForPull(const pull_request &, time_point) -> std::vector<ticket>
{
    return {};
}

auto dispatcher::decide(time_point now) -> dispatch_decisions
{
    m_state->ledger.expire(now);
    m_state->refuseOverdue(now);
    m_state->grantAll(now);
    return std::exchange(m_state->pending, {});
}

auto dispatcher::knows(ticket_id id) const -> bool
{
    return m_state->waiting.contains(id) || m_state->running.find(id) != nullptr;
}

auto dispatcher::waitingTickets() const -> std::size_t
{
    return m_state->waiting.size();
}

auto dispatcher::runningTickets() const -> std::size_t
{
    return m_state->running.all().size();
}

auto dispatcher::pool() const -> const pool_id &
{
    return m_state->pool;
}

} // namespace marjoramloom
