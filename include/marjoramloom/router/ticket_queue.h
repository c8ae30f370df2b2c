#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/share/ticket.h"

#include <atomic>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Callbacks through which a ticket queue reaches the dispatchers, on this router or another one. All are called on the
/// decision strand.
struct dispatch_port
{
    std::function<void(const ticket &)> submit;
    std::function<void(const pool_id &pool, ticket_id)> withdraw;
    /// Reports the weighted tokens that a running request has used in total, and since the last report.
    std::function<void(const grant &, double cost, double costDelta)> progress;
    /// Ends a grant. Reports the weighted tokens used in total, and since the last report.
    std::function<void(const grant &, double cost, double costDelta)> settle;
};

/// A request of this router that runs under a grant.
struct granted_request
{
    grant granted;
    work_length length = work_length::shortWork;
    double cost = 0; ///< Used so far, in weighted tokens.
    double reportedCost = 0; ///< Cost last reported to its dispatcher.
    std::shared_ptr<call_control> control; ///< Delivers suspensions and moves to the call.
};

/// This router's waiting and running requests. Only their tickets are sent to dispatchers, not the requests.
///
/// Waiting tickets are resubmitted periodically, so that a lost message and a restart or change of the dispatcher lose
/// none. The first grant of a ticket is used; any further one is settled at once without cost. nextTicket(), acquire(),
/// progress(), settle(), waitingCount() and runningCount() are thread safe. Call the others on the decision strand.
class ticket_queue
{
public:
    /// Type of the decision strand, on which a router makes all of its dispatch decisions.
    using strand_type = boost::asio::strand<boost::asio::any_io_executor>;

    /// Preconditions: \p counters outlives the queue, and the queue outlives every acquire().
    ticket_queue(strand_type strand, incarnation_id incarnation, counter_registry &counters);

    /// Sets the callbacks to the dispatchers. Call before the first acquire().
    auto setPort(dispatch_port port) -> void;

    /// Returns a new ticket id.
    auto nextTicket() -> ticket_id;

    /// Submits \p waiting and waits until a backend server is granted. Returns nothing, with the reason in \p why, if
    /// the ticket was refused, its deadline passed or \p control was cancelled. From the grant until settle(),
    /// suspensions of the ticket are signalled to \p control. Call on the executor of \p control.
    auto acquire(ticket waiting, std::shared_ptr<call_control> control, last_reason &why)
        -> boost::asio::awaitable<std::optional<grant>>;

    /// Records that the granted request has used \p cost so far.
    auto progress(ticket_id id, double cost) -> void;

    /// Ends the granted request with the total \p cost.
    auto settle(ticket_id id, double cost) -> void;

    /// Asks every request that runs on \p server, which is about to stop, to continue on another server.
    auto moveRequestsFrom(object_id server) -> void;

    auto handleGrant(const grant &granted) -> void;
    auto handleRefusal(const refusal &refused) -> void;
    auto handleSuspension(const suspension &requested) -> void;

    /// Reports the use of running requests to their dispatchers, if it has grown enough since the last report.
    auto reportProgress() -> void;

    /// Sends every waiting ticket again, because its dispatcher changed or messages may have been lost.
    auto resubmit() -> void;

    /// Returns all running requests, so that a new dispatcher can adopt them.
    [[nodiscard]] auto runningRequests() const -> std::vector<granted_request>;

    [[nodiscard]] auto waitingCount() const -> std::size_t;
    [[nodiscard]] auto runningCount() const -> std::size_t;

    /// Sets the maximum waiting requests of each account, and of all accounts together.
    auto setLimits(std::function<std::uint32_t(object_id)> perAccount, std::uint32_t overall) -> void;

private:
    /// A request inside acquire(), until its ticket is granted or refused.
    struct waiting_request
    {
        explicit waiting_request(const strand_type &strand)
            : wakeTimer(strand)
        {
        }

        ticket waitingTicket;
        std::shared_ptr<call_control> control;
        bool cancelled = false;
        boost::asio::steady_timer wakeTimer; ///< Expires at the deadline; cancelled to resume acquire() earlier.
        std::optional<grant> granted;
        std::optional<refusal> refused;
    };

    auto acquireOnStrand(ticket waiting, std::shared_ptr<call_control> control, std::shared_ptr<last_reason> why)
        -> boost::asio::awaitable<std::optional<grant>>;
    auto checkLimits(const ticket &waiting, last_reason &why) -> bool;
    auto endWait(const std::shared_ptr<waiting_request> &request, last_reason &why) -> std::optional<grant>;
    auto cancelOnStrand(ticket_id id) -> void;
    auto settleOnStrand(ticket_id id, double cost) -> void;

    strand_type m_strand;
    incarnation_id m_incarnation;
    counter_registry &m_counters;
    dispatch_port m_port;
    std::function<std::uint32_t(object_id)> m_accountLimit;
    std::uint32_t m_overallLimit = 0;
    std::atomic<std::uint64_t> m_lastSerial = 0;
    std::map<ticket_id, std::shared_ptr<waiting_request>> m_waiting;
    std::unordered_map<object_id, std::uint32_t> m_waitingByAccount;
    std::map<ticket_id, granted_request> m_running;
    std::atomic<std::size_t> m_waitingCount = 0;
    std::atomic<std::size_t> m_runningCount = 0;
};

} // namespace marjoramloom
