#include "marjoramloom/gateway/decisions/rotation_policy.h"
#include "support/balancer_simulation.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <memory>

using namespace marjoramloom;
using namespace marjoramloom::testing;
using namespace std::chrono_literals;

namespace {

/// 10 routers of 0.09 of a core, 3 of 0.3 and 2 of 0.5.
const auto mixedSizes = std::vector<double>{ .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .3, .3, .3, .5, .5 };
const auto oneLarge = std::vector<double>{ .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .09, .5 };
const auto equalSmall = std::vector<double>(15, .12);
constexpr auto floodLength = 30s;

struct flood_result
{
    double servedOfFloods = 0; ///< Fractions.
    double servedOfOthers = 0;
    std::size_t mostOut = 0;
    std::size_t mostReturnsInOneSecond = 0;
    std::size_t rotationChanges = 0;
    std::size_t outAtEnd = 0; ///< A minute after the flood.
};

enum class rotation_rule {
    none, ///< Every router is always ready.
    shared,
};

/// Plays 30 callers of 13.7 requests a second, of which \p floods send 50 times as many for floodLength.
auto playFloods(const std::vector<double> &cores, int floods, rotation_rule rule, bool reportsArrive = true)
    -> flood_result
{
    auto result = flood_result();
    auto asked = 0.0;
    auto askedOfOthers = 0.0;
    constexpr auto seeds = std::uint64_t(6);
    for (auto seed = std::uint64_t(0); seed < 2 * seeds; ++seed) {
        const auto makePolicy = [&]() -> balancer_simulation::decide {
            auto policy = std::make_shared<rotation_policy>();
            return [policy, rule](const auto &own, const auto &others, auto routers, auto now) {
                return rule == rotation_rule::shared ? policy->update(own, others, routers, now)
                                                     : rotation_policy::decision();
            };
        };
        auto simulation =
            balancer_simulation(cores, makePolicy, seed < seeds ? client_hash::modulo : client_hash::rendezvous, seed);
        simulation.reportsArrive = reportsArrive;
        simulation.maxAttempts = 1;
        for (auto index = 0; index < 30; ++index) {
            simulation.clients.push_back({ .name = "client " + std::to_string(index), .perSecond = 13.7 });
        }
        for (auto index = 0; index < floods; ++index) {
            simulation.clients.push_back({ .name = "client " + std::to_string(index),
                                           .perSecond = 49 * 13.7,
                                           .from = 10s,
                                           .until = 10s + floodLength });
        }
        simulation.play(10s + floodLength + 60s);
        for (const auto &client : simulation.clients) {
            const auto isFlood = client.perSecond > 100;
            (isFlood ? result.servedOfFloods : result.servedOfOthers) += client.served;
            (isFlood ? asked : askedOfOthers) += client.asked;
        }
        result.mostOut = std::max(result.mostOut, simulation.mostOutOfRotation);
        result.mostReturnsInOneSecond = std::max(result.mostReturnsInOneSecond, simulation.mostReturnsInOneSecond);
        result.rotationChanges += simulation.rotationChanges;
        result.outAtEnd += simulation.outOfRotation();
    }
    result.servedOfFloods /= asked;
    result.servedOfOthers /= askedOfOthers;
    return result;
}

auto overloadedUse(std::uint64_t router, double cores, time_point now) -> router_use
{
    return { .router = router, .cores = cores, .use = 1, .arrivals = 700, .demand = 3, .measuredAt = now };
}

auto idleUse(std::uint64_t router, double cores, time_point now) -> router_use
{
    return { .router = router, .cores = cores, .use = 0.1, .arrivals = 20, .demand = 0.1, .measuredAt = now };
}

} // namespace

BOOST_AUTO_TEST_SUITE(rotation_policy_test)

// A caller that reached a router of 0.09 of a core was moved to another one of that size after seconds of losses.
BOOST_AUTO_TEST_CASE(the_callers_of_one_flood_get_to_larger_routers)
{
    const auto before = playFloods(mixedSizes, 1, rotation_rule::none);
    const auto after = playFloods(mixedSizes, 1, rotation_rule::shared);
    BOOST_TEST(after.servedOfFloods >= before.servedOfFloods + 0.12);
    BOOST_TEST(after.servedOfOthers >= before.servedOfOthers);
    BOOST_TEST(after.mostOut <= 3U);
    BOOST_TEST(after.mostReturnsInOneSecond <= 1U);
    BOOST_TEST(after.outAtEnd == 0U);
    // At most the three that leave and return, of each of the 12 plays.
    BOOST_TEST(after.rotationChanges <= 12U * 6);
}

BOOST_AUTO_TEST_CASE(three_floods_and_one_large_router_among_small_ones)
{
    for (const auto &cores : { mixedSizes, oneLarge }) {
        for (const auto floods : { 1, 3 }) {
            BOOST_TEST_CONTEXT(floods << " floods at " << cores[10] << " to " << cores[14])
            {
                const auto before = playFloods(cores, floods, rotation_rule::none);
                const auto after = playFloods(cores, floods, rotation_rule::shared);
                BOOST_TEST(after.servedOfFloods >= before.servedOfFloods - 0.03);
                BOOST_TEST(after.mostOut <= 3U);
                BOOST_TEST(after.mostReturnsInOneSecond <= 1U);
                BOOST_TEST(after.outAtEnd == 0U);
            }
        }
    }
}

// Routers that leave a fleet without room take away processor time that the others lack.
BOOST_AUTO_TEST_CASE(a_full_fleet_keeps_its_routers)
{
    for (const auto &cores : { mixedSizes, oneLarge, equalSmall }) {
        const auto before = playFloods(cores, 14, rotation_rule::none);
        const auto after = playFloods(cores, 14, rotation_rule::shared);
        BOOST_TEST(after.servedOfFloods >= before.servedOfFloods - 0.03);
        BOOST_TEST(after.servedOfOthers >= before.servedOfOthers - 0.03);
        BOOST_TEST(after.mostOut <= 3U);
    }
}

// The next router would be as small: a caller that is moved among equal ones gains nothing.
BOOST_AUTO_TEST_CASE(equal_routers_stay)
{
    for (const auto floods : { 1, 3, 14 }) {
        BOOST_TEST(playFloods(equalSmall, floods, rotation_rule::shared).rotationChanges == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_hears_no_other_decides_alone_and_returns)
{
    const auto alone = playFloods(mixedSizes, 1, rotation_rule::shared, false);
    BOOST_TEST(alone.rotationChanges > 0U);
    BOOST_TEST(alone.outAtEnd == 0U);
}

// Two that leave in the same moment do not know of each other's claim yet.
BOOST_AUTO_TEST_CASE(of_two_routers_that_claim_at_once_one_stays)
{
    auto policies = std::array<rotation_policy, 2>();
    auto uses = std::array<router_use, 2>();
    auto reports = uses; // What each has heard of the other, one update ago.
    auto absentTogether = duration();
    auto now = time_point(100s);
    for (; now < time_point(110s); now += 250ms) {
        for (auto index = std::size_t(0); index < 2; ++index) {
            uses[index] = overloadedUse(index + 1, 0.09, now);
            auto other = reports[1 - index];
            // The age of a report is known with an error, in which each takes its own claim for the older one.
            other.reasonSince += 10ms;
            const auto heard = std::vector{ other, idleUse(3, 0.5, now), idleUse(4, 0.5, now) };
            const auto decision = policies[index].update(uses[index], heard, 4, now);
            uses[index].reason = decision.reason;
            uses[index].reasonSince = decision.reasonSince;
            uses[index].isAbsent = decision.isAbsent;
        }
        absentTogether += uses[0].isAbsent && uses[1].isAbsent ? 250ms : 0ms;
        reports = uses;
    }
    BOOST_TEST((uses[0].isAbsent != uses[1].isAbsent));
    // Less than the two misses of the balancer.
    BOOST_TEST((absentTogether <= 500ms));
}

BOOST_AUTO_TEST_CASE(unavailable_routers_count_as_absent_and_old_reports_do_not)
{
    const auto now = time_point(100s);
    const auto isAbsent = [&](time_point reported) {
        auto policy = rotation_policy();
        auto stopping = idleUse(2, 0.5, now);
        stopping.reason = absence_reason::unavailable;
        stopping.isAbsent = true;
        stopping.measuredAt = reported;
        auto result = false;
        for (auto time = now; time < now + 2s; time += 250ms) {
            const auto heard = std::vector{ stopping, idleUse(3, 0.5, time), idleUse(4, 0.5, time) };
            result = policy.update(overloadedUse(1, 0.09, time), heard, 4, time).isAbsent;
        }
        return result;
    };
    BOOST_TEST(!isAbsent(now));
    BOOST_TEST(isAbsent(now - rotation_policy::MAX_REPORT_AGE));
}

BOOST_AUTO_TEST_CASE(a_router_acts_on_growing_arrivals_before_it_refuses_any)
{
    auto meter = router_use_meter(0.09);
    auto totals = process_totals();
    auto now = time_point(100s);
    auto perSecond = 50.0;
    // Arrivals grow by 100 a second in each second, to 257 a second, where the router is at its quota.
    auto demandAtHalfUse = 0.0;
    for (auto period = 0; period < 9; ++period) {
        meter.update(totals, now);
        if (meter.use().use < 0.65) {
            demandAtHalfUse = meter.use().demand;
        }
        now += router_use_meter::PERIOD;
        perSecond += 25;
        totals.arrivals += perSecond / 4;
        totals.cpuSeconds += perSecond / 4 * 0.35e-3;
    }
    BOOST_TEST(demandAtHalfUse >= rotation_policy::LEAVE_DEMAND);
    BOOST_TEST(std::abs(meter.connectionCost() - 0.35e-3) < 1e-5);
}

BOOST_AUTO_TEST_SUITE_END()
