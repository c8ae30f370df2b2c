#pragma once

#include "control_network.h"
#include "layout.h"

#include "marjoramloom/call/hedge_policy.h"
#include "marjoramloom/share/cost_estimator.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/share_ledger.h"

#include <optional>

namespace marjoramloom::bench {

/// Periods and limits that the routers run with.
struct control_settings
{
    double reportedShare = 0.25; ///< Smallest growth of use that is reported, as a fraction of the charge.
    double tokensPerSample = 24; ///< Tokens between two observations of a request's pace.
    duration reportPeriod = std::chrono::milliseconds(200); ///< Of the use of running requests, and their pace.
    duration digestPeriod = std::chrono::milliseconds(500); ///< Of totals and digests.
    duration decidePeriod = std::chrono::milliseconds(20); ///< Passes without news.
    duration loadReportAge = std::chrono::seconds(2); ///< Engines' own reports are that late.
    duration hedgeWait = std::chrono::seconds(1); ///< A hedge is granted by then, or not at all.
    double hedgeBudget = 0.05; ///< Hedges as a part of calls.
};

/// Requests wait in their routers until a dispatcher grants them an engine: the real decision code, with the tickets
/// split among dispatchers as the layout says. Not thread safe.
template<dispatch_layout Layout>
class dispatched_policy
{
public:
    using refusal_listener = std::function<void(live_request &)>;

    explicit dispatched_policy(fleet &where);

    auto start() -> void;
    auto setRefusalListener(refusal_listener listener) -> void;
    auto submit(live_request &asked) -> void;
    auto onFirstToken(live_request &asked, place_key place) -> void;
    auto onFinished(live_request &done, place_key place) -> void;

private:
    /// What one router keeps, apart from its requests.
    struct router_state
    {
        share_ledger ledger;
        cost_estimator costs;
        std::unique_ptr<hedge_policy> hedges;
        std::uint64_t totalsSent = 0; ///< Serial of the ledger.
        std::uint64_t lastSerial = 0; ///< Of tickets.
    };

    struct waiting_ticket
    {
        request_key request = 0;
        std::size_t domain = 0;
        bool hedge = false;
    };

    /// A request's place on an engine, as its router accounts for it.
    struct held_place
    {
        ticket_id id;
        std::size_t domain = 0; ///< Whose dispatcher granted it.
        request_key request = 0;
        bool hedge = false;
        double costBefore = 0; ///< Weighted tokens that the request had used before it got here.
        double charged = 0; ///< Weighted tokens at its grant.
        double reportedCost = 0; ///< What its dispatcher was told.
        double sampledTokens = 0; ///< Generated at the last report.
        time_point sampledAt;
    };

    auto makeDomain(std::size_t index) -> void;
    auto domainOfPool(const pool_id &pool) const -> std::size_t;
    auto estimate(const live_request &asked) -> double;
    auto submitTicket(live_request &asked, bool hedge, std::vector<object_id> excluded) -> void;
    auto receive(std::uint32_t to, const std::vector<control_message> &messages) -> void;
    auto handle(std::uint32_t at, const submit_message &message) -> void;
    auto handle(std::uint32_t at, const withdraw_message &message) -> void;
    auto handle(std::uint32_t at, const progress_message &message) -> void;
    auto handle(std::uint32_t at, const settle_message &message) -> void;
    auto handle(std::uint32_t at, const digest_message &message) -> void;
    auto handle(std::uint32_t at, const sample_message &message) -> void;
    auto handle(std::uint32_t at, const grant &message) -> void;
    auto handle(std::uint32_t at, const refusal &message) -> void;
    auto handle(std::uint32_t at, const suspension &message) -> void;
    auto handle(std::uint32_t at, const pull_request &message) -> void;
    auto handle(std::uint32_t at, const service_total &message) -> void;
    auto decide(std::size_t domain) -> void;
    auto decideHostedBy(std::uint32_t router) -> void;
    auto suspend(place_key place) -> void;
    auto drop(place_key place) -> void;
    auto armHedge(request_key request, place_key place) -> void;
    auto countUse(live_request &asked) -> void;
    auto reportUse() -> void;
    auto samplePace(place_key place, held_place &held) -> void;
    auto sendDigests() -> void;
    auto sendTotals(std::uint32_t router) -> void;
    auto sendLoadReports() -> void;
    auto repeat(duration period, std::function<void()> action) -> void;

    fleet &m_fleet;
    control_settings m_settings;
    control_network m_network;
    refusal_listener m_refused;
    std::vector<router_state> m_routers;
    std::vector<dispatch_domain> m_domains;
    std::vector<std::unique_ptr<dispatcher>> m_dispatchers; ///< By domain.
    std::map<pool_id, std::size_t> m_domainByPool;
    std::map<ticket_id, waiting_ticket> m_waiting;
    std::map<place_key, held_place> m_held;
    std::map<ticket_id, place_key> m_placeByTicket;
    std::multimap<request_key, place_key> m_placesByRequest;
    std::map<request_key, double> m_counted; ///< Weighted tokens that are in its router's total.
};

} // namespace marjoramloom::bench

#include "dispatched_policy.inl"
