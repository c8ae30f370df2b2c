#pragma once

#include "support/fair_rule_checker.h"
#include "support/fair_way_simulation.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <vector>

namespace marjoramloom::testing {

using namespace std::chrono_literals;

/// 10 routers of 0.09 of a core, 3 of 0.3 and 2 of 0.5.
inline const auto mixedSizes =
    std::vector<double>{ .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .3, .3, .3, .5, .5 };
inline const auto equalSizes = std::vector<double>(8, .3);

/// 50 routers of 0.12 of a core and 3 of 0.5.
inline auto manySizes() -> std::vector<double>
{
    auto cores = std::vector<double>(50, .12);
    cores.insert(cores.end(), 3, .5);
    return cores;
}

constexpr auto hashes = { client_hash::modulo, client_hash::rendezvous };
constexpr auto seeds = 10U;
constexpr auto floodStart = 3s;
constexpr auto length = 20s;

/// Accounts whose callers each reach one router, from floodStart on, beside a large one and small ones.
struct scenario
{
    std::vector<double> cores;
    double largePerSecond = 0;
    int floods = 0;
    double floodPerSecond = 0;
    double tokensPerSecond = 0; ///< Of the engines.
};

/// As in the users' report: 700 requests a second behind one router, and an account that gets some more.
inline const auto oneFlood = scenario{ .cores = mixedSizes,
                                       .largePerSecond = 1'100,
                                       .floods = 1,
                                       .floodPerSecond = 700,
                                       .tokensPerSecond = 8e6 };
inline const auto threeFloods = scenario{ .cores = mixedSizes,
                                          .largePerSecond = 1'000,
                                          .floods = 3,
                                          .floodPerSecond = 500,
                                          .tokensPerSecond = 8e6 };

inline auto play(const scenario &played, connection_gates gates, client_hash hash, std::uint64_t seed)
    -> fair_rule_checker
{
    auto accounts =
        std::vector<way_account>{ { .name = "large", .perSecond = played.largePerSecond, .isSpread = true } };
    for (auto index = 0; index < played.floods; ++index) {
        accounts.push_back(
            { .name = "flood " + std::to_string(index), .perSecond = played.floodPerSecond, .from = floodStart });
    }
    for (auto index = 0; index < 20; ++index) {
        accounts.push_back({ .name = "small " + std::to_string(index), .perSecond = 20 });
    }
    auto simulation = fair_way_simulation(gates, hash, played.cores, accounts, played.tokensPerSecond, seed);
    simulation.play(length);
    return simulation.checker;
}

/// The rule is required of these. The earlier ones, which show what callers saw before, are played by hand with the
/// environment variable FAIR_WAY_PACING.
inline auto presentGates() -> connection_gates
{
    return std::getenv("FAIR_WAY_PACING") == nullptr ? connection_gates::tunnels : connection_gates::pacing;
}

/// Plays \p played with several seeds and both hashes, on which the routers depend that the accounts reach.
inline auto requireFair(const scenario &played) -> void
{
    for (const auto hash : hashes) {
        for (auto seed = 1U; seed <= seeds; ++seed) {
            BOOST_TEST_CONTEXT("hash " << static_cast<int>(hash) << ", seed " << seed)
            {
                const auto breaches = play(played, presentGates(), hash, seed).breaches(0s, length);
                BOOST_TEST(breaches.empty(), describe(breaches));
            }
        }
    }
}

/// Plays one account with \p perSecond requests a second that reaches the first router. From a moment on no router
/// reaches another one. Then the account gets in each second at least half of what the processor time of the first
/// router serves beside one refusal in each pause after one. Precondition: no router that the account moves to is
/// smaller.
inline auto requireServed(const std::vector<double> &cores, double perSecond) -> void
{
    constexpr auto cut = 6s;
    const auto refusals = 1 / toSeconds(fair_way_simulation::STEP);
    const auto smallest =
        (cores.front() - refusals * fair_way_simulation::REFUSAL_COST) / fair_way_simulation::SERVE_COST / 2;
    auto plays = 0;
    for (auto seed = 1U; seed <= 3 * seeds; ++seed) {
        auto simulation = fair_way_simulation(presentGates(), client_hash::rendezvous, cores,
                                              { { .name = "flood", .perSecond = perSecond } }, 1e9, seed);
        if (simulation.routerOf(0) != 0) {
            continue;
        }
        ++plays;
        simulation.play(cut);
        simulation.cutOff();
        simulation.play(length - cut);
        for (auto time = duration(cut); time < length; time += 1s) {
            BOOST_TEST_CONTEXT("seed " << seed << ", " << toSeconds(time) << " s")
            {
                const auto got = static_cast<double>(simulation.checker.got(0, time, time + 1s));
                BOOST_TEST(got >= smallest * fair_way_simulation::MEAN_TOKENS);
            }
        }
    }
    BOOST_TEST(plays > 0);
}

} // namespace marjoramloom::testing
