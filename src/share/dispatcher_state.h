#pragma once

#include "marjoramloom/share/cost_estimator.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"
#include "share/backlog_tracker.h"
#include "share/grant_order.h"
#include "share/pull_policy.h"
#include "share/rate_meter.h"
#include "share/released_tickets.h"
#include "share/running_work.h"
#include "share/suspension_policy.h"
#include "share/waiting_tickets.h"

#include <optional>

namespace marjoramloom {

/// What a dispatcher knows and the steps of one pass. Not thread safe.
struct dispatcher::state
{
    state(pool_id where, dispatcher_settings with, share_ledger &shared);

    // Steps of a pass, in their order.
    auto refuseOverdue(time_point now) -> void;
    auto enterBacklogs(time_point now) -> void;
    auto forgiveAfterPartition(time_point now) -> void;
    auto grantAll(time_point now) -> void;
    auto suspendLong(time_point now) -> void;
    auto pull(time_point now) -> void;

    /// Hands tickets of an account, or of those that are due first, to another pool.
    auto release(object_id account, std::uint32_t tickets, bool shortOnly, time_point now) -> std::vector<ticket>;
    auto releaseDue(std::uint32_t tickets, bool shortOnly, time_point now) -> std::vector<ticket>;

    // Answers and small steps that several of them share.
    [[nodiscard]] auto service(object_id account) const -> double;
    [[nodiscard]] auto floor(time_point now) const -> std::optional<double>;
    [[nodiscard]] auto debtLimit(time_point now) const -> double;
    [[nodiscard]] auto limitOf(object_id account) const -> std::uint32_t;
    [[nodiscard]] auto longReserve(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto queueSeconds(time_point now) const -> double;
    [[nodiscard]] auto expectedWait(object_id account, time_point now) const -> std::optional<duration>;
    [[nodiscard]] auto starvationLimit(object_id account, time_point now) const -> duration;
    [[nodiscard]] auto typicalCharge() const -> double;
    auto refuse(const ticket &waiting, refusal_reason reason, time_point now) -> void;
    auto takeWaiting(ticket_id id, time_point now) -> std::optional<ticket>;
    auto placeInOrder(object_id account) -> void;
    auto grantStarving(time_point now) -> void;
    auto grantTurn(const grant_order::turn &turn, time_point now) -> bool;
    [[nodiscard]] auto withAffinity(const account_queue::ticket_map &tickets, time_point now) -> const ticket &;
    auto start(const ticket &chosen, const placement_choice &choice, time_point now) -> void;
    auto finish(ticket_id id, double cost, time_point now) -> void;
    [[nodiscard]] auto usableForShort(time_point now) -> std::function<bool(object_id)>;

    pool_id pool;
    dispatcher_settings settings;
    share_ledger &ledger;
    server_placement placement;
    waiting_tickets waiting;
    running_work running;
    released_tickets released;
    backlog_tracker backlog;
    cost_estimator costs;
    pull_policy pulls;
    suspension_policy suspensions;
    grant_order order; ///< Of the present pass.
    std::map<object_id, std::uint32_t> queueLimits;
    dispatch_decisions decided; ///< Since the last pass was handed over.
    std::optional<double> lastGrantService; ///< Virtual service of the account that was granted last.
    std::optional<time_point> started; ///< First pass.
    std::optional<time_point> rejoined; ///< Another pool was heard again after a silence.
    std::optional<time_point> lastShortArrival;
    rate_meter shortArrivals;
    double starvationCredit = 0; ///< Grants out of order that may be made.
    double meanCharge = 0; ///< Weighted tokens, smoothed.
    rate_meter ends;
    std::unordered_map<object_id, rate_meter> accountGrants;
    std::uint64_t digestSerial = 0;
};

} // namespace marjoramloom
