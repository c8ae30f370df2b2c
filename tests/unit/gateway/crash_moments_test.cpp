#include "marjoramloom/gateway/decisions/crash_moments.h"
#include "marjoramloom/gateway/knowledge/recent_ids.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto start = time_point(100s);

} // namespace

BOOST_AUTO_TEST_SUITE(crash_moments_test)

BOOST_AUTO_TEST_CASE(engines_that_crash_together_share_a_moment)
{
    auto moments = crash_moments();
    const auto first = moments.note(1, false, start);
    BOOST_TEST(moments.note(2, false, start + 100ms) == first);
    BOOST_TEST(!moments.isCommonFailure(first));
    BOOST_TEST(moments.note(3, false, start + 200ms) == first);
    BOOST_TEST(moments.isCommonFailure(first));
    BOOST_TEST(moments.note(4, false, start + 300ms) != first);
    // A late report of an earlier crash.
    BOOST_TEST(moments.note(2, false, start + 5s) == first);
    BOOST_TEST((moments.startOf(first) == start));
}

BOOST_AUTO_TEST_CASE(a_repeated_crash_is_a_moment_of_its_own_whichever_report_comes_first)
{
    auto moments = crash_moments();
    const auto first = moments.note(1, false, start);
    BOOST_TEST(moments.note(2, false, start + 10ms) == first);
    const auto second = moments.note(2, true, start + 10ms);
    BOOST_TEST(second != first);
    BOOST_TEST(moments.note(2, false, start + 20ms) == second);
    BOOST_TEST(moments.note(2, true, start + 20ms) == second);
    BOOST_TEST(!moments.isCommonFailure(first));
    BOOST_TEST(!moments.isCommonFailure(second));
    moments.note(3, true, start + 30ms);
    BOOST_TEST(moments.isCommonFailure(first));
    BOOST_TEST(moments.isCommonFailure(second));
}

BOOST_AUTO_TEST_CASE(old_moments_are_forgotten)
{
    auto moments = crash_moments();
    const auto first = moments.note(1, false, start);
    for (auto engine = std::uint64_t(2); engine < 2 * crash_moments::MAX_MOMENTS; ++engine) {
        const auto moment = moments.note(engine, false, start + engine * 300ms);
        BOOST_TEST(moments.isKnown(moment));
    }
    BOOST_TEST(!moments.isKnown(first));
    BOOST_TEST(!moments.isCommonFailure(first));
    const auto last = moments.note(1, false, start + 1h);
    BOOST_TEST(moments.isKnown(last));
    BOOST_TEST(!moments.isKnown(last - 1));
}

BOOST_AUTO_TEST_CASE(recent_ids_are_remembered_in_bounded_memory)
{
    auto recent = recent_ids();
    for (auto id = std::uint64_t(1); id <= 4 * recent_ids::CAPACITY; ++id) {
        recent.note(id, start);
        BOOST_TEST(recent.contains(id));
    }
    BOOST_TEST(!recent.contains(1));
    BOOST_TEST(recent.contains(3 * recent_ids::CAPACITY + 1));
    recent.note(1, start + 11min);
    recent.note(2, start + 22min);
    BOOST_TEST(recent.contains(1));
    BOOST_TEST(!recent.contains(4 * recent_ids::CAPACITY));
}

BOOST_AUTO_TEST_SUITE_END()
