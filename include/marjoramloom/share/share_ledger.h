#pragma once

#include "marjoramloom/share/ticket.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Per-account totals of service settled by one router incarnation. Only grows, so that copies merge by maximum.
struct service_total
{
    incarnation_id router = 0;
    object_id account;
    double cost = 0; ///< Weighted tokens since the incarnation started.
};

/// The fleet's view of how much service each account has received, and the order in which accounts are due.
///
/// Totals of all incarnations merge by maximum and add up; what runs but is not settled is charged locally. An account
/// that becomes backlogged is lifted to the lowest backlogged counter. Not thread safe.
class share_ledger
{
public:
    /// Sets weights; accounts that are absent are forgotten. Precondition: weights are positive.
    auto setWeights(const std::map<object_id, double> &weights) -> void;

    /// Merges totals from a peer or from this router itself; smaller ones are ignored.
    auto merge(const std::vector<service_total> &totals) -> void;

    /// Totals that grew since the serial \p since, and the serial to ask with next time.
    [[nodiscard]] auto totalsSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>;

    /// Folds the totals of an incarnation that is gone into a base, so that state does not grow with restarts.
    auto retire(incarnation_id router) -> void;

    /// Adds \p cost (may be negative, as a correction) for work that runs and is not settled.
    auto charge(object_id account, double cost) -> void;

    /// Marks an account backlogged or not at \p now; lifts its counter when it becomes backlogged.
    auto setBacklogged(object_id account, bool backlogged, time_point now) -> void;

    /// Service counter divided by weight, with lifts; the lowest is due first.
    [[nodiscard]] auto virtualService(object_id account) const -> double;

private:
    struct account_entry
    {
        double weight = 1;
        double merged = 0; ///< Sum of all totals.
        double pending = 0; ///< Charged, not settled.
        double lift = 0;
        bool backlogged = false;
    };

    std::unordered_map<object_id, account_entry> m_accounts;
    std::map<std::pair<incarnation_id, object_id>, std::pair<double, std::uint64_t>> m_totals;
    std::uint64_t m_serial = 0;
};

} // namespace marjoramloom
