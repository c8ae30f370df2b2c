#include "marjoramloom/gateway/account_usage.h"
#include "marjoramloom/gateway/admission_policy.h"
#include "marjoramloom/gateway/fleet_loads.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto reportOf(std::uint64_t router, std::uint64_t sequence, std::uint32_t unread, std::uint32_t started)
    -> load_snapshot
{
    return { .router = router, .sequence = sequence, .engines = { { 1, 2, unread } }, .accounts = { { 7, started } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_loads_test)

BOOST_AUTO_TEST_CASE(the_newest_report_of_each_router_counts_until_it_falls_silent)
{
    auto fleet = fleet_loads();
    const auto now = time_point(100s);
    BOOST_TEST(fleet.take(reportOf(1, 5, 100, 10), now));
    BOOST_TEST(fleet.take(reportOf(2, 1, 50, 5), now));
    BOOST_TEST(!fleet.take(reportOf(1, 4, 9'999, 999), now));
    BOOST_TEST(fleet.onEngine(1).unreadTokens == 150U);
    BOOST_TEST(fleet.onEngine(1).running == 4U);
    BOOST_TEST(fleet.startedTokens() == 15U);
    BOOST_TEST(fleet.take(reportOf(1, 6, 30, 20), now + 600ms));
    BOOST_TEST(fleet.onEngine(1).unreadTokens == 80U);
    fleet.expire(now + 800ms);
    BOOST_TEST(fleet.onEngine(1).unreadTokens == 30U);
    BOOST_TEST(fleet.ofAccount(7).startedTokens == 20U);
    fleet.drop(1);
    BOOST_TEST(fleet.onEngine(1).running == 0U);
    BOOST_TEST(fleet.startedTokens() == 0U);
}

BOOST_AUTO_TEST_CASE(an_accounts_part_counts_what_it_got_everywhere)
{
    auto fleet = fleet_loads();
    auto usage = account_usage(fleet);
    const auto now = time_point(100s);
    usage.noteStarted(7, 100, now);
    usage.noteStarted(8, 300, now);
    BOOST_TEST(usage.startedFraction(7, now) == 0.25);
    fleet.take(reportOf(1, 1, 0, 400), now);
    BOOST_TEST(usage.startedFraction(7, now) == 0.625);
    BOOST_TEST(usage.startedFraction(7, now + 3s) == 1.0); // The own count is over; the report is not expired here.
    BOOST_TEST(usage.ownShares(now + 3s).empty());
}

BOOST_AUTO_TEST_CASE(an_account_that_got_much_has_less_patience)
{
    const auto policy = admission_policy();
    BOOST_TEST((policy.longestWait(400ms, 100ms, 0.0) > policy.longestWait(400ms, 100ms, 0.2)));
    BOOST_TEST((policy.longestWait(400ms, 100ms, 0.2) > policy.longestWait(400ms, 100ms, 0.35)));
    // Even an account that got everything is served by idle engines, and so is the largest prompt.
    BOOST_TEST((policy.longestWait(400ms, 100ms, 1.0) > 0ms));
    BOOST_TEST((policy.longestWait(400ms, 900ms, 0.0) > 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
