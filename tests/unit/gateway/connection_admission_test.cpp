#include "marjoramloom/gateway/decisions/connection_admission.h"

#include "marjoramloom/gateway/decisions/router_use_meter.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto requestSeconds = 0.35e-3;
constexpr auto smallCores = 0.12;
constexpr auto timerPeriod = 50ms;
/// Requests a second in the served fraction of a router with smallCores.
constexpr auto servedPerSecond = connection_admission::SERVED_FRACTION * smallCores / requestSeconds;

struct outcomes
{
    auto add(connection_action action) -> void
    {
        served += action == connection_action::serve ? 1 : 0;
        tunnelled += action == connection_action::tunnel ? 1 : 0;
        refused += action == connection_action::refuse ? 1 : 0;
    }

    int served = 0;
    int tunnelled = 0;
    int refused = 0;
};

/// A router on a manual clock, at which connections arrive evenly.
class admitting_router
{
public:
    explicit admitting_router(double cores)
    {
        admission.setCapacity(cores, requestSeconds);
    }

    /// Plays \p length with that many arrivals a second, while the timers fire late by \p delay.
    auto play(double perSecond, duration length, bool mayTunnel = true, duration delay = 1ms) -> outcomes
    {
        auto result = outcomes();
        constexpr auto step = 10ms;
        for (auto played = duration(); played < length; played += step) {
            now += step;
            if (now >= m_nextTimer) {
                admission.onTimer(delay, now);
                m_nextTimer = now + timerPeriod;
            }
            for (m_arriving += perSecond * toSeconds(step); m_arriving >= 1; m_arriving -= 1) {
                result.add(admission.decide(true, mayTunnel, now));
            }
        }
        return result;
    }

    connection_admission admission;
    time_point now{ 100s };

private:
    time_point m_nextTimer{ 100s };
    double m_arriving = 0;
};

/// A router on a manual clock whose work delays its timers once it does not fit any more. A tunnel takes a quarter of
/// the time of a request.
auto playLoad(double perSecond, duration length, double &worstWait) -> outcomes
{
    constexpr auto step = 10ms;
    constexpr auto maxQueued = 128.0; // Backlog of the listening socket.
    constexpr auto tunnelFraction = 0.25;
    constexpr auto capacityPerSecond = smallCores / requestSeconds;
    auto admission = connection_admission();
    admission.setCapacity(smallCores, requestSeconds);
    auto result = outcomes();
    auto now = time_point(100s);
    auto nextTimer = now;
    auto nextIteration = now;
    auto queued = 0.0;
    auto work = 0.0;
    const auto delay = [&] {
        return fromSeconds(std::min(0.1, work / capacityPerSecond));
    };
    for (auto played = duration(); played < length; played += step) {
        now += step;
        queued = std::min(maxQueued, queued + perSecond * toSeconds(step));
        if (now >= nextIteration) {
            for (; queued >= 1; queued -= 1) {
                const auto action = admission.decide(true, true, now);
                work += action == connection_action::serve ? 1 : 0;
                work += action == connection_action::tunnel ? tunnelFraction : 0;
                if (played >= length / 2) {
                    result.add(action);
                }
            }
            nextIteration = now + delay();
        }
        work = std::max(0.0, work - capacityPerSecond * toSeconds(step));
        if (played >= length / 2) {
            worstWait = std::max(worstWait, work / capacityPerSecond);
        }
        if (now >= nextTimer) {
            admission.onTimer(delay(), now);
            nextTimer = now + timerPeriod;
        }
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_admission_test)

// Tunnels cost time at two routers, so that a router which can serve a connection itself should.
BOOST_AUTO_TEST_CASE(a_router_within_its_budget_serves_everything_and_tunnels_nothing)
{
    auto router = admitting_router(smallCores);
    const auto result = router.play(0.95 * servedPerSecond, 20s);
    BOOST_TEST(result.tunnelled == 0);
    BOOST_TEST(result.refused == 0);
    BOOST_TEST(result.served >= static_cast<int>(0.94 * servedPerSecond * 20));
    BOOST_TEST(std::isinf(router.admission.servedLimit()));
    BOOST_TEST(std::isinf(router.admission.tunnelLimit()));
}

// The smallest router, of 0.01 of a core, must not tunnel a single caller with a request now and then.
BOOST_AUTO_TEST_CASE(a_tiny_router_serves_a_few_connections_at_once)
{
    auto router = admitting_router(0.01);
    for (auto round = 0; round < 5; ++round) {
        auto result = outcomes();
        for (auto call = 0; call < 4; ++call) {
            result.add(router.admission.decide(true, true, router.now));
        }
        BOOST_TEST(result.served == 4);
        router.now += 2s;
    }
}

// An account got what one small router had processor time for.
BOOST_AUTO_TEST_CASE(connections_beyond_the_budget_are_tunnelled_while_others_have_room)
{
    for (const auto perSecond : { 200.0, 700.0, 2'000.0 }) {
        BOOST_TEST_CONTEXT(perSecond << " connections a second for a budget of " << servedPerSecond)
        {
            auto router = admitting_router(smallCores);
            const auto result = router.play(perSecond, 20s);
            // What is served leaves time to tunnel the rest.
            const auto tunnelSeconds = requestSeconds * router_use_meter::TUNNEL_COST;
            const auto timeToServe = connection_admission::TOTAL_FRACTION * smallCores - perSecond * tunnelSeconds;
            const auto served = std::clamp(timeToServe / (requestSeconds - tunnelSeconds), connection_pacing::MIN_RATE,
                                           servedPerSecond);
            // Before the first arrivals are counted, the served fraction holds.
            const auto first = servedPerSecond * toSeconds(connection_admission::ARRIVAL_PERIOD + timerPeriod);
            const auto burst = servedPerSecond * toSeconds(connection_admission::BURST_TIME);
            BOOST_TEST(result.refused == 0);
            BOOST_TEST(result.served <= served * 20 + first + burst + 1);
            BOOST_TEST(result.served >= served * 20 - burst - 1);
            BOOST_TEST(result.tunnelled >= perSecond * 20 - result.served - 1);
            BOOST_TEST((router.admission.refusingFor(router.now) == 0s));
        }
    }
}

// Where no other router has room, tunnels must cost no connection that was served before them.
BOOST_AUTO_TEST_CASE(with_nobody_to_tunnel_to_it_accepts_what_pacing_alone_accepts)
{
    constexpr auto step = 10ms;
    auto admission = connection_admission();
    admission.setCapacity(smallCores, requestSeconds);
    auto pacing = connection_pacing();
    auto now = time_point(100s);
    auto served = 0;
    auto refused = 0;
    for (auto index = 0; index < 4'000; ++index) {
        now += step;
        // In time, late, very late, in time.
        const auto phase = index / 1'000;
        const auto delay = phase == 1 ? 30ms : phase == 2 ? 90ms : 1ms;
        if (index % 5 == 0) {
            admission.onTimer(delay, now);
            pacing.onTimer(delay, now);
        }
        for (auto arrival = 0; arrival < 1 + index % 13; ++arrival) {
            const auto action = admission.decide(true, false, now);
            const auto isServed = action == connection_action::serve;
            served += isServed ? 1 : 0;
            refused += isServed ? 0 : 1;
            BOOST_REQUIRE(action != connection_action::tunnel);
            BOOST_REQUIRE_EQUAL(isServed, pacing.mayAccept(now));
        }
        BOOST_REQUIRE_EQUAL(admission.servedLimit(), pacing.limit());
        BOOST_REQUIRE((admission.refusingFor(now) == pacing.refusingFor(now)));
    }
    BOOST_TEST(served > 1'000);
    BOOST_TEST(refused > 1'000);
}

// Tunnels cost a quarter of what serving costs: who is late and tunnels less loses the most for the least time.
BOOST_AUTO_TEST_CASE(a_late_router_first_serves_less_and_only_then_tunnels_less)
{
    for (const auto delay : { 30ms, 90ms }) {
        BOOST_TEST_CONTEXT("late by " << delay.count() << " ms")
        {
            auto router = admitting_router(smallCores);
            const auto inTime = router.play(2'000, 1s);
            BOOST_TEST(inTime.served > connection_pacing::MIN_RATE * 0.9);
            auto stepsBeforeTunnelsFell = 0;
            for (auto step = 0; step < 1'000 && std::isinf(router.admission.tunnelLimit()); ++step) {
                const auto late = router.play(2'000, 10ms, true, delay);
                BOOST_REQUIRE_EQUAL(late.refused, 0);
                ++stepsBeforeTunnelsFell;
            }
            BOOST_TEST(!std::isinf(router.admission.tunnelLimit()));
            BOOST_TEST(router.admission.servedLimit() <= 2 * connection_pacing::MIN_RATE);
            BOOST_TEST(stepsBeforeTunnelsFell >= 20);
            const auto later = router.play(2'000, 10s, true, delay);
            BOOST_TEST(later.tunnelled < inTime.tunnelled * 10);
            BOOST_TEST(later.refused > 0);
            // Both go on at the smallest rate, that of tunnels in proportion to the processor time.
            const auto minTunnels = connection_admission::MIN_TUNNEL_FRACTION * smallCores
                / (requestSeconds * router_use_meter::TUNNEL_COST);
            BOOST_TEST(later.served >= connection_pacing::MIN_RATE * 9);
            BOOST_TEST(later.tunnelled >= minTunnels * 9);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_limits_are_lifted_once_the_timers_are_in_time_again)
{
    auto router = admitting_router(smallCores);
    router.play(700, 10s, true, 90ms);
    BOOST_TEST(!std::isinf(router.admission.servedLimit()));
    BOOST_TEST(!std::isinf(router.admission.tunnelLimit()));
    router.play(100, 20s);
    BOOST_TEST(std::isinf(router.admission.servedLimit()));
    BOOST_TEST(std::isinf(router.admission.tunnelLimit()));
    const auto result = router.play(0.95 * servedPerSecond, 10s);
    BOOST_TEST(result.refused == 0);
    BOOST_TEST(result.tunnelled == 0);
    BOOST_TEST(result.served >= 0.94 * servedPerSecond * 10);
}

// A flood at a router of 0.12 of a core, which serves 343 requests a second: more than that in all, and in time.
BOOST_AUTO_TEST_CASE(a_flood_is_answered_beyond_what_the_router_could_serve_and_in_time)
{
    for (const auto perSecond : { 300.0, 700.0, 1'500.0, 4'000.0 }) {
        BOOST_TEST_CONTEXT(perSecond << " connections a second")
        {
            auto worstWait = 0.0;
            const auto result = playLoad(perSecond, 40s, worstWait);
            const auto answered = (result.served + result.tunnelled) / 20.0;
            BOOST_TEST(answered >= std::min(0.95 * perSecond, smallCores / requestSeconds));
            BOOST_TEST(worstWait < 0.15);
        }
    }
}

// A caller with few connections and many requests on each would take the processor time that tunnels need.
BOOST_AUTO_TEST_CASE(requests_on_open_connections_use_the_budget)
{
    auto router = admitting_router(smallCores);
    router.play(10, 1s);
    BOOST_TEST(!router.admission.isOverServed(router.now));
    const auto burst = static_cast<int>(servedPerSecond * toSeconds(connection_admission::BURST_TIME));
    for (auto request = 0; request < burst / 2; ++request) {
        router.admission.noteFurtherRequest(router.now);
    }
    BOOST_TEST(!router.admission.isOverServed(router.now));
    for (auto request = 0; request < burst; ++request) {
        router.admission.noteFurtherRequest(router.now);
    }
    BOOST_TEST(router.admission.isOverServed(router.now));
    BOOST_TEST((router.admission.decide(true, true, router.now) == connection_action::tunnel));
    // With nobody to tunnel to, new connections are served nevertheless.
    BOOST_TEST((router.admission.decide(true, false, router.now) == connection_action::serve));
    router.now += 300ms;
    BOOST_TEST(!router.admission.isOverServed(router.now));
    BOOST_TEST((router.admission.decide(true, true, router.now) == connection_action::serve));
}

// A router that is behind answers requests with 503, so that a connection it serves would be lost.
BOOST_AUTO_TEST_CASE(a_router_that_may_not_serve_tunnels_or_refuses)
{
    auto router = admitting_router(smallCores);
    BOOST_TEST((router.admission.decide(false, true, router.now) == connection_action::tunnel));
    BOOST_TEST((router.admission.decide(false, false, router.now) == connection_action::refuse));
    BOOST_TEST((router.admission.decide(true, true, router.now) == connection_action::serve));
}

// After a burst on open connections, new ones would not be served for as long as the burst was large.
BOOST_AUTO_TEST_CASE(requests_in_advance_are_forgotten_after_a_limited_time)
{
    auto router = admitting_router(smallCores);
    for (auto request = 0; request < 100'000; ++request) {
        router.admission.noteFurtherRequest(router.now);
    }
    router.now += connection_admission::MAX_DEBT_TIME - 50ms;
    BOOST_TEST(router.admission.isOverServed(router.now));
    BOOST_TEST((router.admission.decide(true, true, router.now) == connection_action::tunnel));
    router.now += 100ms;
    BOOST_TEST(!router.admission.isOverServed(router.now));
    BOOST_TEST((router.admission.decide(true, true, router.now) == connection_action::serve));
}

// A router that tunnels everything would count as one without capacity, and leave the rotation.
BOOST_AUTO_TEST_CASE(only_refused_connections_count_as_refusals_and_their_time_ends_with_them)
{
    auto router = admitting_router(smallCores);
    router.play(2'000, 10s);
    BOOST_TEST((router.admission.refusingFor(router.now) == 0s));
    auto refusals = 0;
    for (auto step = 0; step < 1'000 && refusals == 0; ++step) {
        refusals = router.play(2'000, 10ms, true, 90ms).refused;
    }
    BOOST_REQUIRE(refusals > 0);
    const auto begin = router.now;
    const auto late = router.play(2'000, 5s, true, 90ms);
    BOOST_TEST(late.refused > 0);
    BOOST_TEST((router.admission.refusingFor(router.now) == router.now - begin));
    router.now += connection_admission::MAX_REFUSAL_GAP + 1ms;
    BOOST_TEST((router.admission.refusingFor(router.now) == 0s));
    BOOST_TEST(router.play(10, 20s).refused == 0);
    BOOST_TEST((router.admission.refusingFor(router.now) == 0s));
}

BOOST_AUTO_TEST_SUITE_END()
