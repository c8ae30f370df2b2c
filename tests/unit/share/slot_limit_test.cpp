#include "share/slot_limit.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

constexpr auto declared = std::uint32_t(16);
constexpr auto lightLoad = std::uint32_t(4);

/// Calls in turn at light load and at the present limit, on a server that really runs \p together requests: more of
/// them wait for \p queuedSeconds.
auto callsOn(slot_limit &limit, int calls, std::uint32_t together, double queuedSeconds) -> void
{
    for (auto call = 0; call < calls; ++call) {
        const auto running = call % 2 == 0 ? lightLoad : limit.slots();
        const auto waits = running > together ? queuedSeconds : 0;
        limit.observe(running, 0.1 + waits, 0.02);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(slot_limit_test)

BOOST_AUTO_TEST_CASE(a_server_that_runs_what_was_declared_keeps_its_limit)
{
    auto limit = slot_limit(declared);
    callsOn(limit, 2000, declared, 0);
    BOOST_TEST(limit.slots() == declared);
}

BOOST_AUTO_TEST_CASE(a_limit_goes_down_to_what_really_runs_together_and_comes_back)
{
    constexpr auto together = std::uint32_t(12);
    auto limit = slot_limit(declared);
    callsOn(limit, 2000, together, 2);
    BOOST_TEST(limit.slots() >= together);
    BOOST_TEST(limit.slots() <= together + 1); // Now and then one more is tried.
    callsOn(limit, 2000, declared, 0);
    BOOST_TEST(limit.slots() == declared);
}

BOOST_AUTO_TEST_CASE(requests_that_only_slow_the_others_lower_the_limit_to_half_at_least)
{
    auto limit = slot_limit(declared);
    for (auto call = 0; call < 4000; ++call) {
        const auto running = call % 2 == 0 ? lightLoad : limit.slots();
        limit.observe(running, 0.1, 0.01 * running); // The server's whole rate is the same at any load.
    }
    BOOST_TEST(limit.slots() == declared / 2);
}

BOOST_AUTO_TEST_SUITE_END()
