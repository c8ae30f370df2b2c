#pragma once

#include "marjoramloom/share/dispatcher.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace marjoramloom {

class share_ledger;

/// Decides which other pools to ask for waiting tickets: of accounts that are behind, or any where this pool is idle.
///
/// Keeps the newest digest of each other pool of the same service. Requested tickets count as granted to their account
/// until they arrive or the request expires, so that an old digest leads to a bounded number of requests. Not thread
/// safe.
class pull_policy
{
public:
    /// Precondition: \p ledger outlives this object.
    pull_policy(const pool_id &pool, const dispatcher_settings &settings, const share_ledger &ledger);

    /// A newer digest replaces an older one. Returns whether its pool had been silent for longer than a digest is used.
    auto absorb(const pool_digest &digest, time_point now) -> bool;

    /// A ticket of another pool arrived.
    auto noteArrival(const ticket &arrived) -> void;

    /// Lowest virtual service among remote waiting accounts, or nothing.
    [[nodiscard]] auto lowestRemote(time_point now) const -> std::optional<double>;

    /// Whether an account has tickets at another pool.
    [[nodiscard]] auto waitsElsewhere(object_id account, time_point now) const -> bool;

    /// Accounts with tickets at other pools.
    [[nodiscard]] auto waitingAccounts(time_point now) const -> std::set<object_id>;

    /// Number of other pools heard lately.
    [[nodiscard]] auto pools(time_point now) const -> std::size_t;

    /// Requests for tickets of accounts that are behind \p localLowest, the virtual service of the account that is
    /// granted next here; at most \p tickets in all, of about \p ticketCost each.
    [[nodiscard]] auto chooseBehind(double localLowest, std::uint32_t tickets, double ticketCost, time_point now)
        -> std::vector<pull_request>;

    /// Requests of an idle pool with \p slots in all for \p tickets of any account. They go to the pools with fewest
    /// spare slots, again and again, as a digest tells too late of a queue that has just formed.
    [[nodiscard]] auto chooseIdle(std::uint32_t tickets, std::uint32_t slots, time_point now)
        -> std::vector<pull_request>;

    /// Requests for short work only, of a pool whose \p slots run long work that can be suspended for it. They go to
    /// the pools with fewest spare slots, as a digest tells too late of a crest that has just begun.
    [[nodiscard]] auto chooseShort(std::uint32_t tickets, std::uint32_t slots, time_point now)
        -> std::vector<pull_request>;

    /// Tickets asked for and not arrived.
    [[nodiscard]] auto requested() const -> std::uint32_t;

private:
    struct remote_pool
    {
        pool_digest digest;
        time_point absorbed;
        std::map<object_id, double> localService; ///< Of its accounts, as this ledger knew it then.
    };

    struct open_request
    {
        std::uint32_t tickets = 0;
        time_point expiry;
    };

    struct candidate
    {
        double service = 0;
        pool_id pool;
        object_id account;
        std::uint32_t tickets = 0;

        // The check misreads defaulted comparisons.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const candidate &) const = default;
    };

    [[nodiscard]] auto estimate(const remote_pool &remote, const pool_digest::waiting_account &waiting) const -> double;
    [[nodiscard]] auto candidates(time_point now) const -> std::set<candidate>;
    [[nodiscard]] auto behind(const candidate &next, double localLowest, double ticketCost) const -> std::uint32_t;
    [[nodiscard]] auto askBusiest(std::uint32_t tickets, std::uint32_t slots, bool shortOnly, time_point now)
        -> std::vector<pull_request>;
    auto note(const pull_request &request, duration lifetime, time_point now) -> void;
    auto expire(time_point now) -> void;

    pool_id m_pool;
    const dispatcher_settings &m_settings;
    const share_ledger &m_ledger;
    std::map<pool_id, remote_pool> m_remotes;
    std::map<std::pair<pool_id, object_id>, open_request> m_open;
    time_point m_nextIdle; ///< When an idle pool asks again.
};

} // namespace marjoramloom
