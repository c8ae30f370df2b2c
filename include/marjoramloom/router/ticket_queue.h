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

/// How a ticket queue reaches the dispatchers of pools, wherever they are. All are called on the decision strand.
struct dispatch_port
{
    std::function<void(const ticket &)> submit;
    std::function<void(const pool_id &pool, ticket_id)> withdraw;
    std::function<void(const grant &, double cost, double growth)> progress; ///< Used in all, and since the last call.
    std::function<void(const grant &, double cost, double growth)> settle;
};

/// A request that holds a grant, as this router knows it.
struct granted_request
{
    grant granted;
    work_length length = work_length::shortWork;
    double cost = 0; ///< Used so far, in weighted tokens.
    double reportedCost = 0; ///< What its dispatcher was told.
    std::shared_ptr<call_control> control; ///< Of the call.
};

/// This router's waiting and running requests. The requests stay here; only tickets travel.
///
/// A ticket is sent again while it waits, so that a lost message, another dispatcher or a restart of one loses
/// nothing. The first grant wins; any other one is settled at once with no cost. nextTicket(), acquire(), progress()
/// and settle() are thread safe; the rest is to be called on the decision strand.
class ticket_queue
{
public:
    using strand_type = boost::asio::strand<boost::asio::any_io_executor>;

    /// Preconditions: \p counters outlives the queue, and the queue every acquire().
    ticket_queue(strand_type strand, incarnation_id incarnation, counter_registry &counters);

    /// Sets the way to the dispatchers. Call before the first acquire().
    auto setPort(dispatch_port port) -> void;

    /// A fresh id for the next ticket.
    auto nextTicket() -> ticket_id;

    /// Waits until \p waiting is granted a backend server. Nothing where it was refused, its deadline passed or the
    /// control was cancelled, with the reason. Until settle(), suspensions of the ticket are signalled to the control.
    /// Call on the control's executor.
    auto acquire(ticket waiting, std::shared_ptr<call_control> control, last_reason &why)
        -> boost::asio::awaitable<std::optional<grant>>;

    /// The granted request used \p cost so far.
    auto progress(ticket_id id, double cost) -> void;

    /// The granted request ended with the total \p cost.
    auto settle(ticket_id id, double cost) -> void;

    /// Asks every request that runs on \p server to go on elsewhere: the server is about to stop.
    auto moveFrom(object_id server) -> void;

    auto handleGrant(const grant &granted) -> void;
    auto handleRefusal(const refusal &refused) -> void;
    auto handleSuspension(const suspension &asked) -> void;

    /// Tells dispatchers what running requests used since the last call.
    auto reportProgress() -> void;

    /// Sends every waiting ticket again: their dispatcher changed, or messages may be lost.
    auto resubmit() -> void;

    /// Hands over each running request, so that a dispatcher that does not know it can adopt it.
    [[nodiscard]] auto running() const -> std::vector<granted_request>;

    [[nodiscard]] auto waitingCount() const -> std::size_t;
    [[nodiscard]] auto runningCount() const -> std::size_t;

    /// Sets a limit of waiting requests per account, and over all accounts.
    auto setLimits(std::function<std::uint32_t(object_id)> perAccount, std::uint32_t overall) -> void;

private:
    struct waiting_request
    {
        explicit waiting_request(const strand_type &strand)
            : wake(strand)
        {
        }

        ticket entry;
        std::shared_ptr<call_control> control;
        bool cancelled = false;
        boost::asio::steady_timer wake;
        std::optional<grant> granted;
        std::optional<refusal> refused;
    };

    auto acquireOnStrand(ticket waiting, std::shared_ptr<call_control> control, std::shared_ptr<last_reason> why)
        -> boost::asio::awaitable<std::optional<grant>>;
    auto admit(const ticket &waiting, last_reason &why) -> bool;
    auto outcome(const std::shared_ptr<waiting_request> &request, last_reason &why) -> std::optional<grant>;
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
