#include "call_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace {

/// Starts a long stream, waits until an engine runs it, and returns that engine.
auto startLongStream(fleet &testFleet, parallel_calls &calls, const std::string &prompt) -> standin *
{
    calls.start(testFleet.routers().front(), prompt, 200, true);
    auto *streamEngine = static_cast<standin *>(nullptr);
    waitUntil(10'000, [&] {
        streamEngine = findEngineByPrompt(testFleet, prompt);
        return streamEngine != nullptr;
    });
    BOOST_REQUIRE(streamEngine != nullptr);
    // Let the engine send part of the answer.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return streamEngine;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_fault_test)

/// Crashes, frozen streams and duplicate, lost, reordered or foreign events must not change an answer.
BOOST_AUTO_TEST_CASE(stream_faults_do_not_corrupt_answers)
{
    auto testFleet = fleet(oneDataCentre(4, 1, 2));
    for (const auto *fault :
         { R"({"kind":"die","events":5,"count":3})", R"({"kind":"die","events":9,"forget":true,"count":2})",
           R"({"kind":"freeze_stream","events":4,"count":2})", R"({"kind":"cross","events":6,"count":3})",
           R"({"kind":"repeat","events":3,"count":4})", R"({"kind":"drop","events":7,"count":4})",
           R"({"kind":"reorder","events":2,"count":4})", R"({"kind":"close","count":2})" }) {
        for (const auto &engine : testFleet.engines()) {
            engine->setFaults(std::string("[") + fault + "]");
        }
        auto calls = parallel_calls(testFleet);
        for (auto call = 0; call < 6; ++call) {
            calls.start(testFleet.routers().front(), std::string(fault) + " call " + std::to_string(call), 30,
                        call % 2 == 0);
        }
        BOOST_TEST(calls.finish() == 0U, fault);
    }
}

BOOST_AUTO_TEST_CASE(an_engine_killed_in_mid_stream_is_replaced)
{
    auto testFleet = fleet(oneDataCentre(4, 1, 10));
    auto calls = parallel_calls(testFleet);
    auto *engine = startLongStream(testFleet, calls, "killed while it speaks");
    engine->process().signal(SIGKILL);
    BOOST_TEST(calls.finish() == 0U);
}

BOOST_AUTO_TEST_CASE(an_engine_stopped_in_mid_stream_is_replaced)
{
    auto testFleet = fleet(oneDataCentre(4, 1, 10));
    auto calls = parallel_calls(testFleet);
    auto *engine = startLongStream(testFleet, calls, "stopped while it speaks");
    engine->process().signal(SIGSTOP);
    BOOST_TEST(calls.finish() == 0U);
    engine->process().signal(SIGCONT);
}

/// The engine stops sending on open connections but still runs the request; the router resumes the stream.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_without_restarting_the_request)
{
    auto testFleet = fleet(oneDataCentre(4, 1, 10));
    auto calls = parallel_calls(testFleet);
    auto *engine = startLongStream(testFleet, calls, "silent connection");
    engine->setFaults(R"([{"kind":"freeze_open"}])");
    BOOST_TEST(calls.finish() == 0U);
    // The stream was resumed, and the request was not sent again.
    BOOST_TEST(startedRequests(*engine) == 1U);
}

/// More callers than slots wait with a short timeout. An answer with X-Not-Run must be true, because callers then
/// retry.
BOOST_AUTO_TEST_CASE(a_request_reported_as_not_run_never_reached_an_engine)
{
    auto plan = oneDataCentre(2, 1, 1);
    plan.objects =
        "[[profile]]\nname = \"impatient\"\nlength = \"short\"\nmax_wait_ms = 400\ntimeout_ms = 1500\nretries = 1\n";
    plan.slots = 1;
    plan.tokenMs = 15;
    auto testFleet = fleet(plan);
    BOOST_REQUIRE(testFleet.apply(testFleet.routers().front(),
                                  "[[service]]\nname = \"chat\"\nkind = \"model\"\nprofile = \"impatient\"\n")
                  == 0);
    auto threads = std::vector<std::thread>();
    auto answers = std::vector<http_answer>(12);
    for (auto call = std::size_t(0); call < answers.size(); ++call) {
        threads.emplace_back([&, call] {
            const auto prompt = "waiting caller <" + std::to_string(call) + "> tokens=30";
            answers[call] = testFleet.chat(testFleet.routers().front(), "alpha", prompt);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    auto notRun = 0;
    for (auto call = std::size_t(0); call < answers.size(); ++call) {
        if (answers[call].headers.contains("x-not-run")) {
            ++notRun;
            BOOST_TEST(findEngineByPrompt(testFleet, "<" + std::to_string(call) + ">") == nullptr);
        }
    }
    BOOST_TEST(notRun > 0);
}

BOOST_AUTO_TEST_SUITE_END()
