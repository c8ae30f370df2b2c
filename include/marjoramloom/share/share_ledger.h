#pragma once

#include "marjoramloom/share/ticket.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Total service that one router incarnation counted for an account. It never decreases, so copies merge by maximum.
///
/// A range of incarnation numbers is reserved for the offsets of an account's virtual service in one service (see
/// offset_key), which are exchanged in the same way.
struct service_total
{
    incarnation_id router = 0;
    object_id account;
    double cost = 0; ///< Weighted tokens; virtual service where \p router is an encoded offset_key.
};

/// Service that each account has received in the whole fleet, which determines the order of grants.
///
/// An account's service is the sum over all pools and incarnations of their totals, merged by maximum, plus the cost of
/// running requests that no total contains yet. Its *virtual service* is that sum divided by its weight, plus an offset
/// per service: the offset is raised when the account returns after idling, as it has no claim to the time when nothing
/// of it waited, and reduced where the account's debt exceeds a limit. Not thread safe.
class share_ledger
{
public:
    /// Sets the weights and removes accounts that are absent. A changed weight keeps the account's virtual service.
    /// Precondition: weights are positive.
    auto setWeights(const std::map<object_id, double> &weights) -> void;

    /// Merges totals from a peer or from this router itself; a total below the known one is ignored.
    auto merge(const std::vector<service_total> &totals) -> void;

    /// Adds \p cost to the router's own total. Called while a request streams and when it ends.
    /// Precondition: \p cost is not negative.
    auto count(incarnation_id router, object_id account, double cost) -> void;

    /// Totals that grew since the serial \p since; \p next becomes the serial to pass in the following call.
    [[nodiscard]] auto totalsSince(std::uint64_t since, std::uint64_t &next) const -> std::vector<service_total>;

    /// Marks an incarnation as ended: its unconfirmed usage is dropped. Its totals are kept, as peers may lack them.
    auto retire(incarnation_id router) -> void;

    /// Adds \p cost to what the account is charged for granted work before it is used. A negative \p cost reduces it.
    auto charge(object_id account, double cost) -> void;

    /// Records \p cost that a dispatcher saw used at \p router. It counts until the router's own total includes it, or
    /// until it expires. Either message may come first.
    auto recordUsage(incarnation_id router, object_id account, double cost, time_point now) -> void;

    /// Drops recorded usage that no total confirmed in time.
    auto expire(time_point now) -> void;

    /// Raises the account's virtual service in \p service to \p floor where it is lower.
    auto raiseVirtualService(object_id account, object_id service, double floor) -> void;

    /// Reduces the account's virtual service in \p service to \p ceiling where it is higher.
    auto capVirtualService(object_id account, object_id service, double ceiling) -> void;

    /// Service received over all pools, divided by the weight; without offsets.
    [[nodiscard]] auto receivedService(object_id account) const -> double;

    /// Virtual service in \p service; the account with the lowest one is granted first.
    [[nodiscard]] auto virtualService(object_id account, object_id service) const -> double;

    [[nodiscard]] auto weight(object_id account) const -> double;

private:
    struct total_key
    {
        incarnation_id router = 0;
        object_id account;

        // clang-tidy reports a false positive on defaulted comparisons.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(const total_key &) const = default;
    };

    struct total_entry
    {
        double cost = 0;
        std::uint64_t serial = 0; ///< Value of m_serial when the total last grew.
    };

    /// Usage that a dispatcher observed minus the growth of the router's total; counted where positive. It never
    /// exceeds the usage observed within its lifetime, so usage that no total ever confirms is not charged for longer.
    struct unconfirmed_usage
    {
        double cost = 0;
        double observed = 0; ///< In the current half of the lifetime.
        double observedInPreviousHalf = 0;
        time_point halfPeriodEnd;
    };

    struct account_entry
    {
        double weight = 1;
        double counted = 0; ///< Sum of all totals.
        double pending = 0; ///< Charged for granted work and not used yet.
        double unconfirmed = 0; ///< Sum of the positive unconfirmed usages of all routers.
        std::map<object_id, double> offsets; ///< Raises minus reductions of virtual service, by service.
    };

    auto raiseTotal(const total_key &key, double cost) -> void;
    auto confirmUsage(const total_key &key, double growth) -> void;
    auto setUnconfirmed(account_entry &entry, unconfirmed_usage &usage, double cost) -> void;

    std::unordered_map<object_id, account_entry> m_accounts;
    std::map<total_key, total_entry> m_totals;
    std::map<std::uint64_t, total_key> m_keysBySerial;
    std::map<total_key, unconfirmed_usage> m_unconfirmed;
    std::uint64_t m_serial = 0; ///< Incremented whenever a total grows.
    time_point m_nextExpiry;
};

} // namespace marjoramloom
