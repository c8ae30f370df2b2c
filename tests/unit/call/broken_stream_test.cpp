#include "call_bench.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

const auto question = std::string("How many coaches stand ready?");

auto checkWhole(const call_bench &bench, const call_result &result, const std::string &asked) -> void
{
    BOOST_TEST(nameOf(result.state) == nameOf(call_state::complete), result.reason.text());
    BOOST_TEST(bench.sink.text == answerText(asked));
    BOOST_TEST(bench.sink.ordered);
    BOOST_TEST(bench.sink.whole);
    BOOST_TEST(bench.grants.running.empty());
    BOOST_TEST(!bench.grants.settledTwice);
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_stream_test)

BOOST_AUTO_TEST_CASE(an_answer_without_faults_is_whole_and_its_connection_used_again)
{
    auto bench = call_bench(1);
    checkWhole(bench, bench.run(bench.ask(question)), question);
    bench.sink = {};
    checkWhole(bench, bench.run(bench.ask("another question")), "another question");
    BOOST_TEST(bench.engine(0).connections == 1U);
    BOOST_TEST(bench.engine(0).executed.size() == 2U);
}

constexpr auto streamFaults = std::array{ engine_fault::close,     engine_fault::silence, engine_fault::repeat,
                                          engine_fault::drop,      engine_fault::swap,    engine_fault::crossId,
                                          engine_fault::crossBody, engine_fault::garbage, engine_fault::noMarker };

BOOST_DATA_TEST_CASE(a_fault_at_any_event_leaves_the_answer_whole,
                     boost::unit_test::data::make({ 0, 1, 3, 5 }) * boost::unit_test::data::xrange(streamFaults.size()),
                     at, index)
{
    auto bench = call_bench(1);
    bench.engine(0).faults.push_back({ streamFaults[index], static_cast<std::uint64_t>(at) });
    checkWhole(bench, bench.run(bench.ask(question)), question);
    // Resumed, not asked again.
    BOOST_TEST(bench.engine(0).executed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_connection_whose_answer_did_not_end_cleanly_is_not_used_again)
{
    for (const auto fault : { engine_fault::noMarker, engine_fault::lateEvent, engine_fault::crossId }) {
        auto bench = call_bench(1);
        bench.engine(0).faults.push_back({ fault, 1 });
        checkWhole(bench, bench.run(bench.ask(question)), question);
        const auto before = bench.engine(0).connections;
        bench.sink = {};
        bench.settle();
        checkWhole(bench, bench.run(bench.ask("the next question")), "the next question");
        // The broken connection is gone; a stream that was resumed leaves the one that it ended on.
        BOOST_TEST(bench.engine(0).connections == before + (fault == engine_fault::crossId ? 0 : 1));
    }
}

BOOST_AUTO_TEST_CASE(one_engine_alone_is_asked_again_after_it_failed)
{
    auto bench = call_bench(1);
    bench.engine(0).faults.push_back({ engine_fault::refuse, 0 });
    checkWhole(bench, bench.run(bench.ask(question)), question);
}

BOOST_AUTO_TEST_CASE(an_engine_that_dies_is_replaced_from_the_text_so_far)
{
    for (const auto at : { 0U, 1U, 4U }) {
        auto bench = call_bench(2);
        bench.engine(0).faults.push_back({ engine_fault::dieAfter, at });
        const auto result = bench.run(bench.ask(question));
        checkWhole(bench, result, question);
        BOOST_TEST(result.attempts == 2U);
        BOOST_TEST(bench.engine(1).executed.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(max_tokens_holds_over_a_change_of_engines)
{
    auto bench = call_bench(2);
    bench.engine(0).faults.push_back({ engine_fault::dieAfter, 2 });
    const auto result = bench.run(bench.ask(question, 4));
    BOOST_TEST(nameOf(result.state) == "complete");
    BOOST_TEST(bench.sink.finishReason == "length");
    BOOST_TEST(result.generatedTokens == 4U);
    BOOST_TEST(answerText(question).starts_with(bench.sink.text));
}

BOOST_AUTO_TEST_CASE(what_cannot_be_completed_ends_unfinished)
{
    auto bench = call_bench(1);
    bench.engine(0).faults.push_back({ engine_fault::dieAfter, 3 });
    const auto result = bench.run(bench.ask(question));
    BOOST_TEST(nameOf(result.state) == "unfinished");
    BOOST_TEST(!bench.sink.whole);
    BOOST_TEST(bench.sink.pieces == 3U);
    BOOST_TEST(bench.grants.running.empty());
}

BOOST_DATA_TEST_CASE(any_schedule_of_faults_leaves_the_answer_whole, boost::unit_test::data::xrange(40), seed)
{
    auto random = boost::random::mt19937(static_cast<unsigned>(seed));
    auto bench = call_bench(3);
    bench.treatment.retries = 8;
    auto pickFault = boost::random::uniform_int_distribution<std::size_t>(0, streamFaults.size() - 1);
    auto pickPlace = boost::random::uniform_int_distribution<std::uint64_t>(0, 24);
    for (auto engine = 0U; engine < 3; ++engine) {
        for (auto planned = 0; planned < 4; ++planned) {
            bench.engine(engine).faults.push_back({ streamFaults[pickFault(random)], pickPlace(random) });
        }
    }
    // One engine may die; the others are there to take over.
    if (seed % 3 == 0) {
        bench.engine(0).faults.insert(bench.engine(0).faults.begin() + seed % 4,
                                      { engine_fault::dieAfter, pickPlace(random) });
    }
    const auto asked = question + std::to_string(seed);
    checkWhole(bench, bench.run(bench.ask(asked)), asked);
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_is_told_to_the_engine_and_settled)
{
    auto bench = call_bench(1);
    bench.sink.leaveAfter = 2;
    bench.engine(0).eventDelay = std::chrono::milliseconds(5);
    const auto result = bench.run(bench.ask(question));
    BOOST_TEST(nameOf(result.state) == "cancelled");
    BOOST_TEST(bench.engine(0).cancelled.size() == 1U);
    BOOST_TEST(bench.grants.running.empty());
    BOOST_TEST(bench.grants.settled.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_suspended_call_goes_on_from_the_text_so_far)
{
    auto bench = call_bench(2);
    bench.engine(0).eventDelay = std::chrono::milliseconds(5);
    bench.sink.onPiece = [&](const answer_piece &piece) {
        if (piece.sequence == 2) {
            bench.control->suspend(bench.grants.running.begin()->first);
            bench.grants.servers = { { 2 } };
        }
    };
    const auto result = bench.run(bench.ask(question));
    checkWhole(bench, result, question);
    BOOST_TEST(result.suspensions == 1U);
    BOOST_TEST(bench.engine(0).cancelled.size() == 1U);
    BOOST_REQUIRE(bench.grants.tickets.size() == 2U);
    BOOST_TEST(bench.grants.tickets[1].suspensions == 1U);
}

BOOST_AUTO_TEST_CASE(a_refused_ticket_was_not_run)
{
    auto bench = call_bench(1);
    bench.grants.refuse = true;
    const auto result = bench.run(bench.ask(question));
    BOOST_TEST(nameOf(result.state) == "not_run");
    BOOST_TEST(bench.engine(0).executed.empty());
}

BOOST_AUTO_TEST_CASE(a_leaving_engine_is_reported_and_the_request_granted_elsewhere)
{
    auto bench = call_bench(2);
    bench.treatment.retries = 0;
    bench.engine(0).leaving = true;
    const auto result = bench.run(bench.ask(question));
    checkWhole(bench, result, question);
    BOOST_REQUIRE(bench.leaving.size() == 1U);
    BOOST_TEST(bench.leaving[0].value == 1U);
    BOOST_TEST(bench.engine(0).executed.empty());
}

BOOST_AUTO_TEST_SUITE_END()
