#pragma once

#include "support/balancer_simulation.h"
#include "support/fair_rule_checker.h"

#include "marjoramloom/gateway/decisions/connection_admission.h"
#include "marjoramloom/gateway/decisions/router_use_meter.h"
#include "marjoramloom/gateway/decisions/tunnel_choice.h"

#include <boost/random/mersenne_twister.hpp>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace marjoramloom::testing {

/// How the simulated routers decide about new connections.
enum class connection_gates {
    pacing, ///< connection_pacing alone: what it does not accept is closed unread, and its caller repeats it at once.
    tunnels, ///< connection_admission and tunnel_choice.
};

/// What an account asks for.
struct way_account
{
    std::string name;
    double perSecond = 0; ///< Requests without repeated ones, each on a new connection.
    bool isSpread = false; ///< Whether its callers reach all routers, or one by a hash.
    duration from{}; ///< Since the start of the simulation.
};

/// One data centre on a manual clock: the balancer, routers that can be full, and behind them engines that can be.
///
/// The decisions about connections are those of the routers' own classes. The engines begin what reaches them up to
/// their capacity, which they share by max-min over the accounts. A caller repeats a request once after a failure, at
/// the same router. Not thread safe.
class fair_way_simulation
{
public:
    /// Time between two steps. A router that has refused a connection accepts the next one in the next step.
    static constexpr duration STEP = std::chrono::milliseconds(4);
    /// Seconds of a core that a router needs to serve a request on a new connection.
    static constexpr double SERVE_COST = 0.34e-3;
    /// The same to pass a connection on to another router.
    static constexpr double TUNNEL_COST = SERVE_COST / 3;
    /// The same to close it unread.
    static constexpr double CLOSE_COST = 0.017e-3;
    /// The same to refuse it with an answer.
    static constexpr double REFUSAL_COST = 2 * CLOSE_COST;
    /// Mean of the sizes of requests, in tokens.
    static constexpr double MEAN_TOKENS = (9'200 + 2'400 + 700) / 3.0;

    /// \p cores lists the sizes of the routers, \p tokensPerSecond is the capacity of the engines. Precondition: there
    /// is a router, and all are positive.
    fair_way_simulation(connection_gates gates, client_hash hash, const std::vector<double> &cores,
                        std::vector<way_account> accounts, double tokensPerSecond, std::uint64_t seed);

    /// Plays \p length of time.
    auto play(duration length) -> void;

    /// The router that the callers of \p account reach at present.
    [[nodiscard]] auto routerOf(std::size_t account) const -> std::size_t;

    /// Cuts all routers off from each other: no reports, and tunnels fail.
    auto cutOff() -> void;

    /// Fraction of the processor time of all routers that was used in the last measurement.
    [[nodiscard]] auto routerUse() const -> double;

    fair_rule_checker checker;

private:
    struct request
    {
        std::size_t account = 0;
        std::uint64_t tokens = 0;
        time_point firstAsked{};
        time_point arrivedAt{}; ///< In the accept queue.
        bool isRepeated = false;
        int tunnelAttempts = 0;
    };
    struct failing_tunnel
    {
        std::size_t router = 0;
        std::size_t target = 0;
        request work;
    };
    struct work_item
    {
        request work;
        connection_action action{};
        double seconds = 0; ///< Of a core, left.
        std::size_t target = 0; ///< Of a tunnel.
    };
    struct simulated_router
    {
        double cores = 0;
        connection_pacing pacing;
        connection_admission admission;
        tunnel_choice choice;
        router_use_meter meter{ 1 };
        process_totals totals;
        router_use use;
        std::deque<router_use> reports; ///< Oldest first.
        std::vector<router_use> heard; ///< By index of the router.
        std::deque<request> acceptQueue;
        std::deque<work_item> work;
        double workSeconds = 0; ///< Sum over the work.
        time_point nextIteration{};
        time_point timerDue{};
        duration lastDelay{};
        time_point unreadyUntil{};
        int misses = 0;
        bool isInRotation = true;
    };

    auto ask() -> void;
    auto failTunnels() -> void;
    auto arrive(request arriving) -> void;
    auto miss(request missed, duration returnAfter) -> void;
    auto accept(simulated_router &router) -> void;
    auto openTunnel(simulated_router &router, const request &accepted) -> void;
    auto addWork(simulated_router &router, work_item item) -> void;
    auto doWork(simulated_router &router) -> void;
    auto fireTimer(simulated_router &router) -> void;
    auto beginRequests() -> void;
    auto measure() -> void;
    auto checkReadiness(simulated_router &router) -> void;
    [[nodiscard]] auto eventLoopDelay(const simulated_router &router) const -> duration;
    [[nodiscard]] auto isLargerThanMost(const simulated_router &router) const -> bool;
    [[nodiscard]] auto candidates() const -> std::vector<std::size_t>;

    connection_gates m_gates;
    client_hash m_hash;
    std::vector<way_account> m_accounts;
    double m_tokensPerSecond;
    bool m_isCutOff = false;
    std::uint64_t m_seed;
    boost::random::mt19937_64 m_random;
    time_point m_start{ std::chrono::seconds(1'000) };
    time_point m_now = m_start;
    std::vector<simulated_router> m_routers;
    std::vector<double> m_due; ///< Requests by account.
    std::multimap<time_point, request> m_returning;
    std::multimap<time_point, failing_tunnel> m_failing;
    std::vector<std::deque<request>> m_atEngines; ///< Since the last period, by account.
    std::vector<std::deque<std::uint64_t>> m_begun; ///< Tokens in the last periods, by account.
    double m_engineBudget = 0; ///< Tokens.
};

} // namespace marjoramloom::testing
