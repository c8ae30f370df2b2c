#include "marjoramloom/store/retry_backoff.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(retry_backoff_test)

BOOST_AUTO_TEST_CASE(waits_stay_within_a_bound_that_doubles_up_to_its_limit)
{
    auto backoff = retry_backoff(std::chrono::milliseconds(100), std::chrono::milliseconds(400), 1);
    for (const auto upperBound : { 100, 200, 400, 400 }) {
        const auto wait = backoff.next().count();
        BOOST_TEST(wait >= 0);
        BOOST_TEST(wait <= upperBound);
    }
    backoff.reset();
    BOOST_TEST(backoff.next().count() <= 100);
}

// Guards against clients that all retry at the same time when the least wait exceeds the backoff's upper bound.
BOOST_AUTO_TEST_CASE(a_least_wait_is_kept_with_jitter)
{
    auto backoff = retry_backoff(std::chrono::milliseconds(100), std::chrono::milliseconds(400), 1);
    auto waits = std::set<std::int64_t>();
    for (auto call = 0; call < 20; ++call) {
        const auto wait = backoff.next(std::chrono::milliseconds(2'000)).count();
        BOOST_TEST(wait >= 2'000);
        BOOST_TEST(wait <= 4'000);
        waits.insert(wait);
    }
    BOOST_TEST(waits.size() > 10U);
}

BOOST_AUTO_TEST_SUITE_END()
