#include "call_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace {

/// Starts a long stream and waits until an engine runs it.
auto startLongStream(fleet &all, parallel_calls &calls, const std::string &prompt) -> standin *
{
    calls.start(all.routers().front(), prompt, 200, true);
    auto *found = static_cast<standin *>(nullptr);
    waitUntil(10'000, [&] {
        found = engineOf(all, prompt);
        return found != nullptr;
    });
    BOOST_REQUIRE(found != nullptr);
    // Some of it is to be on its way.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_fault_test)

BOOST_AUTO_TEST_CASE(faulty_streams_give_whole_answers)
{
    auto all = fleet(oneCentre(4, 1, 2));
    for (const auto *fault :
         { R"({"kind":"die","events":5,"count":3})", R"({"kind":"die","events":9,"forget":true,"count":2})",
           R"({"kind":"freeze_stream","events":4,"count":2})", R"({"kind":"cross","events":6,"count":3})",
           R"({"kind":"repeat","events":3,"count":4})", R"({"kind":"drop","events":7,"count":4})",
           R"({"kind":"reorder","events":2,"count":4})", R"({"kind":"close","count":2})" }) {
        for (const auto &engine : all.engines()) {
            engine->setFaults(std::string("[") + fault + "]");
        }
        auto calls = parallel_calls(all);
        for (auto call = 0; call < 6; ++call) {
            calls.start(all.routers().front(), std::string(fault) + " call " + std::to_string(call), 30, call % 2 == 0);
        }
        BOOST_TEST(calls.finish() == 0U, fault);
    }
}

BOOST_AUTO_TEST_CASE(an_engine_killed_in_mid_stream_is_replaced)
{
    auto all = fleet(oneCentre(4, 1, 10));
    auto calls = parallel_calls(all);
    auto *engine = startLongStream(all, calls, "killed while it speaks");
    engine->process().signal(SIGKILL);
    BOOST_TEST(calls.finish() == 0U);
}

BOOST_AUTO_TEST_CASE(an_engine_stopped_in_mid_stream_is_replaced)
{
    auto all = fleet(oneCentre(4, 1, 10));
    auto calls = parallel_calls(all);
    auto *engine = startLongStream(all, calls, "stopped while it speaks");
    engine->process().signal(SIGSTOP);
    BOOST_TEST(calls.finish() == 0U);
    engine->process().signal(SIGCONT);
}

BOOST_AUTO_TEST_CASE(a_connection_that_goes_silent_is_replaced_and_the_engine_kept)
{
    auto all = fleet(oneCentre(4, 1, 10));
    auto calls = parallel_calls(all);
    auto *engine = startLongStream(all, calls, "silent connection");
    engine->setFaults(R"([{"kind":"freeze_open"}])");
    BOOST_TEST(calls.finish() == 0U);
    // Resumed where it was, not asked again.
    BOOST_TEST(startedAt(*engine) == 1U);
}

BOOST_AUTO_TEST_CASE(what_is_said_not_to_have_run_did_not_run)
{
    auto plan = oneCentre(2, 1, 1);
    plan.objects =
        "[[profile]]\nname = \"impatient\"\nlength = \"short\"\nmax_wait_ms = 400\ntimeout_ms = 1500\nretries = 1\n";
    plan.slots = 1;
    plan.tokenMs = 15;
    auto all = fleet(plan);
    BOOST_REQUIRE(
        all.apply(all.routers().front(), "[[service]]\nname = \"chat\"\nkind = \"model\"\nprofile = \"impatient\"\n")
        == 0);
    auto threads = std::vector<std::thread>();
    auto answers = std::vector<http_answer>(12);
    for (auto call = std::size_t(0); call < answers.size(); ++call) {
        threads.emplace_back([&, call] {
            const auto prompt = "waiting caller <" + std::to_string(call) + "> tokens=30";
            answers[call] = all.chat(all.routers().front(), "alpha", prompt);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    auto notRun = 0;
    for (auto call = std::size_t(0); call < answers.size(); ++call) {
        if (answers[call].headers.contains("x-not-run")) {
            ++notRun;
            BOOST_TEST(engineOf(all, "<" + std::to_string(call) + ">") == nullptr);
        }
    }
    BOOST_TEST(notRun > 0);
}

BOOST_AUTO_TEST_SUITE_END()
