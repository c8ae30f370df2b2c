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

BOOST_AUTO_TEST_SUITE_END()
