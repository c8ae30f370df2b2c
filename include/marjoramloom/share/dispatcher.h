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
    double pullThreshold = 1000; ///< Weighted tokens an account must lag behind before its remote tickets are pulled.
    double shortWorkLead = 10000; ///< Weighted tokens by which the account of short work may lead one with long work.
    std::uint32_t shortReserve = 0; ///< Slots kept free of long work while short work arrives; 0: from its rate.
    bool suspendLongWork = true; ///< Running long work is suspended while short work waits.
    duration maxDigestAge = std::chrono::seconds(5); ///< A remote digest older than this is not used.
    double debtLimit = 0; ///< Weighted tokens an account may lead after idling or a partition; 0: computed.
    duration warmUp = std::chrono::seconds(2); ///< Offsets are not changed until the routers' totals can have arrived.
    duration starvationLimit = std::chrono::seconds(5); ///< Wait after which accounts without running work go first.
    std::uint32_t queueLimit = 4'096; ///< Maximum of waiting tickets of an account without a limit of its own.
};

/// Waiting accounts and spare slots of one pool, as dispatchers exchange them.
struct pool_digest
{
    struct waiting_account
    {
        object_id account;
        double service = 0; ///< Virtual service of the account in the sending dispatcher's ledger.
        std::uint32_t tickets = 0;
    };

    pool_id pool;
    std::uint64_t serial = 0;
    std::uint32_t spareSlots = 0;
    std::vector<waiting_account> waiting;
};

/// Asks another pool's dispatcher for waiting tickets of an account, or of any account where \p account is 0.
struct pull_request
{
    pool_id from; ///< Pool that requests the tickets.
    pool_id to; ///< Pool that holds the tickets.
    object_id account;
    std::uint32_t tickets = 1;
    bool shortOnly = false; ///< Only short work is requested; long work would be suspended for it.
};

/// Decisions of one dispatcher pass, to be sent by its owner.
struct dispatch_decisions
{
    std::vector<grant> grants;
    std::vector<refusal> refusals;
    std::vector<suspension> suspensions;
    std::vector<pull_request> pulls;
};

/// Assigns the waiting tickets of a pool to backend servers, in weighted fair order of their accounts.
///
/// It performs no I/O and reads no clock. It persists nothing: a new dispatcher rebuilds its state from the next
/// messages of its routers. Not thread safe; its owner serialises all calls.
class dispatcher
{
public:
    /// Precondition: \p ledger outlives the dispatcher.
    dispatcher(pool_id pool, dispatcher_settings settings, share_ledger &ledger);
    ~dispatcher();

    /// Adds a waiting ticket or replaces the one with the same id. For a request that runs already, the grant is sent
    /// again if it seems to be lost.
    auto submit(const ticket &waiting, time_point now) -> void;

    /// Removes a waiting ticket whose caller left.
    auto withdraw(ticket_id id, time_point now) -> void;

    /// Records that a granted request has used \p cost since this grant (weighted tokens, cumulative) and charges what
    /// exceeds its estimate. Cost under an earlier ticket, before a suspension, is not included.
    ///
    /// The request's router adds the same cost to its own total with share_ledger::count or merge, in either order.
    auto progress(ticket_id id, double cost, time_point now) -> void;

    /// Ends a granted request with the total \p cost and frees its slot. A request that was not run has cost 0.
    auto settle(ticket_id id, double cost, time_point now) -> void;

    /// Adds a request that a router reports as running, and that another dispatcher may have granted.
    auto adopt(const grant &running, work_length length, time_point now) -> void;

    /// Takes the complete list of requests that a router runs for this dispatcher. A request that was granted a few
    /// seconds ago and is missing from it has ended although no settlement arrived; its slot is freed.
    auto confirmRunning(incarnation_id router, const std::vector<ticket_id> &running, time_point now) -> void;

    /// Removes all tickets and requests of a router that left the fleet, and frees their slots.
    auto removeRouter(incarnation_id router, time_point now) -> void;

    /// Sets the maximum of waiting tickets by account; a ticket submitted beyond it is refused.
    auto setQueueLimits(const std::map<object_id, std::uint32_t> &limits) -> void;

    /// The servers of this pool with their slot limits and recent latencies.
    [[nodiscard]] auto placement() -> server_placement &;

    /// Stores the newest digest of a remote dispatcher.
    auto absorbDigest(const pool_digest &digest, time_point now) -> void;

    /// Makes the digest of this pool for remote dispatchers.
    [[nodiscard]] auto makeDigest(time_point now) -> pool_digest;

    /// Removes up to request.tickets waiting tickets and returns them for transfer to another pool.
    [[nodiscard]] auto releaseForPull(const pull_request &request, time_point now) -> std::vector<ticket>;

    /// Runs one pass: refuses expired tickets, grants free slots, suspends long work and requests tickets of other
    /// pools.
    [[nodiscard]] auto decide(time_point now) -> dispatch_decisions;

    /// Whether the request waits or runs here.
    [[nodiscard]] auto hasTicket(ticket_id id) const -> bool;
    [[nodiscard]] auto waitingTickets() const -> std::size_t;
    [[nodiscard]] auto runningTickets() const -> std::size_t;
    [[nodiscard]] auto pool() const -> const pool_id &;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace marjoramloom
