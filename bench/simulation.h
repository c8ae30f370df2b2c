#pragma once

#include "fleet.h"

namespace marjoramloom::bench {

/// Chooses engines for requests. Optionally has setRefusalListener() for requests that it refuses.
template<typename Policy>
concept engine_policy = requires(Policy &policy, live_request &request, attempt_key attempt)
{
    policy.start();
    policy.submit(request);
    policy.onFirstToken(request, attempt);
    policy.onFinished(request, attempt);
};

/// Generates the requests and slows the engines of a scenario. Not thread safe.
class demand_source
{
public:
    /// \p submit is called with each new request. Precondition: the fleet and the scenario outlive the source.
    demand_source(fleet &simulatedFleet, const scenario_settings &scenario, std::function<void(live_request &)> submit);

    /// Schedules the first arrivals and slowdowns.
    auto start() -> void;

    /// Submits a replacement where the scenario keeps requests outstanding; after a refusal one second later.
    auto onRequestEnded(const live_request &ended, bool refused) -> void;

private:
    auto scheduleNextArrival(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void;
    auto onArrival(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void;
    auto callsPerSecond(const arrival_rule &rule) const -> double;
    auto isCrest() const -> bool;
    auto fillBacklog() -> void;
    auto fillLongBacklog() -> void;
    auto submitRequest(std::size_t account, std::size_t classIndex, random_source &random) -> void;
    auto chooseRouter(std::size_t account, random_source &random) -> std::uint32_t;
    auto isLarge(std::size_t account) const -> bool;
    auto slowEngines() -> void;

    fleet &m_fleet;
    const scenario_settings &m_scenario;
    std::function<void(live_request &)> m_submit;
    random_source m_arrivals; ///< Separate, so that arrivals are the same under every policy.
    random_source m_replacements;
    random_source m_slowdowns;
};

/// Whether requests of a class arrive under a rule.
auto matchesRule(const arrival_rule &rule, const request_class &candidate) -> bool;

/// Runs one scenario with one policy.
template<engine_policy Policy>
auto simulate(const deployment_settings &deployment, const scenario_settings &scenario) -> run_results
{
    constexpr auto samplePeriod = std::chrono::milliseconds(10);
    auto simulatedFleet = fleet(deployment);
    auto policy = Policy(simulatedFleet);
    auto demandSource = demand_source(simulatedFleet, scenario, [&](live_request &request) { policy.submit(request); });
    auto listener = attempt_listener();
    listener.firstToken = [&](request_key key, attempt_key attempt) {
        if (auto *request = simulatedFleet.request(key)) {
            policy.onFirstToken(*request, attempt);
        }
    };
    listener.finished = [&](request_key key, attempt_key attempt) {
        if (auto *request = simulatedFleet.request(key)) {
            policy.onFinished(*request, attempt);
            const auto ended = *request;
            simulatedFleet.finish(*request, false);
            demandSource.onRequestEnded(ended, false);
        }
    };
    simulatedFleet.setListener(listener);
    if constexpr (requires { policy.setRefusalListener([](live_request &) {}); }) {
        policy.setRefusalListener([&](live_request &request) {
            const auto ended = request;
            simulatedFleet.finish(request, true);
            demandSource.onRequestEnded(ended, true);
        });
    }
    policy.start();
    demandSource.start();
    auto &queue = simulatedFleet.queue();
    queue.runUntil(queue.now() + fromSeconds(scenario.warmUpSeconds));
    simulatedFleet.startMeasuring();
    const auto end = queue.now() + fromSeconds(scenario.seconds);
    while (queue.now() < end) {
        simulatedFleet.recordSamples();
        queue.runUntil(std::min(end, queue.now() + samplePeriod));
    }
    simulatedFleet.results().seconds = scenario.seconds;
    return std::move(simulatedFleet.results());
}

} // namespace marjoramloom::bench
