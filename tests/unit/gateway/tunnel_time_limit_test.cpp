#include "marjoramloom/gateway/decisions/tunnel_time_limit.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto start = boot_time(1h);

/// A limit for a request whose bytes arrived at \p start, with these limits.
auto makeLimit(const tunnelled_request_limits &limits) -> tunnel_time_limit
{
    auto limit = tunnel_time_limit();
    limit.noteRequestBytes(start);
    BOOST_REQUIRE(limit.needsLimits(start + tunnel_time_limit::SLACK));
    limit.setLimits(limits);
    return limit;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tunnel_time_limit_test)

// The target: an answer within half a second after the route's timeout, and not before the serving router's own.
BOOST_AUTO_TEST_CASE(each_request_is_over_by_the_time_limit_of_its_own_route)
{
    for (const auto timeout : { 200ms, 800ms, 10'000ms }) {
        const auto limit = makeLimit({ .answerTimeout = timeout, .readTimeout = 2s, .isComplete = true });
        BOOST_TEST(!limit.isOver(start + timeout + 50ms));
        BOOST_TEST(limit.isOver(start + timeout + 250ms));
    }
}

BOOST_AUTO_TEST_CASE(a_request_that_is_answered_soon_is_never_looked_at)
{
    auto limit = tunnel_time_limit();
    BOOST_TEST(!limit.needsLimits(start));
    BOOST_TEST(!limit.isOver(start + 1h));
    limit.noteRequestBytes(start);
    BOOST_TEST(!limit.needsLimits(start + tunnel_time_limit::SLACK - 1ms));
    BOOST_TEST(!limit.isOver(start + 1h));
}

// A caller that sends its request slowly, within the time for that, was cut off by the route's timeout.
BOOST_AUTO_TEST_CASE(an_incomplete_request_has_the_time_for_reading_it)
{
    const auto limit = makeLimit({ .answerTimeout = 800ms, .readTimeout = 2s, .isComplete = false });
    BOOST_TEST(!limit.isOver(start + 2s));
    BOOST_TEST(limit.isOver(start + 2s + 250ms));
}

BOOST_AUTO_TEST_CASE(the_time_limit_counts_from_the_last_byte_of_the_request)
{
    auto limit = makeLimit({ .answerTimeout = 800ms, .readTimeout = 2s, .isComplete = false });
    limit.noteRequestBytes(start + 1'900ms);
    BOOST_TEST(!limit.isOver(start + 1h));
    BOOST_TEST(limit.needsLimits(start + 2'000ms));
    limit.setLimits({ .answerTimeout = 800ms, .readTimeout = 2s, .isComplete = true });
    BOOST_TEST(!limit.isOver(start + 2'700ms));
    BOOST_TEST(limit.isOver(start + 2'950ms));
    BOOST_TEST((limit.waited(start + 2'950ms) == 1'050ms));
}

// A request without a route is refused where it is read; without a limit it would wait for ever at a router that stands
// still.
BOOST_AUTO_TEST_CASE(a_request_without_a_route_has_the_time_for_reading_it)
{
    const auto limit = makeLimit({ .answerTimeout = std::nullopt, .readTimeout = 2s, .isComplete = true });
    BOOST_TEST(!limit.isOver(start + 2s));
    BOOST_TEST(limit.isOver(start + 2s + 250ms));
}

BOOST_AUTO_TEST_SUITE_END()
