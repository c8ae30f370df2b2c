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

/// State of a dispatcher and the steps of one pass. Not thread safe.
struct dispatcher::state
{
    state(pool_id ownPool, dispatcher_settings chosenSettings, share_ledger &sharedLedger);

    // Steps of a pass.
    auto refuseExpired(time_point now) -> void;
    auto markBackloggedAccounts(time_point now) -> void;
    auto capDebtAfterPartition(time_point now) -> void;
    auto grantFreeSlots(time_point now) -> void;
    auto suspendForShortWork(time_point now) -> void;
    auto requestTickets(time_point now) -> void;

    /// Remove and return waiting tickets for another pool: of one account, or of the accounts with the lowest virtual
    /// service.
    auto release(object_id account, std::uint32_t tickets, bool shortOnly, time_point now) -> std::vector<ticket>;
    auto releaseFromLowest(std::uint32_t tickets, bool shortOnly, time_point now) -> std::vector<ticket>;

    // Queries and helpers of the steps.
    [[nodiscard]] auto service(object_id account) const -> double;
    [[nodiscard]] auto serviceFloor(time_point now) const -> std::optional<double>;
    [[nodiscard]] auto debtLimit(time_point now) const -> double;
    [[nodiscard]] auto queueLimitOf(object_id account) const -> std::uint32_t;
    [[nodiscard]] auto reservedSlots(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto queueSeconds(time_point now) const -> double;
    [[nodiscard]] auto expectedWait(object_id account, time_point now) const -> std::optional<duration>;
    [[nodiscard]] auto starvationLimit(object_id account, time_point now) const -> duration;
    [[nodiscard]] auto typicalCharge() const -> double;
    [[nodiscard]] auto shortAllowance() const -> double;
    auto refuse(const ticket &waiting, refusal_reason reason, time_point now) -> void;
    auto takeWaiting(ticket_id id, time_point now) -> std::optional<ticket>;
    auto updateOrder(object_id account) -> void;
    auto grantStarving(time_point now) -> void;
    auto grantFrom(const grant_order::queue_id &selected, time_point now) -> bool;
    [[nodiscard]] auto chooseLongTicket(const account_queue::ticket_map &tickets, time_point now) -> const ticket &;
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
    grant_order order; ///< Order of the current pass.
    std::map<object_id, std::uint32_t> queueLimits;
    dispatch_decisions decisions; ///< Decisions since the end of the last pass.
    std::optional<double> lastGrantedVirtualService; ///< Virtual service of the account that was granted last.
    std::optional<time_point> firstPassAt;
    std::optional<time_point> rejoinedAt; ///< Time at which another pool's digests resumed after a partition.
    std::optional<time_point> lastShortArrival;
    rate_meter shortArrivals;
    double starvationCredit = 0; ///< Number of grants that may be made out of order.
    double meanCharge = 0; ///< Moving average of the charges of grants, in weighted tokens.
    double meanLongCharge = 0; ///< The same for long work only.
    rate_meter completions;
    std::unordered_map<object_id, rate_meter> accountGrants;
    std::uint64_t digestSerial = 0;
};

} // namespace marjoramloom
