#include "share/slot_limit.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

constexpr auto declared = std::uint32_t(16);
constexpr auto lightLoad = std::uint32_t(4);

/// Observes calls alternately at light load and at the current limit, on a server that runs \p concurrency requests at
/// once; further requests wait for \p queuedSeconds inside it.
auto observeCalls(slot_limit &limit, int calls, std::uint32_t concurrency, double queuedSeconds) -> void
{
    for (auto call = 0; call < calls; ++call) {
        const auto running = call % 2 == 0 ? lightLoad : limit.slots();
        const auto waits = running > concurrency ? queuedSeconds : 0;
        limit.observe(running, 0.1 + waits, 0.02);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(slot_limit_test)

BOOST_AUTO_TEST_CASE(a_server_that_runs_the_declared_number_keeps_its_limit)
{
    auto limit = slot_limit(declared);
    observeCalls(limit, 2000, declared, 0);
    BOOST_TEST(limit.slots() == declared);
}

BOOST_AUTO_TEST_CASE(the_limit_falls_to_the_actual_concurrency_and_recovers)
{
    constexpr auto concurrency = std::uint32_t(12);
    auto limit = slot_limit(declared);
    observeCalls(limit, 2000, concurrency, 2);
    BOOST_TEST(limit.slots() >= concurrency);
    BOOST_TEST(limit.slots() <= concurrency + 1); // One more is tried from time to time.
    observeCalls(limit, 2000, declared, 0);
    BOOST_TEST(limit.slots() == declared);
}

BOOST_AUTO_TEST_CASE(requests_that_only_slow_down_others_lower_the_limit_to_half_of_the_declared_number)
{
    auto limit = slot_limit(declared);
    for (auto call = 0; call < 4000; ++call) {
        const auto running = call % 2 == 0 ? lightLoad : limit.slots();
        limit.observe(running, 0.1, 0.01 * running); // The server's total rate is the same at any load.
    }
    BOOST_TEST(limit.slots() == declared / 2);
}

BOOST_AUTO_TEST_SUITE_END()
