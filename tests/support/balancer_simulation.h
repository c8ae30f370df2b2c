#pragma once

#include "marjoramloom/gateway/decisions/rotation_policy.h"
#include "marjoramloom/gateway/decisions/router_use_meter.h"

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace marjoramloom::testing {

/// How the simulated balancer assigns a client to one of the routers in rotation.
enum class client_hash {
    modulo, ///< A change of the rotation moves most clients.
    rendezvous, ///< A change of the rotation moves only the clients of the routers that changed.
};

/// Simulation of one data centre's load balancer, its routers and their clients on a manual clock.
///
/// The balancer asks every router for its readiness once a second and takes it out of rotation after two misses. If
/// less than half of the routers are in rotation, it uses all. A client's connections go to one router by a hash;
/// each retry hashes again. Requests are amounts, not single events. Not thread safe.
class balancer_simulation
{
public:
    /// A client with a constant rate of requests, each on a new connection, from `from` until `until`.
    struct client
    {
        std::string name;
        double perSecond = 0;
        duration from{};
        duration until = std::chrono::hours(1);
        double asked = 0; ///< Requests so far.
        double served = 0; ///< Of those.
    };

    using decide = std::function<rotation_policy::decision(const router_use &own, const std::vector<router_use> &others,
                                                           std::size_t routers, time_point now)>;

    /// \p makePolicy makes the policy of each router, of which \p cores lists the sizes.
    balancer_simulation(const std::vector<double> &cores, std::function<decide()> makePolicy, client_hash hash,
                        std::uint64_t seed);

    /// Plays \p length of time.
    auto play(duration length) -> void;

    /// Number of routers that are not in rotation at present.
    [[nodiscard]] auto outOfRotation() const -> std::size_t;

    std::vector<client> clients;
    bool reportsArrive = true; ///< Whether the routers hear each other.
    int maxAttempts = 3; ///< Of a request, each on a new connection.
    std::size_t mostOutOfRotation = 0; ///< So far.
    std::size_t mostUnready = 0; ///< So far.
    std::size_t rotationChanges = 0; ///< Routers taken out or back, so far.
    std::size_t mostReturnsInOneSecond = 0; ///< Routers that came back within one second, so far.

    /// Processor time of a request on a new connection, in seconds of a core.
    static constexpr double REQUEST_COST = 0.34e-3;
    /// The same for a connection that is closed unread.
    static constexpr double REFUSAL_COST = 0.017e-3;

private:
    struct simulated_router
    {
        router_use use;
        decide policy;
        std::deque<router_use> reports; ///< Oldest first.
        bool ready = true;
        int misses = 0;
        bool inRotation = true;
        double budget = 0; ///< Seconds of a core left in this step.
        router_use_meter meter{ 1 };
        process_totals totals;
    };

    auto serveStep() -> void;
    auto route(const client &client, int attempt) const -> std::size_t;
    auto updateTargets() -> void;
    auto measure() -> void;
    auto checkReadiness(std::size_t index) -> void;

    std::vector<simulated_router> m_routers;
    client_hash m_hash;
    std::uint64_t m_seed;
    time_point m_start{ std::chrono::seconds(1'000) };
    time_point m_now = m_start;
    std::deque<time_point> m_returns;
    std::vector<std::vector<std::size_t>> m_targets; ///< Router of each client by attempt, as of the rotation below.
    std::size_t m_targetsRotation = 0; ///< Value of rotationChanges.
};

} // namespace marjoramloom::testing
