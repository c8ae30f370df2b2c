#include "support/gateway_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

BOOST_AUTO_TEST_SUITE(rotation_test)

// Routers that do not hear each other would each decide alone, and could all leave the rotation at once.
BOOST_AUTO_TEST_CASE(routers_report_to_each_other_that_one_takes_no_connections)
{
    auto fleet = gateway_fleet({ .routers = 2, .sharesLoad = true });
    auto &staying = fleet.routers()[0];
    auto &stopping = fleet.routers()[1];
    const auto absentRouters = [&] {
        return httpCall(staying.operators, { "GET", "/metrics", {}, "" })
                   .body.find("marjoramloom_rotation_absent_routers 1\n")
            != std::string::npos;
    };
    BOOST_TEST(fleet.call(staying, "/read/x", "before").status == 200U);
    BOOST_TEST(waitUntil(5'000, [&] { return !absentRouters(); }));
    stopping.process->signal(SIGTERM);
    // A stopping router answers requests for 2.6 s.
    BOOST_TEST(waitUntil(2'600, absentRouters));
    BOOST_TEST(fleet.isReady(staying));
    BOOST_TEST(fleet.call(staying, "/read/x", "after").status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
