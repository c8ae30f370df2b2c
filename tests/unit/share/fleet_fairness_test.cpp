#include "fleet_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

namespace {

constexpr auto accountCount = std::uint64_t(10);
constexpr auto quietAccount = object_id{ 10 };

auto allAccounts() -> std::vector<object_id>
{
    auto accounts = std::vector<object_id>();
    for (auto value = std::uint64_t(1); value <= accountCount; ++value) {
        accounts.push_back({ value });
    }
    return accounts;
}

auto equalWeights() -> std::map<object_id, double>
{
    auto weights = std::map<object_id, double>();
    for (const auto account : allAccounts()) {
        weights[account] = 1;
    }
    return weights;
}

/// Account 1 has tickets only at the busy first site, account 10 only at the second, where no other account waits.
auto unbalancedFleet(const fleet_schedule::options &options) -> fleet_schedule
{
    auto fleet = fleet_schedule(options);
    fleet.setWeights(equalWeights());
    for (const auto account : allAccounts()) {
        if (account != quietAccount) {
            fleet.keepWaiting(0, account, 20);
        }
        if (account != quietAccount && account.value > 1) {
            fleet.keepWaiting(2, account, 20);
        }
    }
    fleet.keepWaiting(1, quietAccount, 60);
    return fleet;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_fairness_test)

BOOST_AUTO_TEST_CASE(fairness_gap_between_a_busy_and_a_quiet_data_centre_stays_below_the_bound)
{
    for (const auto seed : { 1U, 2U, 3U }) {
        auto options = fleet_schedule::options();
        options.seed = seed;
        auto fleet = unbalancedFleet(options);
        const auto bound = fairnessBound(fleet.inputs());
        auto worstGap = 0.0;
        while (fleet.seconds() < 600) {
            fleet.runFor(10);
            worstGap = std::max(worstGap, fleet.gap(allAccounts()));
        }
        BOOST_TEST_MESSAGE("seed " << seed << " worst gap " << worstGap << " end " << fleet.gap(allAccounts())
                                   << " bound " << bound << " utilisation " << fleet.utilisation());
        BOOST_TEST(worstGap < bound);
        BOOST_TEST(fleet.utilisation() >= 0.97);
        options.exchangeDigests = false;
        auto isolatedFleet = unbalancedFleet(options);
        isolatedFleet.runFor(600);
        BOOST_TEST_MESSAGE("gap without digests " << isolatedFleet.gap(allAccounts()));
        BOOST_TEST(isolatedFleet.gap(allAccounts()) > bound);
        BOOST_TEST(fleet.gap(allAccounts()) < 0.1 * isolatedFleet.gap(allAccounts()));
    }
}

/// Unequal weights, hints that are wrong by a factor of four, and an account with twenty times as many waiting tickets
/// as the others must not widen the fairness gap beyond the bound.
BOOST_AUTO_TEST_CASE(fairness_gap_stays_below_the_bound_with_wrong_hints_and_a_flooding_account)
{
    auto options = fleet_schedule::options();
    options.seed = 4;
    options.hintError = 4;
    auto fleet = fleet_schedule(options);
    auto weights = equalWeights();
    weights[{ 2 }] = 4;
    fleet.setWeights(weights);
    for (const auto account : allAccounts()) {
        for (auto site = std::size_t(0); site < 3; ++site) {
            fleet.keepWaiting(site, account, account.value == 3 ? 400 : 20);
        }
    }
    auto worstGap = 0.0;
    while (fleet.seconds() < 300) {
        fleet.runFor(5);
        worstGap = std::max(worstGap, fleet.gap(allAccounts()));
    }
    BOOST_TEST_MESSAGE("worst gap " << worstGap << " utilisation " << fleet.utilisation());
    BOOST_TEST(worstGap < fairnessBound(fleet.inputs()));
    BOOST_TEST(worstGap < 0.1 * fleet.received({ 1 }));
}

BOOST_AUTO_TEST_CASE(fairness_gap_stays_below_the_bound_after_a_dispatcher_restarts_and_another_pauses)
{
    auto fleet = unbalancedFleet({});
    fleet.runFor(200);
    fleet.restart(0);
    fleet.runFor(100);
    fleet.setPaused(2, true);
    fleet.runFor(30);
    fleet.setPaused(2, false);
    auto worstGap = 0.0;
    for (auto interval = 0; interval < 30; ++interval) {
        fleet.runFor(10);
        worstGap = std::max(worstGap, fleet.gap(allAccounts()));
    }
    BOOST_TEST_MESSAGE("worst gap after the faults " << worstGap << " end " << fleet.gap(allAccounts()));
    BOOST_TEST(worstGap < fairnessBound(fleet.inputs()));
    BOOST_TEST(fleet.gap(allAccounts()) < 0.1 * fleet.received(quietAccount));
}

BOOST_AUTO_TEST_CASE(after_a_partition_the_gap_stops_growing_and_debt_is_capped)
{
    auto fleet = unbalancedFleet({});
    fleet.runFor(100);
    fleet.setPartitioned(1, true);
    fleet.runFor(300);
    fleet.setPartitioned(1, false);
    const auto gapAtRejoin = fleet.gap(allAccounts());
    const auto receivedBeforeRejoin = fleet.received(quietAccount);
    fleet.runFor(240);
    const auto gapAtEnd = fleet.gap(allAccounts());
    const auto receivedAfterRejoin = fleet.received(quietAccount) - receivedBeforeRejoin;
    const auto fairShare = 240 * fleet.inputs().serviceRate / accountCount;
    BOOST_TEST_MESSAGE("gap at rejoin " << gapAtRejoin << " at the end " << gapAtEnd << " quiet account received "
                                        << receivedAfterRejoin << " of " << fairShare << " longest wait "
                                        << fleet.longestWait(quietAccount));
    BOOST_TEST(gapAtEnd <= gapAtRejoin + fairnessBound(fleet.inputs()));
    BOOST_TEST(receivedAfterRejoin > 0.5 * fairShare);
}

/// An account with a hundredth of the largest weight waits beside a flooding account. Its wait is bounded by the run
/// time of its own request, the starvation limit of three times the interval of its fair share, and the grants out of
/// order to the other accounts that wait as long.
BOOST_AUTO_TEST_CASE(the_account_with_the_smallest_weight_has_a_bounded_wait_beside_a_flooding_account)
{
    auto options = fleet_schedule::options();
    options.sites = 1;
    options.settings.queueLimit = 500;
    auto fleet = fleet_schedule(options);
    auto weights = equalWeights();
    weights[{ 1 }] = 0.1;
    weights[{ 2 }] = 10;
    fleet.setWeights(weights);
    for (const auto account : allAccounts()) {
        fleet.keepWaiting(0, account, account.value == 2 ? 1000 : 20);
    }
    fleet.keepWaiting(0, { 1 }, 1);
    fleet.runFor(600);
    constexpr auto weightSum = 18.1;
    constexpr auto meanCost = 285.0;
    const auto fairIntervalSeconds = meanCost * weightSum / (0.1 * fleet.inputs().serviceRate);
    const auto ownRequestSeconds = fleet_schedule::largestRequestCost / fleet_schedule::tokensPerSecond;
    const auto otherAccountsSeconds = 8 * accountCount * meanCost / fleet.inputs().serviceRate;
    BOOST_TEST_MESSAGE("longest wait of the smallest account "
                       << fleet.longestWait({ 1 }) << " s, bound "
                       << ownRequestSeconds + 3 * fairIntervalSeconds + otherAccountsSeconds << ", gap "
                       << fleet.gap(allAccounts()) << ", flooding account refused " << fleet.refusals({ 2 }));
    BOOST_TEST(fleet.longestWait({ 1 }) < ownRequestSeconds + 3 * fairIntervalSeconds + otherAccountsSeconds);
    BOOST_TEST(fleet.refusals({ 1 }) == 0U);
    BOOST_TEST(fleet.refusals({ 3 }) == 0U);
    BOOST_TEST(fleet.refusals({ 2 }) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
