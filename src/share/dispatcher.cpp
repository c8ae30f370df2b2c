#include "marjoramloom/share/dispatcher.h"

#include "share/dispatcher_state.h"

#include <algorithm>
#include <set>

namespace marjoramloom {

namespace {

/// A ticket that is submitted again this long after its grant shows that the grant was lost.
constexpr auto regrantDelay = duration(std::chrono::seconds(1));

/// Maximum time until a granted request appears in its router's list of running requests.
constexpr auto confirmationDelay = duration(std::chrono::seconds(3));

/// A ticket is refused on submission if the expected wait exceeds the time to its deadline by this factor.
constexpr auto refusedWaitFactor = 1.5;

/// Maximum number of accounts in a digest: those with the lowest virtual service, whose tickets are pulled first.
constexpr auto maxDigestAccounts = std::size_t(16);

} // namespace

dispatcher::dispatcher(pool_id pool, dispatcher_settings settings, share_ledger &ledger)
    : m_state(std::make_unique<state>(std::move(pool), settings, ledger))
{
}

dispatcher::~dispatcher() = default;

auto dispatcher::submit(const ticket &waiting, time_point now) -> void
{
    if (const auto *request = m_state->running.find(waiting.id)) {
        if (now - request->grantedAt >= regrantDelay) {
            m_state->decisions.grants.push_back(request->granted);
        }
        return;
    }
    if (m_state->released.contains(waiting.id, now)) {
        return;
    }
    m_state->pulls.recordArrival(waiting);
    if (m_state->waiting.contains(waiting.id)) {
        m_state->waiting.insert(waiting);
        return;
    }
    const auto queued = m_state->waiting.count(waiting.account);
    if (queued >= m_state->queueLimitOf(waiting.account)) {
        m_state->refuse(waiting, refusal_reason::queueFull, now);
        return;
    }
    const auto wait = m_state->expectedWait(waiting.account, now);
    if (wait && *wait > refusedWaitFactor * (waiting.deadline - now)) {
        m_state->refuse(waiting, refusal_reason::deadline, now);
        return;
    }
    if (queued == 0) {
        m_state->backlog.onFirstTicket(waiting.account, now);
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
    auto request = charged_request();
    request.granted = running;
    request.length = length;
    request.grantedAt = now;
    request.adopted = true;
    m_state->running.start(request);
    m_state->placement.start(running.server, length, now);
}

auto dispatcher::confirmRunning(incarnation_id router, const std::vector<ticket_id> &running, time_point now) -> void
{
    const auto reported = std::set<ticket_id>(running.begin(), running.end());
    for (const auto id : m_state->running.idsOf(router)) {
        if (!reported.contains(id) && now - m_state->running.find(id)->grantedAt >= confirmationDelay) {
            m_state->finish(id, 0, now);
        }
    }
}

auto dispatcher::removeRouter(incarnation_id router, time_point now) -> void
{
    for (const auto &removed : m_state->waiting.takeByRouter(router)) {
        if (m_state->waiting.count(removed.account) == 0) {
            m_state->backlog.onQueueEmpty(removed.account, now);
        }
    }
    for (const auto id : m_state->running.idsOf(router)) {
        const auto request = m_state->running.finish(id);
        m_state->placement.finish(request.granted.server, request.length, now);
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
    if (m_state->pulls.update(digest, now)) {
        m_state->rejoinedAt = now;
    }
}

auto dispatcher::makeDigest(time_point now) -> pool_digest
{
    auto digest = pool_digest();
    digest.pool = m_state->pool;
    digest.serial = ++m_state->digestSerial;
    const auto freeSlots = m_state->placement.freeSlots(now);
    const auto queued = std::uint32_t(m_state->waiting.size());
    digest.spareSlots = freeSlots > queued ? freeSlots - queued : 0;
    for (const auto &[account, queue] : m_state->waiting.accounts()) {
        digest.waiting.push_back({ account, m_state->service(account), std::uint32_t(queue.size()) });
    }
    std::ranges::sort(digest.waiting, {}, &pool_digest::waiting_account::service);
    digest.waiting.resize(std::min(digest.waiting.size(), maxDigestAccounts));
    return digest;
}

auto dispatcher::releaseForPull(const pull_request &request, time_point now) -> std::vector<ticket>
{
    return request.account == object_id() ? m_state->releaseFromLowest(request.tickets, request.shortOnly, now)
                                          : m_state->release(request.account, request.tickets, request.shortOnly, now);
}

auto dispatcher::decide(time_point now) -> dispatch_decisions
{
    m_state->ledger.expire(now);
    m_state->refuseExpired(now);
    m_state->capDebtAfterPartition(now);
    m_state->markBackloggedAccounts(now);
    m_state->grantFreeSlots(now);
    m_state->suspendForShortWork(now);
    m_state->requestTickets(now);
    return std::exchange(m_state->decisions, {});
}

auto dispatcher::hasTicket(ticket_id id) const -> bool
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
