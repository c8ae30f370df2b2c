#include "call_bench.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

const auto question = std::string("Is the sensor in stock?");

/// A policy that has learnt that first events come within some 10 ms and has hedges to spend.
auto teach(hedge_policy &policy) -> void
{
    for (auto call = 0; call < 200; ++call) {
        policy.onCall();
        policy.observe(0.01);
    }
}

auto hedgingBench() -> std::unique_ptr<call_bench>
{
    auto bench = std::make_unique<call_bench>(2);
    bench->treatment.hedge = true;
    bench->environment.hedges = &bench->hedges;
    teach(bench->hedges);
    return bench;
}

auto checkWhole(const call_bench &bench, const call_result &result, const std::string &asked) -> void
{
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(bench.sink.text == answerText(asked));
    BOOST_TEST(bench.sink.ordered);
    BOOST_TEST(bench.grants.running.empty());
    BOOST_TEST(!bench.grants.settledTwice);
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedge_test)

BOOST_AUTO_TEST_CASE(the_delay_is_a_quantile_of_what_was_observed_lately)
{
    auto policy = hedge_policy(0.05);
    BOOST_TEST(!policy.delay().has_value());
    for (auto call = 1; call <= 1000; ++call) {
        policy.observe(call * 0.001);
    }
    // One bin is a twelfth of a doubling or less wide.
    BOOST_TEST(toSeconds(*policy.delay()) >= 0.95);
    BOOST_TEST(toSeconds(*policy.delay()) <= 0.95 * 1.1);
    for (auto call = 0; call < 3000; ++call) {
        policy.observe(0.002);
    }
    BOOST_TEST(toSeconds(*policy.delay()) < 0.003);
}

BOOST_AUTO_TEST_CASE(hedges_stay_under_their_fraction_of_calls)
{
    auto policy = hedge_policy(0.05);
    auto taken = 0;
    for (auto call = 0; call < 10'000; ++call) {
        policy.onCall();
        taken += policy.take() ? 1 : 0;
    }
    BOOST_TEST(taken <= 500);
    BOOST_TEST(taken >= 490);
}

BOOST_AUTO_TEST_CASE(a_slow_first_event_is_asked_for_elsewhere_and_the_loser_cancelled)
{
    auto bench = hedgingBench();
    bench->engine(0).firstEventDelay = std::chrono::milliseconds(400);
    const auto result = bench->run(bench->ask(question));
    checkWhole(*bench, result, question);
    BOOST_TEST(result.hedges == 1U);
    BOOST_TEST(bench->engine(1).executed.size() == 1U);
    BOOST_TEST(bench->engine(0).cancelled.size() == 1U);
    BOOST_TEST(bench->grants.settled.size() == 2U);
    // The slow server is known to be slow although it never answered.
    const auto slow = std::ranges::find(bench->samples, object_id{ 1 }, &pace_sample::server);
    BOOST_REQUIRE(slow != bench->samples.end());
    BOOST_TEST(slow->firstTokenSeconds > 0.005);
}

BOOST_AUTO_TEST_CASE(work_that_does_not_hedge_waits)
{
    auto bench = hedgingBench();
    bench->treatment.hedge = false;
    bench->engine(0).firstEventDelay = std::chrono::milliseconds(50);
    const auto result = bench->run(bench->ask(question));
    checkWhole(*bench, result, question);
    BOOST_TEST(result.hedges == 0U);
    BOOST_TEST(bench->engine(1).executed.empty());
}

BOOST_AUTO_TEST_CASE(a_hedge_without_a_place_costs_nothing)
{
    auto bench = hedgingBench();
    bench->grants.servers.resize(1);
    bench->engine(0).firstEventDelay = std::chrono::milliseconds(50);
    const auto result = bench->run(bench->ask(question));
    checkWhole(*bench, result, question);
    BOOST_TEST(result.hedges == 0U);
    BOOST_TEST(bench->grants.tickets.size() == 2U);
}

BOOST_DATA_TEST_CASE(racing_attempts_never_mix_their_answers, boost::unit_test::data::xrange(30), seed)
{
    auto random = boost::random::mt19937(static_cast<unsigned>(seed));
    auto bench = hedgingBench();
    bench->treatment.retries = 6;
    const auto pick = [&](std::uint64_t most) {
        return boost::random::uniform_int_distribution<std::uint64_t>(0, most)(random);
    };
    constexpr auto faults = std::array{ engine_fault::none,    engine_fault::close, engine_fault::repeat,
                                        engine_fault::crossId, engine_fault::drop,  engine_fault::refuse };
    for (auto engine = 0U; engine < 2; ++engine) {
        bench->engine(engine).firstEventDelay = std::chrono::milliseconds(pick(25));
        bench->engine(engine).eventDelay = std::chrono::microseconds(pick(2000));
        bench->engine(engine).faults.push_back({ faults[pick(faults.size() - 1)], pick(6) });
        bench->engine(engine).faults.push_back({ faults[pick(faults.size() - 1)], pick(6) });
    }
    const auto asked = question + std::to_string(seed);
    checkWhole(*bench, bench->run(bench->ask(asked)), asked);
}

BOOST_AUTO_TEST_SUITE_END()
