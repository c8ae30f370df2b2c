#pragma once

#include "marjoramloom/share/ticket.h"
#include "share/rate_meter.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

class share_ledger;

/// A granted request and what its account is charged for it.
struct charged_request
{
    grant granted;
    work_length length = work_length::shortWork;
    object_id profile;
    double hint = 0; ///< Expected cost from its router; 0 where no cost is learnt from the request.
    time_point grantedAt;
    double used = 0; ///< Weighted tokens since the grant.
    bool adopted = false; ///< Its router counted its usage before this dispatcher knew the request.
    bool suspendable = false;
    std::optional<time_point> suspendedAt; ///< Time at which its router was asked to suspend it.
    std::uint32_t suspensions = 0; ///< Number of suspensions before this grant.

    /// Weighted tokens that are charged and not used yet.
    [[nodiscard]] auto remaining() const -> double;
};

/// Granted requests of a pool. Updates the ledger's charges: the estimate is charged at the grant, and usage beyond it
/// as soon as it is reported. Not thread safe.
class running_work
{
public:
    /// Precondition: \p ledger outlives this object.
    explicit running_work(share_ledger &ledger);

    /// Adds a request and charges its estimate. Precondition: no request with its id is running.
    auto start(const charged_request &request) -> void;

    /// Records the cumulative \p cost of a request. Returns the request, or null where it does not run here.
    auto progress(ticket_id id, double cost, time_point now) -> charged_request *;

    /// Removes a request and refunds what it was charged and did not use. Precondition: it runs here.
    auto finish(ticket_id id) -> charged_request;

    [[nodiscard]] auto find(ticket_id id) -> charged_request *;
    [[nodiscard]] auto all() const -> const std::unordered_map<ticket_id, charged_request> &;

    /// Number of running requests of an account.
    [[nodiscard]] auto count(object_id account) const -> std::size_t;

    /// Weighted tokens per second that all requests together use.
    [[nodiscard]] auto usageRate(time_point now) const -> double;

    /// Ids of the requests that a router runs.
    [[nodiscard]] auto idsOf(incarnation_id router) const -> std::vector<ticket_id>;

private:
    share_ledger &m_ledger;
    std::unordered_map<ticket_id, charged_request> m_requests;
    std::unordered_map<object_id, std::size_t> m_accountCounts;
    rate_meter m_usage;
};

} // namespace marjoramloom
