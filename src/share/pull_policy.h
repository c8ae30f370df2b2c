#pragma once

#include "marjoramloom/share/dispatcher.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace marjoramloom {

class share_ledger;

/// Decides which other pools to ask for waiting tickets: those of lagging accounts, or of any account while this pool
/// has idle slots.
///
/// It keeps the newest digest of each other pool of the same service. Requested tickets count as granted to their
/// account until they arrive or the request expires, so that an old digest leads to a bounded number of requests. Not
/// thread safe.
class pull_policy
{
public:
    /// Precondition: \p ledger outlives this object.
    pull_policy(const pool_id &pool, const dispatcher_settings &settings, const share_ledger &ledger);

    /// Replaces the digest of a pool by a newer one. Returns whether the previous digest was older than maxDigestAge.
    auto update(const pool_digest &digest, time_point now) -> bool;

    /// Records that a ticket of another pool arrived.
    auto recordArrival(const ticket &arrived) -> void;

    /// Lowest virtual service among the accounts with tickets at other pools, if any.
    [[nodiscard]] auto lowestRemote(time_point now) const -> std::optional<double>;

    /// Whether an account has tickets at another pool.
    [[nodiscard]] auto waitsElsewhere(object_id account, time_point now) const -> bool;

    /// Accounts with tickets at other pools.
    [[nodiscard]] auto waitingAccounts(time_point now) const -> std::set<object_id>;

    /// Number of other pools with a recent digest.
    [[nodiscard]] auto recentPools(time_point now) const -> std::size_t;

    /// Requests tickets of accounts that lag behind \p lowestLocalService, the lowest virtual service of an account
    /// that waits here; at most \p tickets in all, of about \p ticketCost weighted tokens each.
    [[nodiscard]] auto chooseForLaggingAccounts(double lowestLocalService, std::uint32_t tickets, double ticketCost,
                                                time_point now) -> std::vector<pull_request>;

    /// Requests \p tickets of any account for a pool with idle slots, \p slots being its total. The pools with the
    /// fewest spare slots are asked periodically, whether or not their digest shows waiting tickets: it arrives too
    /// late to show a queue that has just formed.
    [[nodiscard]] auto chooseForIdleSlots(std::uint32_t tickets, std::uint32_t slots, time_point now)
        -> std::vector<pull_request>;

    /// Requests \p tickets of short work for a pool of \p slots that runs long work which can be suspended for it. The
    /// pools with the fewest spare slots are asked, as a digest arrives too late to show a peak that has just begun.
    [[nodiscard]] auto chooseShortWork(std::uint32_t tickets, std::uint32_t slots, time_point now)
        -> std::vector<pull_request>;

    /// Number of tickets that were requested and have not arrived.
    [[nodiscard]] auto requested() const -> std::uint32_t;

private:
    /// The newest digest of another pool.
    struct remote_pool
    {
        pool_digest digest;
        time_point receivedAt;
        std::map<object_id, double> localService; ///< Virtual service of its accounts in this ledger at that time.
    };

    /// Tickets of an account that were requested from a pool and have not arrived.
    struct outstanding_request
    {
        std::uint32_t tickets = 0;
        time_point expiry;
    };

    /// An account with tickets at another pool; the lowest virtual service comes first.
    struct candidate
    {
        double service = 0;
        pool_id pool;
        object_id account;
        std::uint32_t tickets = 0;

        // clang-tidy reports a false positive on defaulted comparisons.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const candidate &) const = default;
    };

    [[nodiscard]] auto estimateService(const remote_pool &remote, const pool_digest::waiting_account &waiting) const
        -> double;
    [[nodiscard]] auto candidates(time_point now) const -> std::set<candidate>;
    [[nodiscard]] auto ticketsToRequest(const candidate &next, double lowestLocalService, double ticketCost) const
        -> std::uint32_t;
    [[nodiscard]] auto requestFromBusiest(std::uint32_t tickets, std::uint32_t slots, bool shortOnly, time_point now)
        -> std::vector<pull_request>;
    auto recordRequest(const pull_request &request, duration lifetime, time_point now) -> void;
    auto expire(time_point now) -> void;

    pool_id m_pool;
    const dispatcher_settings &m_settings;
    const share_ledger &m_ledger;
    std::map<pool_id, remote_pool> m_remotes;
    std::map<std::pair<pool_id, object_id>, outstanding_request> m_outstanding;
    time_point m_nextRequest; ///< Earliest time of the next requests to the busiest pools.
};

} // namespace marjoramloom
