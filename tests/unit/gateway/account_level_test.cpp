#include "marjoramloom/gateway/decisions/account_level.h"
#include "marjoramloom/gateway/decisions/admission_policy.h"
#include "marjoramloom/gateway/decisions/pending_placements.h"
#include "marjoramloom/gateway/decisions/sliding_window_sum.h"
#include "marjoramloom/gateway/knowledge/admission_record.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// The largest of the accounts that ask has 900 tokens of recent work.
struct level_fixture
{
    /// Records prompts of all accounts for \p span.
    auto ask(double waitFraction, duration span) -> void
    {
        for (const auto end = now + span; now < end; now += account_level::UPDATE_PERIOD) {
            for (const auto accountTokens : { 900.0, 300.0, 30.0 }) {
                level.noteAsked(100, accountTokens, waitFraction, evenTokens, now);
            }
        }
    }

    account_level level;
    double evenTokens = 0;
    time_point now{ 1'700'000'000s };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(account_level_test, level_fixture)

BOOST_AUTO_TEST_CASE(the_level_limits_nobody_while_prompts_wait_for_less_than_the_target)
{
    BOOST_TEST(level.fractionOfLevel(900) == 0);
    BOOST_TEST(level.contention() == 0);
    ask(account_level::TARGET_WAIT - 0.1, 3s);
    BOOST_TEST(level.fractionOfLevel(900) == 1 / account_level::HIGHEST_LEVEL);
    BOOST_TEST(level.contention() == 0);
    BOOST_TEST((admission_policy::blend(100ms, 20ms, 0.25) == 80ms));
}

BOOST_AUTO_TEST_CASE(the_level_falls_below_the_largest_accounts_while_prompts_wait_and_rises_again)
{
    ask(1, 500ms);
    BOOST_TEST(level.fractionOfLevel(900) > 1);
    BOOST_TEST(level.fractionOfLevel(300) < 1);
    BOOST_TEST(level.contention() == 1);
    ask(2, 1s);
    BOOST_TEST(level.fractionOfLevel(300) > 1);
    ask(0, 2s);
    BOOST_TEST(level.fractionOfLevel(900) < 1);
    BOOST_TEST(level.contention() == 0);
}

BOOST_AUTO_TEST_CASE(the_level_never_falls_below_an_even_part_of_all_work)
{
    evenTokens = 410;
    ask(2, 10s);
    BOOST_TEST(level.fractionOfLevel(410) == 1);
}

BOOST_AUTO_TEST_CASE(after_a_long_overload_the_level_limits_nobody_within_seconds)
{
    ask(2, 60s);
    BOOST_TEST(level.contention() == 1);
    ask(0, 5s);
    BOOST_TEST(level.contention() == 0);
}

BOOST_AUTO_TEST_CASE(the_largest_account_is_forgotten_when_it_asks_no_more)
{
    ask(0, 2s);
    for (const auto end = now + 3s; now < end; now += account_level::UPDATE_PERIOD) {
        level.noteAsked(100, 300, 0, evenTokens, now);
    }
    BOOST_TEST(level.fractionOfLevel(300) == 1 / account_level::HIGHEST_LEVEL);
}

BOOST_AUTO_TEST_CASE(what_a_dispatcher_placed_counts_for_the_account_until_a_report_includes_it)
{
    auto placements = pending_placements();
    placements.add(7, 1, 500, { .account = 3, .tokens = 520 }, now);
    placements.add(8, 1, 0, { .account = 3, .tokens = 80 }, now);
    placements.add(8, 2, 10, { .account = 4, .tokens = 0 }, now);
    BOOST_TEST(placements.tokensOfAccount(3) == 600U);
    placements.acknowledge(7, 1);
    BOOST_TEST(placements.tokensOfAccount(3) == 80U);
    placements.expire(now + pending_placements::LIFETIME + 1ms);
    BOOST_TEST(placements.tokensOfAccount(3) == 0U);
    BOOST_TEST(placements.tokensOfAccount(4) == 0U);
}

BOOST_AUTO_TEST_CASE(a_burst_is_forgotten_gradually)
{
    auto sum = sliding_window_sum();
    sum.add(1'000, now);
    BOOST_TEST(sum.fading(now) == 1'000U);
    BOOST_TEST(sum.fading(now + 500ms) == 750U);
    BOOST_TEST(sum.fading(now + 1'900ms) == 50U);
    BOOST_TEST(sum.total(now + 1'900ms) == 1'000U);
    BOOST_TEST(sum.fading(now + 2s) == 0U);
    for (auto age = 0ms; age < 4s; age += 10ms) {
        sum.add(10, now + 10s + age);
    }
    const auto flow = 1'000.0;
    const auto faded = static_cast<double>(sum.fading(now + 13'999ms));
    BOOST_TEST(faded == flow * toSeconds(sliding_window_sum::FADING_LENGTH), boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(prompts_of_an_account_above_the_level_may_wait_for_less_than_those_of_one_below_half_of_it)
{
    const auto policy = admission_policy();
    const auto shortest = policy.maxContendedWait(300ms, 290ms, 0.4);
    BOOST_TEST((shortest == 105ms));
    BOOST_TEST((policy.maxContendedWait(300ms, 100ms, 0.4) == 200ms));
    BOOST_TEST((policy.maxContendedWait(300ms, 100ms, 1.0) == policy.maxContendedWait(300ms, 290ms, 1.0)));
    for (const auto prefill : { 10ms, 200ms, 600ms }) {
        BOOST_TEST((policy.maxContendedWait(500ms, prefill, 1.5) < shortest));
        BOOST_TEST((policy.maxContendedWait(500ms, prefill, 1.0) > policy.maxContendedWait(500ms, prefill, 1.2)));
        BOOST_TEST((policy.maxContendedWait(500ms, prefill, 1.5) > policy.maxContendedWait(500ms, prefill, 3.0)));
        BOOST_TEST((policy.maxContendedWait(500ms, prefill, 9.0) > 0ms));
    }
}

BOOST_AUTO_TEST_CASE(the_record_names_the_accounts_with_the_most_refusals_once)
{
    auto record = admission_record();
    record.note({ .account = 1, .tokens = 5, .result = admission_result::placed });
    record.note({ .account = 2, .tokens = 7, .result = admission_result::expectedLate });
    record.note({ .account = 3, .tokens = 7, .result = admission_result::noRoom });
    record.note({ .account = 3, .tokens = 9, .result = admission_result::placed });
    record.note({ .account = 3, .tokens = 7, .result = admission_result::noRoom });
    const auto refused = record.takeRefused(2);
    BOOST_REQUIRE(refused.size() == 2U);
    BOOST_TEST(refused[0].account == 3U);
    BOOST_TEST(refused[0].askedTokens == 23U);
    BOOST_TEST(refused[0].placedTokens == 9U);
    BOOST_TEST(refused[1].count(admission_result::expectedLate) == 1U);
    BOOST_TEST(record.takeRefused(2).empty());
    record.note({ .account = 4, .tokens = 8, .result = admission_result::placed });
    record.note({ .account = 5, .tokens = 8, .result = admission_result::placed, .alone = true });
    const auto alone = record.takeRefused(2);
    BOOST_REQUIRE(alone.size() == 1U);
    BOOST_TEST(alone[0].placedAloneTokens == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
