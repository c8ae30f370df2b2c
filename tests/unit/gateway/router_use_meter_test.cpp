#include "marjoramloom/gateway/decisions/router_use_meter.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// What a router does in each second.
struct workload
{
    double connections = 0;
    double tunnels = 0; ///< Of these connections.
    double requests = 0; ///< That are served here.
    double refusals = 0; ///< Of these connections.
};

constexpr auto requestSeconds = 0.4e-3;
constexpr auto cores = 0.2;

/// A router on a manual clock with its meter.
class measured_router
{
public:
    /// Plays \p work for \p length, with the processor time that it takes and \p otherSeconds more in each second.
    auto play(const workload &work, duration length, double otherSeconds = 0) -> void
    {
        for (const auto end = m_now + length; m_now < end;) {
            m_now += router_use_meter::PERIOD;
            const auto seconds = toSeconds(router_use_meter::PERIOD);
            m_totals.arrivals += work.connections * seconds;
            m_totals.tunnels += work.tunnels * seconds;
            m_totals.requests += work.requests * seconds;
            m_totals.refusals += work.refusals * seconds;
            const auto equivalentRequests = work.requests + router_use_meter::TUNNEL_COST * work.tunnels;
            m_totals.cpuSeconds += (equivalentRequests * requestSeconds + otherSeconds) * seconds;
            meter.update(m_totals, m_now);
        }
    }

    router_use_meter meter{ cores };

private:
    process_totals m_totals;
    time_point m_now{ 100s };
};

} // namespace

BOOST_AUTO_TEST_SUITE(router_use_meter_test)

// Tunnels counted as requests would make requests look cheap, and the router would serve beyond its processor time.
BOOST_AUTO_TEST_CASE(the_cost_of_a_request_is_the_same_with_and_without_tunnels)
{
    for (const auto tunnels : { 0.0, 200.0, 700.0 }) {
        BOOST_TEST_CONTEXT(tunnels << " tunnels a second")
        {
            auto router = measured_router();
            router.play({ .connections = 300 + tunnels, .tunnels = tunnels, .requests = 300 }, 30s);
            BOOST_TEST(std::abs(router.meter.requestCost() - requestSeconds) < 0.01 * requestSeconds);
            BOOST_TEST(std::abs(router.meter.connectionCost() - requestSeconds) < 0.01 * requestSeconds);
        }
    }
}

// On connections with many requests, one connection costs several requests, but a request costs the same.
BOOST_AUTO_TEST_CASE(many_requests_on_each_connection_change_the_cost_of_a_connection_only)
{
    auto router = measured_router();
    router.play({ .connections = 100, .requests = 400 }, 30s);
    BOOST_TEST(std::abs(router.meter.requestCost() - requestSeconds) < 0.01 * requestSeconds);
    BOOST_TEST(std::abs(router.meter.connectionCost() - 4 * requestSeconds) < 0.04 * requestSeconds);
}

// The work of an idle router is that of its exchange with others; it would make a request look expensive.
BOOST_AUTO_TEST_CASE(the_cost_of_a_request_is_measured_only_while_requests_prevail)
{
    auto router = measured_router();
    router.play({ .connections = 10, .requests = 10 }, 30s, 0.4 * cores);
    BOOST_TEST(router.meter.requestCost() == router_use_meter::INITIAL_COST);
    router.play({}, 30s, 0.9 * cores);
    BOOST_TEST(router.meter.requestCost() == router_use_meter::INITIAL_COST);
}

BOOST_AUTO_TEST_CASE(the_cost_of_a_request_stays_within_its_bounds)
{
    auto router = measured_router();
    router.play({ .connections = 1, .requests = 1 }, 60s, 0.9 * cores);
    BOOST_TEST(router.meter.requestCost() <= 2e-3);
    BOOST_TEST(router.meter.requestCost() > 1.9e-3);
}

// What a router passes on must not count as demand of a connection that it serves.
BOOST_AUTO_TEST_CASE(tunnels_do_not_raise_the_demand_beyond_the_use)
{
    auto router = measured_router();
    router.play({ .connections = 900, .tunnels = 700, .requests = 200 }, 30s);
    const auto use = (200 + router_use_meter::TUNNEL_COST * 700) * requestSeconds / cores;
    BOOST_TEST(std::abs(router.meter.use().use - use) < 0.01);
    BOOST_TEST(std::abs(router.meter.use().demand - use) < 0.01);
    BOOST_TEST(std::abs(router.meter.use().arrivals - 900) < 1);
}

BOOST_AUTO_TEST_SUITE_END()
