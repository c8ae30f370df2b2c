#include "support/admission_simulation.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto draftPrompt = simulated_prompt{ 9'200, 500ms };
constexpr auto queryPrompt = simulated_prompt{ 2'400, 400ms };
constexpr auto statusPrompt = simulated_prompt{ 700, 300ms };

constexpr double capacity = admission_simulation::CAPACITY;
constexpr std::size_t smallAccounts = 50;
constexpr std::size_t seconds = 16;
constexpr auto seeds = { 1U, 2U, 3U };

/// Fifty accounts that together ask for two fifths of the engines' capacity, with all kinds of prompts, and \p large.
auto beside(std::vector<simulated_account> large) -> std::vector<simulated_account>
{
    constexpr std::uint64_t firstSmallAccount = 100;
    for (auto index = std::size_t(0); index < smallAccounts; ++index) {
        large.push_back({ .id = firstSmallAccount + index,
                          .tokensPerSecond = 0.4 * capacity / smallAccounts,
                          .prompts = { draftPrompt, queryPrompt, statusPrompt } });
    }
    return large;
}

/// Accounts with unlike prompts, routers and retries, of which each asks for as much as the small ones leave or more.
auto largeAccounts() -> std::vector<simulated_account>
{
    return {
        { .id = 1,
          .tokensPerSecond = 1.2 * capacity,
          .prompts = { queryPrompt, statusPrompt },
          .retries = 4,
          .from = 2 },
        { .id = 2,
          .tokensPerSecond = 0.6 * capacity,
          .prompts = { draftPrompt },
          .routers = 2,
          .retries = 1,
          .from = 3 },
        { .id = 3, .tokensPerSecond = 0.8 * capacity, .prompts = { draftPrompt, queryPrompt, statusPrompt }, .from = 3 }
    };
}

const auto none = std::set<std::uint64_t>();

} // namespace

BOOST_AUTO_TEST_SUITE(fair_shards_test)

BOOST_AUTO_TEST_CASE(a_large_account_that_several_dispatchers_refuse_gets_at_least_half_of_what_another_one_gets)
{
    for (const auto seed : seeds) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            auto simulation = admission_simulation(seed);
            simulation.run(beside(largeAccounts()), seconds);
            BOOST_TEST(simulation.accountsBelowHalf(3, seconds) == none, boost::test_tools::per_element());
        }
    }
}

BOOST_AUTO_TEST_CASE(large_accounts_get_equal_amounts_from_several_dispatchers_whatever_their_prompts_and_retries)
{
    for (const auto seed : seeds) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            auto simulation = admission_simulation(seed);
            simulation.run(beside(largeAccounts()), seconds);
            const auto second = static_cast<double>(simulation.placed(2, 4, seconds));
            for (const auto other : { 1U, 3U }) {
                const auto ratio = static_cast<double>(simulation.placed(other, 4, seconds)) / second;
                BOOST_TEST(ratio < 1.25);
                BOOST_TEST(1 / ratio < 1.25);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_account_that_becomes_large_in_an_overload_gets_at_least_half_of_what_another_one_gets)
{
    auto accounts = largeAccounts();
    accounts[1].from = 8;
    for (const auto seed : seeds) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            auto simulation = admission_simulation(seed);
            simulation.run(beside(accounts), seconds);
            BOOST_TEST(simulation.accountsBelowHalf(8, seconds) == none, boost::test_tools::per_element());
        }
    }
}

BOOST_AUTO_TEST_CASE(no_capacity_idles_while_several_dispatchers_refuse)
{
    for (const auto seed : seeds) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            auto simulation = admission_simulation(seed);
            simulation.run(beside(largeAccounts()), seconds);
            BOOST_TEST(simulation.engineUse(4, seconds) > 0.95);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
