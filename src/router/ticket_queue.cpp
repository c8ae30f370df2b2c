#include "marjoramloom/router/ticket_queue.h"

#include "marjoramloom/core/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cassert>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Minimum increase of a request's cost that is reported to its dispatcher, as a fraction of the charged cost.
constexpr double minReportedFraction = 0.25;

} // namespace

ticket_queue::ticket_queue(strand_type strand, incarnation_id incarnation, counter_registry &counters)
    : m_strand(std::move(strand))
    , m_incarnation(incarnation)
    , m_counters(counters)
{
}

auto ticket_queue::setPort(dispatch_port port) -> void
{
    m_port = std::move(port);
}

auto ticket_queue::setLimits(std::function<std::uint32_t(object_id)> perAccount, std::uint32_t overall) -> void
{
    m_accountLimit = std::move(perAccount);
    m_overallLimit = overall;
}

auto ticket_queue::nextTicket() -> ticket_id
{
    return { m_incarnation, ++m_lastSerial };
}

auto ticket_queue::acquire(ticket waiting, std::shared_ptr<call_control> control, last_reason &why)
    -> asio::awaitable<std::optional<grant>>
{
    const auto id = waiting.id;
    auto reason = std::make_shared<last_reason>();
    const auto listenerId = control->addListener([this, id, control = control.get()] {
        if (control->cancelled()) {
            asio::post(m_strand, [this, id] { cancelOnStrand(id); });
        }
    });
    auto waitForGrant = acquireOnStrand(std::move(waiting), control, reason);
    auto granted = co_await asio::co_spawn(m_strand, std::move(waitForGrant), asio::use_awaitable);
    control->removeListener(listenerId);
    if (!granted) {
        why = *reason;
    }
    co_return granted;
}

auto ticket_queue::acquireOnStrand(ticket waiting, std::shared_ptr<call_control> control,
                                   std::shared_ptr<last_reason> why) -> asio::awaitable<std::optional<grant>>
{
    assert(m_port.submit);
    if (!checkLimits(waiting, *why)) {
        co_return std::nullopt;
    }
    auto request = std::make_shared<waiting_request>(m_strand);
    request->waitingTicket = waiting;
    request->control = control;
    request->cancelled = control->cancelled();
    request->wakeTimer.expires_at(waiting.deadline);
    m_waiting[waiting.id] = request;
    ++m_waitingByAccount[waiting.account];
    m_waitingCount = m_waiting.size();
    m_port.submit(waiting);
    auto error = boost::system::error_code();
    if (!request->granted && !request->refused && !request->cancelled) {
        co_await request->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    co_return endWait(request, *why);
}

auto ticket_queue::checkLimits(const ticket &waiting, last_reason &why) -> bool
{
    const auto limit = m_accountLimit ? m_accountLimit(waiting.account) : m_overallLimit;
    const auto found = m_waitingByAccount.find(waiting.account);
    const auto accountCount = found == m_waitingByAccount.end() ? 0 : found->second;
    if (accountCount < limit && m_waiting.size() < m_overallLimit) {
        return true;
    }
    m_counters.at("marjoramloom_refused_total", "reason=\"queue_full\"").add();
    why.fail(failure_kind::overloaded, "queue", "", "too many waiting requests of this account");
    return false;
}

auto ticket_queue::endWait(const std::shared_ptr<waiting_request> &request, last_reason &why) -> std::optional<grant>
{
    const auto &waitingTicket = request->waitingTicket;
    m_waiting.erase(waitingTicket.id);
    auto &accountCount = m_waitingByAccount[waitingTicket.account];
    if (--accountCount == 0) {
        m_waitingByAccount.erase(waitingTicket.account);
    }
    m_waitingCount = m_waiting.size();
    if (request->granted) {
        return request->granted;
    }
    m_port.withdraw(waitingTicket.origin, waitingTicket.id);
    if (request->cancelled) {
        return why.fail(failure_kind::cancelled, "wait for a backend server", "", "the caller left");
    }
    const auto reason = request->refused ? request->refused->reason : refusal_reason::deadline;
    m_counters.at("marjoramloom_refused_total", "reason=\"" + std::string(nameOf(reason)) + "\"").add();
    const auto kind = reason == refusal_reason::deadline ? failure_kind::deadlineExceeded : failure_kind::overloaded;
    return why.fail(kind, "wait for a backend server", waitingTicket.origin.dataCentre, nameOf(reason));
}

auto ticket_queue::handleGrant(const grant &granted) -> void
{
    const auto found = m_waiting.find(granted.ticket);
    if (found == m_waiting.end() || found->second->granted || found->second->refused) {
        const auto running = m_running.find(granted.ticket);
        const auto isDuplicate = running != m_running.end() && running->second.granted.pool == granted.pool
            && running->second.granted.server == granted.server;
        if (!isDuplicate) {
            m_counters.at("marjoramloom_surplus_grants_total").add();
            m_port.settle(granted, 0, 0);
        }
        return;
    }
    const auto &request = found->second;
    request->granted = granted;
    m_running[granted.ticket] = { granted, request->waitingTicket.length, 0, 0, request->control };
    m_runningCount = m_running.size();
    if (granted.pool != request->waitingTicket.origin) {
        m_port.withdraw(request->waitingTicket.origin, granted.ticket);
    }
    request->wakeTimer.cancel();
}

auto ticket_queue::handleRefusal(const refusal &refused) -> void
{
    const auto found = m_waiting.find(refused.ticket);
    if (found == m_waiting.end() || found->second->granted) {
        return;
    }
    found->second->refused = refused;
    found->second->wakeTimer.cancel();
}

auto ticket_queue::handleSuspension(const suspension &requested) -> void
{
    const auto found = m_running.find(requested.ticket);
    if (found != m_running.end()) {
        found->second.control->suspend(requested.ticket);
    }
}

auto ticket_queue::moveRequestsFrom(object_id server) -> void
{
    for (const auto &[id, request] : m_running) {
        if (request.granted.server == server) {
            request.control->move(id);
        }
    }
}

auto ticket_queue::cancelOnStrand(ticket_id id) -> void
{
    const auto found = m_waiting.find(id);
    if (found != m_waiting.end() && !found->second->granted) {
        found->second->cancelled = true;
        found->second->wakeTimer.cancel();
    }
}

auto ticket_queue::progress(ticket_id id, double cost) -> void
{
    asio::post(m_strand, [this, id, cost] {
        const auto found = m_running.find(id);
        if (found != m_running.end()) {
            found->second.cost = cost;
        }
    });
}

auto ticket_queue::reportProgress() -> void
{
    for (auto &[id, request] : m_running) {
        const auto costDelta = request.cost - request.reportedCost;
        if (costDelta > 0 && costDelta >= minReportedFraction * request.granted.charged) {
            m_port.progress(request.granted, request.cost, costDelta);
            request.reportedCost = request.cost;
        }
    }
}

auto ticket_queue::settle(ticket_id id, double cost) -> void
{
    asio::post(m_strand, [this, id, cost] { settleOnStrand(id, cost); });
}

auto ticket_queue::settleOnStrand(ticket_id id, double cost) -> void
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const auto ended = found->second;
    m_running.erase(found);
    m_runningCount = m_running.size();
    m_port.settle(ended.granted, cost, std::max(0.0, cost - ended.reportedCost));
}

auto ticket_queue::resubmit() -> void
{
    // Copy the tickets first: a dispatcher on this router may grant at once, which changes the map.
    auto waiting = std::vector<ticket>();
    for (const auto &[id, request] : m_waiting) {
        if (!request->granted && !request->refused) {
            waiting.push_back(request->waitingTicket);
        }
    }
    for (const auto &waitingTicket : waiting) {
        m_port.submit(waitingTicket);
    }
}

auto ticket_queue::runningRequests() const -> std::vector<granted_request>
{
    auto all = std::vector<granted_request>();
    for (const auto &[id, request] : m_running) {
        all.push_back(request);
    }
    return all;
}

auto ticket_queue::waitingCount() const -> std::size_t
{
    return m_waitingCount;
}

auto ticket_queue::runningCount() const -> std::size_t
{
    return m_runningCount;
}

} // namespace marjoramloom
