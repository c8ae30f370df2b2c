#include "marjoramloom/share/cost_estimator.h"

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace marjoramloom;

namespace {

constexpr auto account = object_id{ 1 };
constexpr auto chat = object_id{ 2 };

} // namespace

BOOST_AUTO_TEST_SUITE(cost_estimator_test)

BOOST_AUTO_TEST_CASE(the_estimate_is_the_hint_before_any_cost_was_observed)
{
    BOOST_TEST(cost_estimator().expected(account, chat, 200) == 200);
}

BOOST_AUTO_TEST_CASE(one_very_expensive_request_hardly_moves_the_estimate)
{
    auto costs = cost_estimator();
    for (auto request = 0; request < 100; ++request) {
        costs.observe(account, chat, 200, 100);
    }
    costs.observe(account, chat, 200, 30 * 100);
    BOOST_TEST(costs.expected(account, chat, 200) < 110);
    BOOST_TEST(costs.largestCost() >= 3000 * 0.99);
}

BOOST_AUTO_TEST_CASE(a_new_account_starts_with_the_mean_cost_of_its_profile)
{
    auto costs = cost_estimator();
    for (auto request = 0; request < 20; ++request) {
        costs.observe(account, chat, 200, 800);
    }
    BOOST_TEST(costs.expected(object_id{ 9 }, chat, 200) > 600);
}

/// Hints are wrong by a factor of up to four in either direction, and costs vary: the estimate must still have a
/// smaller mean error than the hint.
BOOST_AUTO_TEST_CASE(estimates_are_closer_than_hints_that_are_wrong_by_a_factor_of_four)
{
    auto random = boost::random::mt19937_64(7);
    auto uniform = boost::random::uniform_01<double>();
    auto costs = cost_estimator();
    auto hintError = 0.0;
    auto estimateError = 0.0;
    for (auto request = 0; request < 4000; ++request) {
        const auto cost = boost::random::lognormal_distribution<double>(5, 0.6)(random);
        const auto hint = cost * std::pow(4, 2 * uniform(random) - 1);
        if (request >= 100) {
            hintError += std::abs(std::log(hint / cost));
            estimateError += std::abs(std::log(costs.expected(account, chat, hint) / cost));
        }
        costs.observe(account, chat, hint, cost);
    }
    BOOST_TEST_MESSAGE("mean logarithmic error: hints " << hintError / 3900 << ", estimates " << estimateError / 3900);
    BOOST_TEST(estimateError < hintError);
}

BOOST_AUTO_TEST_SUITE_END()
