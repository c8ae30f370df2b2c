#include "support/gateway_fleet.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom::test;

BOOST_AUTO_TEST_SUITE(calm_test)

// The bound of the memory must not refuse a request within the limits on the smallest machine of the deployments.
BOOST_AUTO_TEST_CASE(a_body_of_the_largest_size_is_served_by_a_router_of_88_megabytes)
{
    constexpr auto largestBody = 4'194'304;
    auto plan = gateway_plan();
    plan.routers = 1;
    plan.servers = 1;
    plan.bodyBytes = largestBody;
    plan.headerTimeoutMs = 10'000;
    plan.memoryMb = 88;
    auto fleet = gateway_fleet(std::move(plan));
    auto &router = fleet.routers().front();
    const auto body = std::string(largestBody, 'a');
    for (auto index = 0; index < 3; ++index) {
        const auto id = "large-" + std::to_string(index);
        BOOST_TEST(fleet.call(router, "/read/x", id, "POST", "key-alpha", body).status == 200U);
        BOOST_TEST(fleet.countExecutions(id) == 1);
    }
    BOOST_TEST(fleet.call(router, "/read/x", "too-large", "POST", "key-alpha", body + "a").status != 200U);
    BOOST_TEST(fleet.countExecutions("too-large") == 0);
    BOOST_TEST(fleet.call(router, "/read/x", "small").status == 200U);
    BOOST_TEST(router.process->peakMemoryKb() <= 88 * 1'024L);
}

BOOST_AUTO_TEST_SUITE_END()
