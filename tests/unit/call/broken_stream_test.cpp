#include "call_fixture.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

const auto question = std::string("How many coaches stand ready?");

auto checkComplete(const call_fixture &fixture, const call_result &result, const std::string &prompt) -> void
{
    BOOST_TEST(nameOf(result.state) == nameOf(call_state::complete), result.reason.text());
    BOOST_TEST(fixture.sink.text == answerText(prompt));
    BOOST_TEST(fixture.sink.ordered);
    BOOST_TEST(fixture.sink.lastReceived);
    BOOST_TEST(fixture.grants.running.empty());
    BOOST_TEST(!fixture.grants.settledTwice);
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_stream_test)

BOOST_AUTO_TEST_CASE(a_clean_answer_is_complete_and_its_connection_is_reused)
{
    auto fixture = call_fixture(1);
    checkComplete(fixture, fixture.run(fixture.makeRequest(question)), question);
    fixture.sink = {};
    checkComplete(fixture, fixture.run(fixture.makeRequest("another question")), "another question");
    BOOST_TEST(fixture.engine(0).connections == 1U);
    BOOST_TEST(fixture.engine(0).executed.size() == 2U);
}

constexpr auto streamFaults = std::array{ engine_fault::close,     engine_fault::silence, engine_fault::repeat,
                                          engine_fault::drop,      engine_fault::swap,    engine_fault::crossId,
                                          engine_fault::crossBody, engine_fault::garbage, engine_fault::noMarker };

BOOST_DATA_TEST_CASE(a_stream_fault_at_any_event_does_not_corrupt_the_answer,
                     boost::unit_test::data::make({ 0, 1, 3, 5 }) * boost::unit_test::data::xrange(streamFaults.size()),
                     at, index)
{
    auto fixture = call_fixture(1);
    fixture.engine(0).faults.push_back({ streamFaults[index], static_cast<std::uint64_t>(at) });
    checkComplete(fixture, fixture.run(fixture.makeRequest(question)), question);
    // The stream was resumed, and the request was not sent again.
    BOOST_TEST(fixture.engine(0).executed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_connection_with_an_unclean_end_is_not_reused)
{
    for (const auto fault : { engine_fault::noMarker, engine_fault::lateEvent, engine_fault::crossId }) {
        auto fixture = call_fixture(1);
        fixture.engine(0).faults.push_back({ fault, 1 });
        checkComplete(fixture, fixture.run(fixture.makeRequest(question)), question);
        const auto before = fixture.engine(0).connections;
        fixture.sink = {};
        fixture.settle();
        checkComplete(fixture, fixture.run(fixture.makeRequest("the next question")), "the next question");
        // The broken connection was closed. After crossId the stream was resumed on another connection, which is
        // reused.
        BOOST_TEST(fixture.engine(0).connections == before + (fault == engine_fault::crossId ? 0 : 1));
    }
}

BOOST_AUTO_TEST_CASE(a_failed_request_is_retried_on_the_only_engine)
{
    auto fixture = call_fixture(1);
    fixture.engine(0).faults.push_back({ engine_fault::refuse, 0 });
    checkComplete(fixture, fixture.run(fixture.makeRequest(question)), question);
}

BOOST_AUTO_TEST_CASE(a_request_continues_on_another_engine_after_a_crash)
{
    for (const auto at : { 0U, 1U, 4U }) {
        auto fixture = call_fixture(2);
        fixture.engine(0).faults.push_back({ engine_fault::dieAfter, at });
        const auto result = fixture.run(fixture.makeRequest(question));
        checkComplete(fixture, result, question);
        BOOST_TEST(result.attempts == 2U);
        BOOST_TEST(fixture.engine(1).executed.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(max_tokens_counts_the_tokens_of_all_engines)
{
    auto fixture = call_fixture(2);
    fixture.engine(0).faults.push_back({ engine_fault::dieAfter, 2 });
    const auto result = fixture.run(fixture.makeRequest(question, 4));
    BOOST_TEST(nameOf(result.state) == "complete");
    BOOST_TEST(fixture.sink.finishReason == "length");
    BOOST_TEST(result.generatedTokens == 4U);
    BOOST_TEST(answerText(question).starts_with(fixture.sink.text));
}

BOOST_AUTO_TEST_CASE(an_answer_that_cannot_be_completed_is_reported_as_unfinished)
{
    auto fixture = call_fixture(1);
    fixture.engine(0).faults.push_back({ engine_fault::dieAfter, 3 });
    const auto result = fixture.run(fixture.makeRequest(question));
    BOOST_TEST(nameOf(result.state) == "unfinished");
    BOOST_TEST(!fixture.sink.lastReceived);
    BOOST_TEST(fixture.sink.pieces == 3U);
    BOOST_TEST(fixture.grants.running.empty());
}

BOOST_DATA_TEST_CASE(random_fault_schedules_do_not_corrupt_the_answer, boost::unit_test::data::xrange(40), seed)
{
    auto random = boost::random::mt19937(static_cast<unsigned>(seed));
    auto fixture = call_fixture(3);
    fixture.treatment.retries = 8;
    auto pickFault = boost::random::uniform_int_distribution<std::size_t>(0, streamFaults.size() - 1);
    auto pickPlace = boost::random::uniform_int_distribution<std::uint64_t>(0, 24);
    for (auto engine = 0U; engine < 3; ++engine) {
        for (auto planned = 0; planned < 4; ++planned) {
            fixture.engine(engine).faults.push_back({ streamFaults[pickFault(random)], pickPlace(random) });
        }
    }
    // At most one engine dies, so that the others can take over.
    if (seed % 3 == 0) {
        fixture.engine(0).faults.insert(fixture.engine(0).faults.begin() + seed % 4,
                                        { engine_fault::dieAfter, pickPlace(random) });
    }
    const auto prompt = question + std::to_string(seed);
    checkComplete(fixture, fixture.run(fixture.makeRequest(prompt)), prompt);
}

BOOST_AUTO_TEST_CASE(a_caller_disconnect_cancels_the_engine_request_and_settles_the_grant)
{
    auto fixture = call_fixture(1);
    fixture.sink.disconnectAfter = 2;
    fixture.engine(0).eventDelay = std::chrono::milliseconds(5);
    const auto result = fixture.run(fixture.makeRequest(question));
    BOOST_TEST(nameOf(result.state) == "cancelled");
    BOOST_TEST(fixture.engine(0).cancelled.size() == 1U);
    BOOST_TEST(fixture.grants.running.empty());
    BOOST_TEST(fixture.grants.settled.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_suspended_call_continues_from_the_delivered_text)
{
    auto fixture = call_fixture(2);
    fixture.engine(0).eventDelay = std::chrono::milliseconds(5);
    fixture.sink.onPiece = [&](const answer_piece &piece) {
        if (piece.sequence == 2) {
            fixture.control->suspend(fixture.grants.running.begin()->first);
            fixture.grants.servers = { { 2 } };
        }
    };
    const auto result = fixture.run(fixture.makeRequest(question));
    checkComplete(fixture, result, question);
    BOOST_TEST(result.suspensions == 1U);
    BOOST_TEST(fixture.engine(0).cancelled.size() == 1U);
    BOOST_REQUIRE(fixture.grants.tickets.size() == 2U);
    BOOST_TEST(fixture.grants.tickets[1].suspensions == 1U);
}

BOOST_AUTO_TEST_CASE(a_refused_ticket_is_reported_as_not_run)
{
    auto fixture = call_fixture(1);
    fixture.grants.refuse = true;
    const auto result = fixture.run(fixture.makeRequest(question));
    BOOST_TEST(nameOf(result.state) == "not_run");
    BOOST_TEST(fixture.engine(0).executed.empty());
}

BOOST_AUTO_TEST_CASE(a_request_refused_by_a_leaving_engine_runs_on_another)
{
    auto fixture = call_fixture(2);
    fixture.treatment.retries = 0;
    fixture.engine(0).leaving = true;
    const auto result = fixture.run(fixture.makeRequest(question));
    checkComplete(fixture, result, question);
    BOOST_REQUIRE(fixture.leaving.size() == 1U);
    BOOST_TEST(fixture.leaving[0].value == 1U);
    BOOST_TEST(fixture.engine(0).executed.empty());
}

BOOST_AUTO_TEST_SUITE_END()
