#include "call_fixture.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

const auto question = std::string("Is the sensor in stock?");

/// Fills \p policy with first-event times of 10 ms and with a full budget.
auto recordFastFirstEvents(hedge_policy &policy) -> void
{
    for (auto call = 0; call < 200; ++call) {
        policy.onCall();
        policy.observe(0.01);
    }
}

auto hedgingFixture() -> std::unique_ptr<call_fixture>
{
    auto fixture = std::make_unique<call_fixture>(2);
    fixture->treatment.hedge = true;
    fixture->environment.hedges = &fixture->hedges;
    recordFastFirstEvents(fixture->hedges);
    return fixture;
}

auto checkComplete(const call_fixture &fixture, const call_result &result, const std::string &prompt) -> void
{
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(fixture.sink.text == answerText(prompt));
    BOOST_TEST(fixture.sink.ordered);
    BOOST_TEST(fixture.grants.running.empty());
    BOOST_TEST(!fixture.grants.settledTwice);
}

} // namespace

BOOST_AUTO_TEST_SUITE(hedge_test)

BOOST_AUTO_TEST_CASE(the_delay_is_a_quantile_of_recent_first_event_times)
{
    auto policy = hedge_policy(0.05);
    BOOST_TEST(!policy.delay().has_value());
    for (auto call = 1; call <= 1000; ++call) {
        policy.observe(call * 0.001);
    }
    // The delay is the upper edge of a bin, and a bin is an eighth of a doubling (9 %) wide.
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

BOOST_AUTO_TEST_CASE(a_slow_first_event_starts_a_hedge_and_the_slower_attempt_is_cancelled)
{
    auto fixture = hedgingFixture();
    fixture->engine(0).firstEventDelay = std::chrono::milliseconds(400);
    const auto result = fixture->run(fixture->makeRequest(question));
    checkComplete(*fixture, result, question);
    BOOST_TEST(result.hedges == 1U);
    BOOST_TEST(fixture->engine(1).executed.size() == 1U);
    BOOST_TEST(fixture->engine(0).cancelled.size() == 1U);
    BOOST_TEST(fixture->grants.settled.size() == 2U);
    // The slow server was reported as slow although it sent no event.
    const auto slow = std::ranges::find(fixture->samples, object_id{ 1 }, &pace_sample::server);
    BOOST_REQUIRE(slow != fixture->samples.end());
    BOOST_TEST(slow->firstTokenSeconds > 0.005);
}

BOOST_AUTO_TEST_CASE(a_profile_without_hedging_waits_for_a_slow_engine)
{
    auto fixture = hedgingFixture();
    fixture->treatment.hedge = false;
    fixture->engine(0).firstEventDelay = std::chrono::milliseconds(50);
    const auto result = fixture->run(fixture->makeRequest(question));
    checkComplete(*fixture, result, question);
    BOOST_TEST(result.hedges == 0U);
    BOOST_TEST(fixture->engine(1).executed.empty());
}

BOOST_AUTO_TEST_CASE(a_hedge_without_a_grant_does_not_affect_the_call)
{
    auto fixture = hedgingFixture();
    fixture->grants.servers.resize(1);
    fixture->engine(0).firstEventDelay = std::chrono::milliseconds(50);
    const auto result = fixture->run(fixture->makeRequest(question));
    checkComplete(*fixture, result, question);
    BOOST_TEST(result.hedges == 0U);
    BOOST_TEST(fixture->grants.tickets.size() == 2U);
}

BOOST_DATA_TEST_CASE(racing_attempts_do_not_mix_their_answers, boost::unit_test::data::xrange(30), seed)
{
    auto random = boost::random::mt19937(static_cast<unsigned>(seed));
    auto fixture = hedgingFixture();
    fixture->treatment.retries = 6;
    const auto pick = [&](std::uint64_t most) {
        return boost::random::uniform_int_distribution<std::uint64_t>(0, most)(random);
    };
    constexpr auto faults = std::array{ engine_fault::none,    engine_fault::close, engine_fault::repeat,
                                        engine_fault::crossId, engine_fault::drop,  engine_fault::refuse };
    for (auto engine = 0U; engine < 2; ++engine) {
        fixture->engine(engine).firstEventDelay = std::chrono::milliseconds(pick(25));
        fixture->engine(engine).eventDelay = std::chrono::microseconds(pick(2000));
        fixture->engine(engine).faults.push_back({ faults[pick(faults.size() - 1)], pick(6) });
        fixture->engine(engine).faults.push_back({ faults[pick(faults.size() - 1)], pick(6) });
    }
    const auto prompt = question + std::to_string(seed);
    checkComplete(*fixture, fixture->run(fixture->makeRequest(prompt)), prompt);
}

BOOST_AUTO_TEST_SUITE_END()
