#include "support/gateway_fleet.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace marjoramloom::test;

BOOST_AUTO_TEST_SUITE(cold_server_test)

// All routers together must keep the bound of a cold server, and refuse what goes beyond it as not run.
BOOST_AUTO_TEST_CASE(a_cold_server_gets_its_bound_from_all_routers_together)
{
    constexpr auto bound = 10; // 4 requests a second times 1.5, and 4.
    constexpr auto startDelayMs = 5'000; // Routers leave cold servers alone for 4 s after their start.
    constexpr auto coldMs = 20'000;
    auto plan = gateway_plan();
    plan.routers = 3;
    plan.servers = 1;
    plan.coldPerSecond = 4;
    plan.gatewaySettings = "cold_overshoot = 1.5\ncold_tolerance = 4\n";
    auto fleet = gateway_fleet(plan);
    sleepMs(startDelayMs);
    fleet.writeServer(0, "ready", 0, coldMs);
    sleepMs(1'000);
    const auto before = static_cast<int>(fleet.servers()[0]->record().size());
    const auto began = std::chrono::steady_clock::now();
    auto served = 0;
    auto refused = 0;
    for (auto number = 0; number < 90; ++number) {
        auto &router = fleet.routers()[static_cast<std::size_t>(number) % fleet.routers().size()];
        const auto status = fleet.call(router, "/read/x", "cold-" + std::to_string(number)).status;
        served += status == 200 ? 1 : 0;
        refused += status == 429 ? 1 : 0;
    }
    const auto elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    const auto executed = static_cast<int>(fleet.servers()[0]->record().size()) - before;
    BOOST_TEST(served + refused == 90);
    BOOST_TEST(served > 0);
    BOOST_TEST(refused > 0);
    // The record has up to two entries for each request.
    BOOST_TEST(executed <= 2 * bound * (1 + elapsed));
    BOOST_TEST(served <= bound * (1 + elapsed));
    fleet.writeServer(0, "ready");
    BOOST_TEST(waitUntil(2'000, [&] { return fleet.call(fleet.routers()[0], "/read/x", "warm").status == 200; }));
}

BOOST_AUTO_TEST_SUITE_END()
