#include "marjoramloom/gateway/decisions/event_loop_delay.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(event_loop_delay_test)

BOOST_AUTO_TEST_CASE(a_single_pause_is_no_overload_but_two_delays_in_a_row_are)
{
    auto loopDelay = event_loop_delay();
    BOOST_TEST(!loopDelay.isOverloaded(time_point(100s))); // No measurement yet.
    auto nextFiring = loopDelay.onTimer(time_point(100s));
    BOOST_TEST(!loopDelay.isOverloaded(nextFiring + 2s)); // The machine was suspended.
    nextFiring = loopDelay.onTimer(nextFiring + 2s);
    BOOST_TEST(!loopDelay.isOverloaded(nextFiring));
    BOOST_TEST(loopDelay.isOverloaded(nextFiring + 121ms)); // Late again, seen before the timer fires.
    nextFiring = loopDelay.onTimer(nextFiring + 150ms);
    BOOST_TEST(loopDelay.isOverloaded(nextFiring));
    nextFiring = loopDelay.onTimer(nextFiring + 1ms);
    BOOST_TEST(!loopDelay.isOverloaded(nextFiring));
}

BOOST_AUTO_TEST_CASE(a_router_that_stays_overloaded_refuses_connections_for_the_recovery_time)
{
    auto loopDelay = event_loop_delay();
    auto nextFiring = loopDelay.onTimer(time_point(100s));
    nextFiring = loopDelay.onTimer(nextFiring + 200ms);
    BOOST_TEST(!loopDelay.shouldRefuseConnections(nextFiring)); // A single delay does not suffice.
    nextFiring = loopDelay.onTimer(nextFiring + 150ms);
    nextFiring = loopDelay.onTimer(nextFiring + 150ms);
    BOOST_TEST(loopDelay.shouldRefuseConnections(nextFiring));
    const auto recovering = nextFiring + event_loop_delay::RECOVERY_TIME;
    while (nextFiring < recovering - event_loop_delay::PERIOD) {
        nextFiring = loopDelay.onTimer(nextFiring);
        BOOST_TEST(loopDelay.shouldRefuseConnections(nextFiring));
    }
    for (auto firing = 0; firing < 3; ++firing) {
        nextFiring = loopDelay.onTimer(nextFiring);
    }
    BOOST_TEST(!loopDelay.shouldRefuseConnections(nextFiring));
}

BOOST_AUTO_TEST_CASE(separate_pauses_do_not_refuse_connections_and_a_long_overload_refuses_them_for_long)
{
    auto loopDelay = event_loop_delay();
    auto nextFiring = loopDelay.onTimer(time_point(100s));
    nextFiring = loopDelay.onTimer(nextFiring + 4s); // The machine was suspended.
    BOOST_TEST(!loopDelay.shouldRefuseConnections(nextFiring));
    for (auto firing = 0; firing < 100; ++firing) {
        nextFiring = loopDelay.onTimer(nextFiring);
    }
    nextFiring = loopDelay.onTimer(nextFiring + 300ms); // A second pause, seconds later.
    BOOST_TEST(!loopDelay.shouldRefuseConnections(nextFiring));
    // Bursts of a caller's traffic last up to 20 s. The router keeps refusing connections between two of them, although
    // it is not late then.
    for (auto firing = 0; firing < 5; ++firing) {
        nextFiring = loopDelay.onTimer(nextFiring + 150ms);
    }
    for (auto firing = 0; firing < 400; ++firing) {
        BOOST_TEST(loopDelay.shouldRefuseConnections(nextFiring));
        nextFiring = loopDelay.onTimer(nextFiring);
    }
}

BOOST_AUTO_TEST_SUITE_END()
