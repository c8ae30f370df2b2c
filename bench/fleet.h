#pragma once

#include "engine_fake.h"
#include "results.h"
#include "scenario.h"

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace marjoramloom::bench {

using request_key = std::uint64_t;

/// State of a request from its arrival at a router until it has finished or was refused.
struct live_request
{
    request_key key = 0;
    std::size_t account = 0;
    std::uint32_t router = 0;
    drawn_request drawn;
    std::size_t outcomeIndex = 0; ///< Index in run_results::requests.
    time_point arrived;
    time_point waitingSince;
    double generatedTokens = 0; ///< By earlier, suspended attempts.
    double chargedPromptCost = 0; ///< Weighted prompt tokens; only the first prefill is charged.
    bool isPromptCharged = false;
    bool isComplete = false; ///< Some engine has generated the complete answer.
    std::uint32_t suspensions = 0;
};

/// One execution of a request on an engine. A hedged request can have two at a time.
struct engine_attempt
{
    request_key request = 0;
    std::size_t engine = 0;
    bool isStarted = false;
    bool hasFirstToken = false;
    double promptTokens = 0;
    time_point sentAt;
};

using attempt_key = std::uint64_t;

/// Callbacks for the progress of attempts. They run when the engine's message has reached the request's router.
struct attempt_listener
{
    std::function<void(request_key, attempt_key)> firstToken;
    std::function<void(request_key, attempt_key)> finished;
};

/// Simulates the engines and the network, and records measurements. Independent of the policy that chooses engines.
/// Not thread safe.
class fleet
{
public:
    /// Precondition: \p deployment outlives the fleet.
    explicit fleet(const deployment_settings &deployment);

    [[nodiscard]] auto queue() -> event_queue &
    {
        return m_queue;
    }

    [[nodiscard]] auto deployment() const -> const deployment_settings &
    {
        return m_deployment;
    }

    auto setListener(attempt_listener listener) -> void;

    /// Engines are numbered across services: those of the model first, then the order servers.
    [[nodiscard]] auto engineCount(service_index service) const -> std::size_t;
    [[nodiscard]] auto engineNumber(service_index service, std::size_t index) const -> std::size_t;
    [[nodiscard]] auto engine(std::size_t number) -> engine_fake &;
    [[nodiscard]] auto engine(std::size_t number) const -> const engine_fake &;
    [[nodiscard]] auto dataCentreOfEngine(std::size_t number) const -> std::uint32_t;
    [[nodiscard]] auto dataCentreOfRouter(std::uint32_t router) const -> std::uint32_t;
    [[nodiscard]] auto routerCount() const -> std::uint32_t;

    /// One-way latency between two data centres, including the local network.
    [[nodiscard]] auto latency(std::uint32_t from, std::uint32_t to) const -> duration;

    /// Adds a request that arrives at its router now and waits from now on.
    auto makeRequest(std::size_t account, std::uint32_t router, const drawn_request &drawn) -> live_request &;
    [[nodiscard]] auto request(request_key key) -> live_request *;
    [[nodiscard]] auto classOf(const live_request &request) const -> const request_class &;

    /// Sends a request to an engine, which receives it after the network latency.
    auto startAttempt(live_request &request, std::size_t engine) -> attempt_key;
    [[nodiscard]] auto findAttempt(attempt_key key) -> engine_attempt *;

    /// Cancels an attempt. Where \p isRequeued, the tokens it generated are kept and the request waits again.
    auto cancelAttempt(attempt_key key, bool isRequeued) -> void;

    /// Weighted tokens that the request has used so far. Of concurrent attempts, the one that generated most counts.
    [[nodiscard]] auto costOf(const live_request &request) -> double;

    /// Records the outcome, cancels remaining attempts and removes the request.
    auto finish(live_request &request, bool refused) -> void;

    /// Attempts that have neither finished nor been cancelled.
    [[nodiscard]] auto activeAttempts() const -> const std::map<attempt_key, engine_attempt> &;

    /// Records the load now, and the service received by each account at every 50th call.
    auto recordSamples() -> void;

    /// Ends the warm-up: clears the counters and starts the measured time.
    auto startMeasuring() -> void;
    [[nodiscard]] auto results() -> run_results &;
    /// -1 during the warm-up.
    [[nodiscard]] auto secondsSinceWarmUp() const -> double;

private:
    auto addEngines(service_index service, std::size_t count, const engine_settings &settings) -> void;
    auto onStarted(attempt_key key) -> void;
    auto onFirstToken(attempt_key key, double cachedTokens) -> void;
    auto onFinished(attempt_key key) -> void;
    auto countGeneratedTokens(const live_request &request, double tokens) -> void;
    auto markWaiting(live_request &request) -> void;

    const deployment_settings &m_deployment;
    event_queue m_queue;
    std::vector<std::unique_ptr<engine_fake>> m_engines;
    std::map<request_key, live_request> m_requests;
    std::map<attempt_key, engine_attempt> m_attempts;
    std::multimap<request_key, attempt_key> m_attemptsByRequest;
    std::set<std::pair<time_point, request_key>> m_waiting; ///< Requests for the model that no engine runs.
    std::vector<double> m_finishedService; ///< Weighted tokens of removed requests, by account.
    attempt_listener m_listener;
    run_results m_results;
    request_key m_lastRequest = 0;
    attempt_key m_lastAttempt = 0;
    bool m_isMeasuring = false;
    time_point m_measuringSince;
};

} // namespace marjoramloom::bench
