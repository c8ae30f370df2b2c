#include "fair_way_plays.h"

using namespace marjoramloom;
using namespace marjoramloom::testing;
using namespace std::chrono_literals;

namespace {

/// Two accounts that ask for 50 requests of 2,000 tokens in each second. Of these tokens, the first one gets \p got
/// thousand and the second all. Requests of the first one are refused for \p refusedFor.
auto twoAccounts(std::uint64_t got, duration refusedFor) -> fair_rule_checker
{
    constexpr auto tokens = std::uint64_t(1'000);
    auto checker = fair_rule_checker(2);
    for (auto time = duration(); time < 10s; time += 1s) {
        for (auto number = 0U; number < 100; ++number) {
            const auto account = std::size_t(number % 2);
            checker.noteAsked(account, 2 * tokens, time);
        }
        checker.noteBegan(0, got * tokens, time);
        checker.noteBegan(1, 100 * tokens, time);
        if (time < refusedFor) {
            checker.noteMissed(0, time);
        }
    }
    return checker;
}

} // namespace

BOOST_AUTO_TEST_SUITE(fair_way_test)

// A checker that finds nothing, or what the rule allows, would make every test below worthless.
BOOST_AUTO_TEST_CASE(the_checker_finds_an_account_with_less_than_half_and_no_other)
{
    // Three of the largest requests have 6,000 tokens, so that less than 297,000 of 600,000 break the rule.
    const auto below = twoAccounts(49, 10s).breaches(0s, 10s);
    BOOST_REQUIRE(below.size() == 1U);
    BOOST_TEST(below.front().account == 0U);
    BOOST_TEST(below.front().gotTokens == 294'000U);
    BOOST_TEST(below.front().owedTokens == 600'000U);
    BOOST_TEST(twoAccounts(50, 10s).breaches(0s, 10s).empty());
    BOOST_TEST(!twoAccounts(10, 6s).breaches(0s, 10s).empty());
    // In one second nothing was refused.
    BOOST_TEST(twoAccounts(10, 5s).breaches(0s, 10s).empty());
}

BOOST_AUTO_TEST_CASE(the_checker_owes_an_account_no_more_than_it_asked)
{
    auto checker = fair_rule_checker(2);
    for (auto time = duration(); time < 6s; time += 100ms) {
        checker.noteAsked(0, 1'000, time);
        checker.noteBegan(0, 600, time);
        checker.noteMissed(0, time);
        checker.noteAsked(1, 50'000, time);
        checker.noteBegan(1, 50'000, time);
    }
    BOOST_TEST(checker.breaches(0s, 6s).empty());
}

BOOST_AUTO_TEST_CASE(the_checker_finds_a_window_that_begins_within_a_second)
{
    auto checker = fair_rule_checker(2);
    for (auto time = duration(); time < 8s; time += 100ms) {
        const auto isBad = time >= 700ms && time < 6'700ms;
        checker.noteAsked(0, 1'000, time);
        checker.noteAsked(1, 1'000, time);
        checker.noteBegan(0, isBad ? 400 : 1'000, time);
        checker.noteBegan(1, 1'000, time);
        if (isBad) {
            checker.noteMissed(0, time);
        }
    }
    const auto breaches = checker.breaches(0s, 8s);
    BOOST_REQUIRE(breaches.size() == 1U);
    BOOST_TEST((breaches.front().from == 700ms));
}

// An account behind one small router got what that router could read, while the account beside it got its share.
BOOST_AUTO_TEST_CASE(an_account_behind_one_router_gets_its_share_beside_one_that_reaches_all)
{
    requireFair(oneFlood);
}

BOOST_AUTO_TEST_CASE(an_account_behind_one_of_equal_routers_gets_its_share)
{
    auto played = oneFlood;
    played.cores = equalSizes;
    requireFair(played);
}

BOOST_AUTO_TEST_CASE(an_account_behind_one_of_many_routers_gets_its_share)
{
    auto played = oneFlood;
    played.cores = manySizes();
    requireFair(played);
}

BOOST_AUTO_TEST_CASE(several_accounts_behind_one_of_many_routers_each_get_their_shares)
{
    requireFair(
        { .cores = manySizes(), .largePerSecond = 1'500, .floods = 3, .floodPerSecond = 700, .tokensPerSecond = 12e6 });
}

// FAIR is not promised here, but a router that reached no other one went on accepting more than it could serve in time.
BOOST_AUTO_TEST_CASE(a_flooded_router_that_reaches_no_other_serves_what_it_has_processor_time_for)
{
    requireServed({ .3, .09, .09 }, 1'500);
}

BOOST_AUTO_TEST_SUITE_END()
