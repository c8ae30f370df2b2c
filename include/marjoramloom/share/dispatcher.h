#pragma once

#include "marjoramloom/share/ticket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace marjoramloom {

class share_ledger;
class server_placement;

/// Limits and thresholds of a dispatcher.
struct dispatcher_settings
{
    double pullThreshold = 1000; ///< Weighted tokens that a remote account must be behind before it is pulled.
    double shortAdvance = 10000; ///< Weighted tokens by which short work may be ahead of long work that it passes.
    std::uint32_t shortReserve = 0; ///< Slots that long work leaves free while short work arrives; 0: a fiftieth.
    bool suspendLongWork = true; ///< Long work gives its place to waiting short work.
    duration digestAge = std::chrono::seconds(5); ///< A remote digest older than this is not used.
    double debtLimit = 0; ///< Weighted tokens an account may be ahead after idling or a partition; 0: from the bound.
    duration warmUp = std::chrono::seconds(2); ///< No lifts before the routers' totals had time to arrive.
    duration starvationLimit = std::chrono::seconds(5); ///< After it an account without running work goes first.
    std::uint32_t queueLimit = 4'096; ///< Waiting tickets of an account without a limit of its own.
};

/// Accounts with waiting tickets, and spare slots, of one pool; what dispatchers tell each other.
struct pool_digest
{
    struct waiting_account
    {
        object_id account;
        double service = 0; ///< Weighted service counter of the account as that dispatcher knows it.
        std::uint32_t tickets = 0;
    };

    pool_id pool;
    std::uint64_t serial = 0;
    std::uint32_t spareSlots = 0;
    std::vector<waiting_account> waiting;
};

/// Asks another pool's dispatcher for waiting tickets of an account (or of its choice where account is 0).
struct pull_request
{
    pool_id from; ///< Who asks.
    pool_id to; ///< Who holds the tickets.
    object_id account;
    std::uint32_t tickets = 1;
    bool shortOnly = false; ///< Only short work is wanted: it would take the place of long work.
};

/// Everything that one pass of a dispatcher decided, to be sent by its owner.
struct dispatch_decisions
{
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    std::vector<suspension> suspensions;
    std::vector<pull_request> pulls;
};

/// Decides which waiting ticket of a pool gets which backend server next.
///
/// Pure decision code: it does no input or output and reads no clock. Soft state only: a new dispatcher is rebuilt from
/// its routers' next messages. Not thread safe; its owner serialises all calls.
class dispatcher
{
public:
    /// Precondition: \p ledger outlives the dispatcher.
    dispatcher(pool_id pool, dispatcher_settings settings, share_ledger &ledger);
    ~dispatcher();

    /// Adds a waiting ticket; the same id again replaces it, and one that already runs is left alone.
    auto submit(const ticket &waiting, time_point now) -> void;

    /// Forgets a waiting ticket whose caller left.
    auto withdraw(ticket_id id, time_point now) -> void;

    /// A granted request used \p cost since this grant (weighted tokens, cumulative); what exceeds the estimate is
    /// charged now. What it used under an earlier ticket, before a suspension, is not part of it.
    ///
    /// The request's router adds the same use to its own total with share_ledger::count or merge, in either order.
    auto progress(ticket_id id, double cost, time_point now) -> void;

    /// A granted request ended with the total \p cost, and its slot is free. One that was not run has cost 0.
    auto settle(ticket_id id, double cost, time_point now) -> void;

    /// A router says it runs this request on that server, which this dispatcher may not have granted itself.
    auto adopt(const grant &running, work_length length, time_point now) -> void;

    /// All requests that a router runs for this dispatcher. One that was granted a while ago and is not among them
    /// ended without this dispatcher hearing of it; its slot is free.
    auto confirmRunning(incarnation_id router, const std::vector<ticket_id> &running, time_point now) -> void;

    /// Forgets everything of a router that is gone for good; its slots are free.
    auto forgetRouter(incarnation_id router, time_point now) -> void;

    /// Highest number of waiting tickets by account; the latest ones beyond it are refused.
    auto setQueueLimits(const std::map<object_id, std::uint32_t> &limits) -> void;

    /// The servers of this pool, their limits and their recent pace.
    [[nodiscard]] auto placement() -> server_placement &;

    /// A remote dispatcher's newest digest.
    auto absorbDigest(const pool_digest &digest, time_point now) -> void;

    /// What others may know of this pool.
    [[nodiscard]] auto makeDigest(time_point now) -> pool_digest;

    /// Gives up to request.tickets waiting tickets to another pool; they leave this one.
    [[nodiscard]] auto releaseForPull(const pull_request &request, time_point now) -> std::vector<ticket>;

    /// One pass: grants for free slots, refusals of what is past its deadline, suspensions, pulls.
    [[nodiscard]] auto decide(time_point now) -> dispatch_decisions;

    /// The request waits or runs here.
    [[nodiscard]] auto knows(ticket_id id) const -> bool;
    [[nodiscard]] auto waitingTickets() const -> std::size_t;
    [[nodiscard]] auto runningTickets() const -> std::size_t;
    [[nodiscard]] auto pool() const -> const pool_id &;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace marjoramloom
