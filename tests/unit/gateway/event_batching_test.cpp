#include "marjoramloom/gateway/decisions/event_batching.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto smallRouter = 0.12;
constexpr auto gapObjective = 300ms;

/// Events that a router reads in a second, in batches, from \p streams that get one every 20 ms.
auto readsPerSecond(std::size_t streams, double cores) -> double
{
    constexpr auto eventGap = 0.020;
    const auto wait = toSeconds(event_batching().wait(streams, cores, gapObjective));
    return static_cast<double>(streams) / std::max(eventGap, wait);
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_batching_test)

BOOST_AUTO_TEST_CASE(a_router_with_few_requests_forwards_each_event_as_it_arrives)
{
    const auto batching = event_batching();
    BOOST_TEST((batching.wait(0, smallRouter, gapObjective) == 0ms));
    BOOST_TEST((batching.wait(30, smallRouter, gapObjective) == 0ms));
    BOOST_TEST((batching.wait(125, 0.5, gapObjective) == 0ms));
}

BOOST_AUTO_TEST_CASE(the_flood_of_one_caller_at_a_small_router_takes_half_of_the_reads)
{
    BOOST_TEST(readsPerSecond(400, smallRouter) <= 0.51 * 400 / 0.020);
    // A larger router bears the same streams one by one.
    BOOST_TEST(readsPerSecond(400, 2.0) == 400 / 0.020);
}

BOOST_AUTO_TEST_CASE(the_wait_grows_with_the_load_and_stays_far_below_the_gap_objective)
{
    const auto batching = event_batching();
    auto previous = duration::zero();
    for (auto running = std::size_t(0); running < 2'000; running += 10) {
        const auto wait = batching.wait(running, smallRouter, gapObjective);
        BOOST_TEST((wait >= previous));
        BOOST_TEST((wait <= event_batching::MAX_WAIT));
        previous = wait;
    }
    BOOST_TEST((batching.wait(2'000, smallRouter, 50ms) == 10ms));
}

BOOST_AUTO_TEST_SUITE_END()
