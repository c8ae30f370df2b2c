#include "marjoramloom/gateway/decisions/account_usage.h"
#include "marjoramloom/gateway/decisions/admission_policy.h"
#include "marjoramloom/gateway/knowledge/fleet_loads.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto makeReport(std::uint64_t router, std::uint64_t sequence, std::uint32_t pendingTokens, std::uint32_t startedTokens)
    -> load_snapshot
{
    return { .router = router,
             .sequence = sequence,
             .engines = { { 1, 2, pendingTokens } },
             .accounts = { { 7, startedTokens } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_loads_test)

BOOST_AUTO_TEST_CASE(only_the_newest_report_of_a_router_counts_and_expires_when_it_falls_silent)
{
    auto fleet = fleet_loads();
    const auto now = time_point(100s);
    BOOST_TEST(fleet.update(makeReport(1, 5, 100, 10), now));
    BOOST_TEST(fleet.update(makeReport(2, 1, 50, 5), now));
    BOOST_TEST(!fleet.update(makeReport(1, 4, 9'999, 999), now));
    BOOST_TEST(fleet.loadOnEngine(1).pendingPrefillTokens == 150U);
    BOOST_TEST(fleet.loadOnEngine(1).running == 4U);
    BOOST_TEST(fleet.startedTokens() == 15U);
    BOOST_TEST(fleet.update(makeReport(1, 6, 30, 20), now + 600ms));
    BOOST_TEST(fleet.loadOnEngine(1).pendingPrefillTokens == 80U);
    fleet.expire(now + 800ms);
    BOOST_TEST(fleet.loadOnEngine(1).pendingPrefillTokens == 30U);
    BOOST_TEST(fleet.tokensOfAccount(7).startedTokens == 20U);
    fleet.removeRouter(1);
    BOOST_TEST(fleet.loadOnEngine(1).running == 0U);
    BOOST_TEST(fleet.startedTokens() == 0U);
}

BOOST_AUTO_TEST_CASE(the_share_of_an_account_includes_the_tokens_reported_by_other_routers)
{
    auto fleet = fleet_loads();
    auto usage = account_usage(fleet);
    const auto now = time_point(100s);
    usage.noteStarted(7, 100, now);
    usage.noteStarted(8, 300, now);
    BOOST_TEST(usage.fleetShare(7, now) == 0.25);
    fleet.update(makeReport(1, 1, 0, 400), now);
    BOOST_TEST(usage.fleetShare(7, now) == 0.625);
    BOOST_TEST(usage.evenShare() == 0.5);
    BOOST_TEST(usage.fleetShare(7, now + 3s) == 1.0); // The local window has passed; the report does not expire here.
    BOOST_TEST(usage.localAccountTokens(now + 3s).empty());
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_after_the_time_of_day_went_back_is_heard)
{
    auto fleet = fleet_loads();
    const auto now = time_point(100s);
    // Incarnations begin with the time of day of the start, but say nothing about the order of starts.
    constexpr auto before = std::uint64_t(1'000'000);
    constexpr auto after = std::uint64_t(400);
    BOOST_TEST(fleet.update(makeReport(before, 50, 1, 0), now));
    BOOST_TEST(fleet.update(makeReport(after, 1, 1, 0), now));
    fleet.removeRouter(before);
    BOOST_TEST(fleet.update(makeReport(after, 2, 1, 0), now));
    BOOST_TEST(fleet.reportingRouters() == 1U);
}

BOOST_AUTO_TEST_CASE(the_allowed_wait_shrinks_with_the_share_of_an_account_but_never_to_zero)
{
    const auto policy = admission_policy();
    constexpr auto evenShare = 0.1;
    BOOST_TEST((policy.maxWait(400ms, 100ms, 0.0, evenShare) > policy.maxWait(400ms, 100ms, 0.2, evenShare)));
    BOOST_TEST((policy.maxWait(400ms, 100ms, 0.2, evenShare) > policy.maxWait(400ms, 100ms, 0.35, evenShare)));
    // Idle engines serve even an account with all of the work, and prompts whose prefill exceeds the objective.
    BOOST_TEST((policy.maxWait(400ms, 100ms, 1.0, evenShare) > 0ms));
    BOOST_TEST((policy.maxWait(400ms, 900ms, 0.0, evenShare) > 0ms));
}

BOOST_AUTO_TEST_SUITE_END()
