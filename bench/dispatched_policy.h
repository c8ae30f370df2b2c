#pragma once

#include "control_network.h"
#include "layout.h"

#include "marjoramloom/call/hedge_policy.h"
#include "marjoramloom/share/cost_estimator.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/share_ledger.h"

#include <optional>

namespace marjoramloom::bench {

/// Periods and limits of the simulated routers.
struct control_settings
{
    double minReportedGrowth = 0.25; ///< Of the cost, as a fraction of the cost charged at the grant.
    double tokensPerSample = 24; ///< Least generated tokens between two pace samples of a request.
    duration reportPeriod = std::chrono::milliseconds(200); ///< Of the cost and the pace of running requests.
    duration digestPeriod = std::chrono::milliseconds(500); ///< Of service totals, digests and load reports.
    duration decisionPeriod = std::chrono::milliseconds(20); ///< Of decisions that no message triggers.
    duration loadReportAge = std::chrono::seconds(2); ///< Delay until an engine's load report arrives.
    duration hedgeWait = std::chrono::seconds(1); ///< Longest wait of a hedge for its grant.
    double hedgeBudget = 0.05; ///< Hedges as a fraction of calls.
};

/// Requests wait in their routers until a dispatcher grants them an engine. Runs the decision code of the routers; the
/// layout splits tickets among dispatchers. Not thread safe.
template<dispatch_layout Layout>
class dispatched_policy
{
public:
    using refusal_listener = std::function<void(live_request &)>;

    explicit dispatched_policy(fleet &simulatedFleet);

    auto start() -> void;
    auto setRefusalListener(refusal_listener listener) -> void;
    auto submit(live_request &request) -> void;
    auto onFirstToken(live_request &request, attempt_key attemptKey) -> void;
    auto onFinished(live_request &request, attempt_key attemptKey) -> void;

private:
    /// State of one router, apart from its requests.
    struct router_state
    {
        share_ledger ledger;
        cost_estimator costs;
        std::unique_ptr<hedge_policy> hedges;
        std::uint64_t lastSentTotalsSerial = 0; ///< Ledger serial of the service totals last sent.
        std::uint64_t lastTicketSerial = 0;
    };

    /// A ticket that was submitted and neither granted nor refused.
    struct waiting_ticket
    {
        request_key request = 0;
        std::size_t domain = 0;
        bool isHedge = false;
    };

    /// The router's accounts of an attempt on an engine.
    struct granted_attempt
    {
        ticket_id id;
        std::size_t domain = 0; ///< Its dispatcher granted the attempt.
        request_key request = 0;
        bool isHedge = false;
        double costBefore = 0; ///< Weighted tokens that the request had used before this attempt.
        double chargedCost = 0; ///< Weighted tokens at its grant.
        double reportedCost = 0; ///< Cost last reported to the dispatcher.
        double sampledTokens = 0; ///< Generated up to the last pace sample.
        time_point sampledAt;
    };

    auto createDispatcher(std::size_t index) -> void;
    auto domainOfPool(const pool_id &pool) const -> std::size_t;
    auto estimateRemainingCost(const live_request &request) -> double;
    auto submitTicket(live_request &request, bool isHedge, std::vector<object_id> excluded) -> void;
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
    auto decideHostedDomains(std::uint32_t router) -> void;
    auto suspendAttempt(attempt_key attemptKey) -> void;
    auto settleAttempt(attempt_key attemptKey) -> void;
    auto armHedge(request_key requestKey, attempt_key attemptKey) -> void;
    auto countServiceUsed(live_request &request) -> void;
    auto reportUsage() -> void;
    auto samplePace(attempt_key attemptKey, granted_attempt &attempt) -> void;
    auto sendDigests() -> void;
    auto sendServiceTotals(std::uint32_t router) -> void;
    auto sendLoadReports() -> void;
    auto schedulePeriodically(duration period, std::function<void()> action) -> void;

    fleet &m_fleet;
    control_settings m_settings;
    control_network m_network;
    refusal_listener m_refusalListener;
    std::vector<router_state> m_routers;
    std::vector<dispatch_domain> m_domains;
    std::vector<std::unique_ptr<dispatcher>> m_dispatchers; ///< By domain.
    std::map<pool_id, std::size_t> m_domainByPool;
    std::map<ticket_id, waiting_ticket> m_waitingTickets;
    std::map<attempt_key, granted_attempt> m_grantedAttempts;
    std::map<ticket_id, attempt_key> m_attemptByTicket;
    std::multimap<request_key, attempt_key> m_attemptsByRequest;
    std::map<request_key, double> m_countedCost; ///< Weighted tokens that the router's ledger includes, by request.
};

} // namespace marjoramloom::bench

#include "dispatched_policy.inl"
