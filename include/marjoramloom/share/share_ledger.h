#pragma once

#include "marjoramloom/share/ticket.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Per-account total of service counted by one router incarnation. Only grows, so that copies merge by maximum.
///
/// A few incarnation numbers are reserved for lifts and reliefs of an account in one service, which travel the same
/// way.
struct service_total
{
    incarnation_id router = 0;
    object_id account;
    double cost = 0; ///< Weighted tokens; for lifts and reliefs, virtual service.
};

/// The fleet's view of how much service each account has received, and so of the order in which accounts are due.
///
/// An account has one counter over all pools: totals of all incarnations, merged by maximum and added up, plus what
/// runs and is not in a total yet. Its *virtual service* is that sum divided by its weight, plus an offset of its own
/// for each service: a lift for the time when it had nothing waiting, and a relief of debt beyond a limit. Not thread
/// safe.
class share_ledger
{
public:
    /// Sets weights; accounts that are absent are forgotten. A changed weight keeps the account's virtual service.
    /// Precondition: weights are positive.
    auto setWeights(const std::map<object_id, double> &weights) -> void;

    /// Merges totals from a peer or from this router itself; smaller ones are ignored.
    auto merge(const std::vector<service_total> &totals) -> void;

    /// Adds \p cost to this router's own total; to be called as a request streams and when it ends.
    /// Precondition: \p cost is not negative.
    auto count(incarnation_id router, object_id account, double cost) -> void;

    /// Totals that grew since the serial \p since, and the serial to ask with next time.
    [[nodiscard]] auto totalsSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>;

    /// Says that the totals of an incarnation that is gone grow no more; they are kept, as peers may not have them.
    auto retire(incarnation_id router) -> void;

    /// Adds \p cost (may be negative, as a correction) for work that was granted and has not been used yet.
    auto charge(object_id account, double cost) -> void;

    /// A dispatcher learnt that \p router used \p cost more; counts until the router's own total says so, or until it
    /// should have. Either message may come first.
    auto observeUse(incarnation_id router, object_id account, double cost, time_point now) -> void;

    /// Forgets uses whose totals did not come in time.
    auto expire(time_point now) -> void;

    /// Raises the account's virtual service in \p service to \p floor where it is lower.
    auto lift(object_id account, object_id service, double floor) -> void;

    /// Lowers the account's virtual service in \p service to \p ceiling where it is higher.
    auto relieve(object_id account, object_id service, double ceiling) -> void;

    /// Service received over all pools, divided by weight; without lifts.
    [[nodiscard]] auto receivedService(object_id account) const -> double;

    /// Virtual service in \p service; the lowest is due first.
    [[nodiscard]] auto virtualService(object_id account, object_id service) const -> double;

    [[nodiscard]] auto weight(object_id account) const -> double;

private:
    struct total_key
    {
        incarnation_id router = 0;
        object_id account;

        // The check misreads defaulted comparisons.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const total_key &) const = default;
    };

    struct total_entry
    {
        double cost = 0;
        std::uint64_t serial = 0; ///< Of its last growth.
    };

    /// Use that a dispatcher knows of, less growth of the router's total; counted where positive. It never exceeds what
    /// was observed within its lifetime, so that a use which no total ever confirms is not held against an account.
    struct use_balance
    {
        double cost = 0;
        double observed = 0; ///< In the present half of the lifetime.
        double observedBefore = 0; ///< In the half before.
        time_point halfEnds;
    };

    struct account_entry
    {
        double weight = 1;
        double counted = 0; ///< Sum of all totals.
        double pending = 0; ///< Granted, not used.
        double unconfirmed = 0; ///< Sum of positive balances.
        std::map<object_id, double> offsets; ///< Lift less relief, by service.
    };

    auto grow(const total_key &key, double cost) -> void;
    auto settleBalance(const total_key &key, double growth) -> void;
    auto setBalance(account_entry &entry, use_balance &balance, double cost) -> void;

    std::unordered_map<object_id, account_entry> m_accounts;
    std::map<total_key, total_entry> m_totals;
    std::map<std::uint64_t, total_key> m_bySerial;
    std::map<total_key, use_balance> m_balances;
    std::uint64_t m_serial = 0;
    time_point m_nextExpiry;
};

} // namespace marjoramloom
