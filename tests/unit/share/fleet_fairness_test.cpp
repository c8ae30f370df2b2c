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

/// Account 1 waits only in the crowded first site, account 10 only in the second, where it is alone.
auto unevenFleet(const fleet_schedule::options &chosen) -> fleet_schedule
{
    auto fleet = fleet_schedule(chosen);
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

BOOST_AUTO_TEST_CASE(gap_of_a_crowded_and_a_quiet_data_centre_stays_under_the_bound)
{
    for (const auto seed : { 1U, 2U, 3U }) {
        auto chosen = fleet_schedule::options();
        chosen.seed = seed;
        auto fleet = unevenFleet(chosen);
        const auto bound = fairnessBound(fleet.inputs());
        auto worst = 0.0;
        while (fleet.seconds() < 600) {
            fleet.runFor(10);
            worst = std::max(worst, fleet.gap(allAccounts()));
        }
        BOOST_TEST_MESSAGE("seed " << seed << " worst gap " << worst << " end " << fleet.gap(allAccounts()) << " bound "
                                   << bound << " utilisation " << fleet.utilisation());
        BOOST_TEST(worst < bound);
        BOOST_TEST(fleet.utilisation() >= 0.97);
        chosen.exchangeDigests = false;
        auto apart = unevenFleet(chosen);
        apart.runFor(600);
        BOOST_TEST_MESSAGE("without digests gap " << apart.gap(allAccounts()));
        BOOST_TEST(apart.gap(allAccounts()) > bound);
        BOOST_TEST(fleet.gap(allAccounts()) < 0.1 * apart.gap(allAccounts()));
    }
}

BOOST_AUTO_TEST_CASE(weights_hints_off_by_four_and_a_flood_at_twenty_times)
{
    auto chosen = fleet_schedule::options();
    chosen.seed = 4;
    chosen.hintError = 4;
    auto fleet = fleet_schedule(chosen);
    auto weights = equalWeights();
    weights[{ 2 }] = 4;
    fleet.setWeights(weights);
    for (const auto account : allAccounts()) {
        for (auto site = std::size_t(0); site < 3; ++site) {
            fleet.keepWaiting(site, account, account.value == 3 ? 400 : 20);
        }
    }
    auto worst = 0.0;
    while (fleet.seconds() < 300) {
        fleet.runFor(5);
        worst = std::max(worst, fleet.gap(allAccounts()));
    }
    BOOST_TEST_MESSAGE("worst gap " << worst << " utilisation " << fleet.utilisation());
    BOOST_TEST(worst < fairnessBound(fleet.inputs()));
    BOOST_TEST(worst < 0.1 * fleet.received({ 1 }));
}

BOOST_AUTO_TEST_CASE(a_dispatcher_that_starts_empty_and_one_that_was_paused_keep_the_bound)
{
    auto fleet = unevenFleet({});
    fleet.runFor(200);
    fleet.restart(0);
    fleet.runFor(100);
    fleet.setPaused(2, true);
    fleet.runFor(30);
    fleet.setPaused(2, false);
    auto worst = 0.0;
    for (auto round = 0; round < 30; ++round) {
        fleet.runFor(10);
        worst = std::max(worst, fleet.gap(allAccounts()));
    }
    BOOST_TEST_MESSAGE("worst gap after the faults " << worst << " end " << fleet.gap(allAccounts()));
    BOOST_TEST(worst < fairnessBound(fleet.inputs()));
    BOOST_TEST(fleet.gap(allAccounts()) < 0.1 * fleet.received(quietAccount));
}

BOOST_AUTO_TEST_CASE(after_a_partition_the_gap_stops_growing_and_debt_is_forgiven)
{
    auto fleet = unevenFleet({});
    fleet.runFor(100);
    fleet.setCut(1, true);
    fleet.runFor(300);
    fleet.setCut(1, false);
    const auto atRejoin = fleet.gap(allAccounts());
    const auto before = fleet.received(quietAccount);
    fleet.runFor(240);
    const auto atEnd = fleet.gap(allAccounts());
    const auto got = fleet.received(quietAccount) - before;
    const auto fairShare = 240 * fleet.inputs().serviceRate / accountCount;
    BOOST_TEST_MESSAGE("gap at rejoin " << atRejoin << " at the end " << atEnd << " quiet account got " << got << " of "
                                        << fairShare << " longest wait " << fleet.longestWait(quietAccount));
    BOOST_TEST(atEnd <= atRejoin + fairnessBound(fleet.inputs()));
    BOOST_TEST(got > 0.5 * fairShare);
}

/// Beside a flood, an account with a hundredth of the largest weight: at most its own running request, the starvation
/// limit of three times its fair spacing, and the turns of the other accounts that wait as long.
BOOST_AUTO_TEST_CASE(the_smallest_account_waits_boundedly_beside_a_flood)
{
    auto chosen = fleet_schedule::options();
    chosen.sites = 1;
    chosen.settings.queueLimit = 500;
    auto fleet = fleet_schedule(chosen);
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
    const auto fairSpacing = meanCost * weightSum / (0.1 * fleet.inputs().serviceRate);
    const auto ownPiece = fleet_schedule::largestPiece / fleet_schedule::tokensPerSecond;
    const auto turns = 8 * accountCount * meanCost / fleet.inputs().serviceRate;
    BOOST_TEST_MESSAGE("longest wait of the smallest "
                       << fleet.longestWait({ 1 }) << " s, bound " << ownPiece + 3 * fairSpacing + turns << ", gap "
                       << fleet.gap(allAccounts()) << ", flooder refused " << fleet.refusals({ 2 }));
    BOOST_TEST(fleet.longestWait({ 1 }) < ownPiece + 3 * fairSpacing + turns);
    BOOST_TEST(fleet.refusals({ 1 }) == 0U);
    BOOST_TEST(fleet.refusals({ 3 }) == 0U);
    BOOST_TEST(fleet.refusals({ 2 }) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
