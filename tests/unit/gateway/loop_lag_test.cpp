#include "marjoramloom/gateway/loop_lag.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(loop_lag_test)

BOOST_AUTO_TEST_CASE(a_single_pause_is_no_overload_and_lasting_lateness_is)
{
    auto lag = loop_lag();
    const auto due = time_point(100s);
    BOOST_TEST(!lag.isOverloaded(due)); // Nothing measured yet.
    lag.expect(due);
    BOOST_TEST(!lag.isOverloaded(due + 2s)); // Woken after a suspension.
    lag.noteFired(due + 2s);
    BOOST_TEST(!lag.isOverloaded(due + 2s));
    lag.expect(due + 2'050ms);
    BOOST_TEST(!lag.isOverloaded(due + 2'100ms));
    BOOST_TEST(lag.isOverloaded(due + 2'171ms)); // Late again, before the timer could fire.
    lag.noteFired(due + 2'200ms);
    BOOST_TEST(lag.isOverloaded(due + 2'201ms));
    lag.expect(due + 2'250ms);
    lag.noteFired(due + 2'251ms);
    lag.expect(due + 2'301ms);
    BOOST_TEST(!lag.isOverloaded(due + 2'252ms));
}

BOOST_AUTO_TEST_CASE(a_router_rests_when_it_stays_overloaded_and_until_it_has_recovered)
{
    auto lag = loop_lag();
    auto now = time_point(100s);
    const auto fire = [&](duration lateness) {
        lag.expect(now);
        now += lateness;
        lag.noteFired(now);
    };
    fire(200ms);
    BOOST_TEST(!lag.shouldRest(now)); // Once is no reason.
    fire(150ms);
    fire(150ms);
    BOOST_TEST(lag.shouldRest(now));
    for (auto step = 0; step < 10; ++step) {
        now += 100ms;
        fire(0ms);
        BOOST_TEST(lag.shouldRest(now));
    }
    now += 100ms;
    fire(0ms);
    BOOST_TEST(!lag.shouldRest(now));
}

BOOST_AUTO_TEST_SUITE_END()
