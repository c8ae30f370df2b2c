#include "marjoramloom/gateway/loop_lag.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(loop_lag_test)

BOOST_AUTO_TEST_CASE(a_single_pause_is_no_overload_and_lasting_lateness_is)
{
    auto lag = loop_lag();
    BOOST_TEST(!lag.isOverloaded(time_point(100s))); // Nothing measured yet.
    auto due = lag.fire(time_point(100s));
    BOOST_TEST(!lag.isOverloaded(due + 2s)); // Woken after a suspension.
    due = lag.fire(due + 2s);
    BOOST_TEST(!lag.isOverloaded(due));
    BOOST_TEST(lag.isOverloaded(due + 121ms)); // Late again, before the timer could fire.
    due = lag.fire(due + 150ms);
    BOOST_TEST(lag.isOverloaded(due));
    due = lag.fire(due + 1ms);
    BOOST_TEST(!lag.isOverloaded(due));
}

BOOST_AUTO_TEST_CASE(a_router_rests_when_it_stays_overloaded_and_until_it_has_recovered)
{
    auto lag = loop_lag();
    auto due = lag.fire(time_point(100s));
    due = lag.fire(due + 200ms);
    BOOST_TEST(!lag.shouldRest(due)); // Once is no reason.
    due = lag.fire(due + 150ms);
    due = lag.fire(due + 150ms);
    BOOST_TEST(lag.shouldRest(due));
    const auto recovering = due + loop_lag::RECOVERY_TIME;
    while (due < recovering - loop_lag::PERIOD) {
        due = lag.fire(due);
        BOOST_TEST(lag.shouldRest(due));
    }
    for (auto firing = 0; firing < 3; ++firing) {
        due = lag.fire(due);
    }
    BOOST_TEST(!lag.shouldRest(due));
}

BOOST_AUTO_TEST_CASE(pauses_of_the_machine_are_no_reason_to_rest_and_a_long_overload_is_for_long)
{
    auto lag = loop_lag();
    auto due = lag.fire(time_point(100s));
    due = lag.fire(due + 4s); // The machine stood still.
    BOOST_TEST(!lag.shouldRest(due));
    for (auto firing = 0; firing < 100; ++firing) {
        due = lag.fire(due);
    }
    due = lag.fire(due + 300ms); // And again, seconds later.
    BOOST_TEST(!lag.shouldRest(due));
    // A caller's flood comes in waves of up to 20 s; between two of them the router keeps up.
    for (auto firing = 0; firing < 5; ++firing) {
        due = lag.fire(due + 150ms);
    }
    for (auto firing = 0; firing < 400; ++firing) {
        BOOST_TEST(lag.shouldRest(due));
        due = lag.fire(due);
    }
}

BOOST_AUTO_TEST_SUITE_END()
