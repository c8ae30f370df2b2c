#include "marjoramloom/share/dispatcher.h"

#include "share/dispatcher_state.h"

#include <algorithm>
#include <set>

namespace marjoramloom {

namespace {

/// A ticket that is sent again this long after its grant means that the grant was lost.
constexpr auto regrantDelay = duration(std::chrono::seconds(1));

/// A grant takes at most this long to reach its router and to show among what the router runs.
constexpr auto confirmationDelay = duration(std::chrono::seconds(3));

/// A ticket is refused at once where its account's wait exceeds what is left to its deadline by this factor.
constexpr auto hopelessFactor = 1.5;

/// Accounts in a digest: the ones that are due first. Others are not pulled before these.
constexpr auto digestAccounts = std::size_t(16);

} // namespace

dispatcher::dispatcher(pool_id pool, dispatcher_settings settings, share_ledger &ledger)
    : m_state(std::make_unique<state>(std::move(pool), settings, ledger))
{
}

dispatcher::~dispatcher() = default;

auto dispatcher::submit(const ticket &waiting, time_point now) -> void
{
    if (const auto *piece = m_state->running.find(waiting.id)) {
        if (now - piece->grantedAt >= regrantDelay) {
            m_state->decided.grants.push_back(piece->granted);
        }
        return;
    }
    if (m_state->released.contains(waiting.id, now)) {
        return;
    }
    m_state->pulls.noteArrival(waiting);
    if (m_state->waiting.contains(waiting.id)) {
        m_state->waiting.insert(waiting);
        return;
    }
    const auto queued = m_state->waiting.count(waiting.account);
    if (queued >= m_state->limitOf(waiting.account)) {
        m_state->refuse(waiting, refusal_reason::queueFull, now);
        return;
    }
    const auto wait = m_state->expectedWait(waiting.account, now);
    if (wait && *wait > hopelessFactor * (waiting.deadline - now)) {
        m_state->refuse(waiting, refusal_reason::deadline, now);
        return;
    }
    if (queued == 0) {
        m_state->backlog.arrive(waiting.account, now);
    }
    if (waiting.length == work_length::shortWork) {
        m_state->lastShortArrival = now;
        m_state->shortArrivals.add(now);
    }
    m_state->waiting.insert(waiting);
}

auto dispatcher::withdraw(ticket_id id, time_point now) -> void
{
    m_state->takeWaiting(id, now);
}

auto dispatcher::progress(ticket_id id, double cost, time_point now) -> void
{
    m_state->running.progress(id, cost, now);
}

auto dispatcher::settle(ticket_id id, double cost, time_point now) -> void
{
    m_state->takeWaiting(id, now);
    m_state->finish(id, cost, now);
}

auto dispatcher::adopt(const grant &running, work_length length, time_point now) -> void
{
    if (m_state->running.find(running.ticket) != nullptr) {
        return;
    }
    m_state->takeWaiting(running.ticket, now);
    auto piece = running_piece();
    piece.granted = running;
    piece.length = length;
    piece.grantedAt = now;
    piece.adopted = true;
    m_state->running.start(piece);
    m_state->placement.start(running.server, length, now);
}

auto dispatcher::confirmRunning(incarnation_id router, const std::vector<ticket_id> &running, time_point now) -> void
{
    const auto known = std::set<ticket_id>(running.begin(), running.end());
    for (const auto id : m_state->running.of(router)) {
        if (!known.contains(id) && now - m_state->running.find(id)->grantedAt >= confirmationDelay) {
            m_state->finish(id, 0, now);
        }
    }
}

auto dispatcher::forgetRouter(incarnation_id router, time_point now) -> void
{
    for (const auto &lost : m_state->waiting.takeOf(router)) {
        if (m_state->waiting.count(lost.account) == 0) {
            m_state->backlog.depart(lost.account, now);
        }
    }
    for (const auto id : m_state->running.of(router)) {
        const auto piece = m_state->running.finish(id);
        m_state->placement.finish(piece.granted.server, piece.length, now);
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

auto dispatcher::absorbDigest(const pool_digest &digest, time_point now) -> void
{
    if (m_state->pulls.absorb(digest, now)) {
        m_state->rejoined = now;
    }
}

auto dispatcher::makeDigest(time_point now) -> pool_digest
{
    auto digest = pool_digest();
    digest.pool = m_state->pool;
    digest.serial = ++m_state->digestSerial;
    const auto free = m_state->placement.freeSlots(now);
    const auto queued = std::uint32_t(m_state->waiting.size());
    digest.spareSlots = free > queued ? free - queued : 0;
    for (const auto &[account, queue] : m_state->waiting.accounts()) {
        digest.waiting.push_back({ account, m_state->service(account), std::uint32_t(queue.size()) });
    }
    std::ranges::sort(digest.waiting, {}, &pool_digest::waiting_account::service);
    digest.waiting.resize(std::min(digest.waiting.size(), digestAccounts));
    return digest;
}

auto dispatcher::releaseForPull(const pull_request &request, time_point now) -> std::vector<ticket>
{
    return request.account == object_id() ? m_state->releaseDue(request.tickets, request.shortOnly, now)
                                          : m_state->release(request.account, request.tickets, request.shortOnly, now);
}

auto dispatcher::decide(time_point now) -> dispatch_decisions
{
    m_state->ledger.expire(now);
    m_state->refuseOverdue(now);
    m_state->forgiveAfterPartition(now);
    m_state->enterBacklogs(now);
    m_state->grantAll(now);
    m_state->suspendLong(now);
    m_state->pull(now);
    return std::exchange(m_state->decided, {});
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
