#include "support/gateway_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom::test;

namespace {

constexpr auto limitMs = 2'000;

auto plan() -> gateway_plan
{
    auto fleetPlan = gateway_plan();
    fleetPlan.routers = 3;
    fleetPlan.servers = 2;
    fleetPlan.gatewaySettings = "evacuation_ms = " + std::to_string(limitMs) + "\n";
    fleetPlan.serverZones = { "north", "south" };
    return fleetPlan;
}

auto requestCount(gateway_fleet &fleet, std::size_t server) -> std::size_t
{
    return fleet.servers()[server]->record().size();
}

/// Sends \p rounds requests through each router; returns how many of them were served.
auto sendThroughAll(gateway_fleet &fleet, int rounds) -> int
{
    static auto number = 0;
    auto served = 0;
    for (auto round = 0; round < rounds; ++round) {
        for (auto &router : fleet.routers()) {
            served += fleet.call(router, "/read/x", "evacuation-" + std::to_string(++number)).status == 200 ? 1 : 0;
        }
    }
    return served;
}

} // namespace

BOOST_AUTO_TEST_SUITE(evacuation_test)

// Kept connections and requests on any path must not reach the evacuated data centre after the limit.
BOOST_AUTO_TEST_CASE(an_evacuated_data_centre_gets_nothing_until_the_object_is_removed)
{
    constexpr auto rounds = 10;
    auto fleet = gateway_fleet(plan());
    const auto total = rounds * static_cast<int>(fleet.routers().size());
    BOOST_TEST(sendThroughAll(fleet, rounds) == total);
    BOOST_TEST(requestCount(fleet, 0) > 0U);
    BOOST_REQUIRE(fleet.writeObject("evacuations", "north", boost::json::object{}));
    sleepMs(limitMs);
    const auto before = requestCount(fleet, 0);
    BOOST_TEST(sendThroughAll(fleet, rounds) == total);
    BOOST_TEST(requestCount(fleet, 0) == before);

    // A router that starts in the middle of the evacuation.
    auto &restarted = fleet.routers().front();
    restarted.process.reset();
    fleet.start(restarted);
    BOOST_TEST(sendThroughAll(fleet, rounds) == total);
    BOOST_TEST(requestCount(fleet, 0) == before);
    const auto status = httpCall(restarted.operators, { "GET", "/status/places", {}, "" });
    BOOST_TEST(status.body.find(R"("data_centres":["north"])") != std::string::npos);

    BOOST_REQUIRE(fleet.removeObject("evacuations", "north"));
    BOOST_TEST(waitUntil(2 * limitMs, [&] {
        sendThroughAll(fleet, 1);
        return requestCount(fleet, 0) > before;
    }));
}

BOOST_AUTO_TEST_CASE(without_the_setting_the_kind_is_not_read)
{
    auto fleetPlan = plan();
    fleetPlan.gatewaySettings.clear();
    auto fleet = gateway_fleet(fleetPlan);
    BOOST_REQUIRE(fleet.writeObject("evacuations", "north", boost::json::object{}));
    sleepMs(limitMs);
    const auto before = requestCount(fleet, 0);
    sendThroughAll(fleet, 10);
    BOOST_TEST(requestCount(fleet, 0) > before);
}

BOOST_AUTO_TEST_SUITE_END()
