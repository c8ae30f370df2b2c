#pragma once

#include "fleet.h"

namespace marjoramloom::bench {

/// Chooses engines for requests, and hears what became of them.
template<typename Policy>
concept engine_policy = requires(Policy &policy, live_request &asked, place_key place)
{
    policy.start();
    policy.submit(asked);
    policy.onFirstToken(asked, place);
    policy.onFinished(asked, place);
};

/// Arrivals and disturbances of a scenario, for any policy. Not thread safe.
class demand_source
{
public:
    /// \p submit gets each new request. Precondition: \p where outlives the source.
    demand_source(fleet &where, const scenario &what, std::function<void(live_request &)> submit);

    /// Plans the first arrivals and slowdowns.
    auto start() -> void;

    /// A request is over; where work is kept outstanding, the next one follows.
    auto replace(const live_request &done, bool refused) -> void;

private:
    auto planArrivals(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void;
    auto arrive(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void;
    auto callsPerSecond(const arrival_rule &rule) const -> double;
    auto crest() const -> bool;
    auto fillBacklog() -> void;
    auto fillLongBacklog() -> void;
    auto submitNew(std::size_t account, std::size_t kind, random_source &random) -> void;
    auto chooseRouter(std::size_t account, random_source &random) -> std::uint32_t;
    auto isLarge(std::size_t account) const -> bool;
    auto slowEngines() -> void;

    fleet &m_fleet;
    const scenario &m_scenario;
    std::function<void(live_request &)> m_submit;
    random_source m_arrivals; ///< The same requests at the same times under every policy.
    random_source m_replacements;
    random_source m_slowdowns;
};

/// Whether a class belongs to a rule.
auto includes(const arrival_rule &rule, const request_class &candidate) -> bool;

/// Runs one scenario under one policy.
template<engine_policy Policy>
auto simulate(const deployment &where, const scenario &what) -> run_results
{
    constexpr auto samplePeriod = std::chrono::milliseconds(10);
    auto simulated = fleet(where);
    auto policy = Policy(simulated);
    auto demand = demand_source(simulated, what, [&](live_request &asked) { policy.submit(asked); });
    auto listener = place_listener();
    listener.firstToken = [&](request_key key, place_key place) {
        if (auto *asked = simulated.request(key)) {
            policy.onFirstToken(*asked, place);
        }
    };
    listener.finished = [&](request_key key, place_key place) {
        if (auto *asked = simulated.request(key)) {
            policy.onFinished(*asked, place);
            const auto done = *asked;
            simulated.finish(*asked, false);
            demand.replace(done, false);
        }
    };
    simulated.setListener(listener);
    if constexpr (requires { policy.setRefusalListener([](live_request &) {}); }) {
        policy.setRefusalListener([&](live_request &asked) {
            const auto done = asked;
            simulated.finish(asked, true);
            demand.replace(done, true);
        });
    }
    policy.start();
    demand.start();
    auto &queue = simulated.queue();
    queue.runUntil(queue.now() + fromSeconds(what.warmUpSeconds));
    simulated.startMeasuring();
    const auto end = queue.now() + fromSeconds(what.seconds);
    while (queue.now() < end) {
        simulated.recordSamples();
        queue.runUntil(std::min(end, queue.now() + samplePeriod));
    }
    simulated.results().seconds = what.seconds;
    return std::move(simulated.results());
}

} // namespace marjoramloom::bench
