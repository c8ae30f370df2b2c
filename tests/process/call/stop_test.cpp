#include "call_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace {

/// Time in which all routers must stop sending work to a leaving server.
constexpr auto propagationTime = std::chrono::seconds(3);

/// Sends chats through every router for \p period and checks their answers.
auto sendChatsFor(fleet &testFleet, std::chrono::milliseconds period, const std::string &prompt) -> void
{
    const auto until = std::chrono::steady_clock::now() + period;
    for (auto round = 0; std::chrono::steady_clock::now() < until; ++round) {
        auto calls = parallel_calls(testFleet);
        for (const auto &router : testFleet.routers()) {
            calls.start(router, prompt + std::to_string(round) + router.name, 5, true);
        }
        calls.finish();
    }
}

/// Sends chats until \p engine has started some, for half a second at least. Routers that have just started may need as
/// long until they know each other.
auto sendChatsUntilUsed(fleet &testFleet, standin &engine) -> void
{
    constexpr auto maxRounds = 10;
    for (auto round = 0; round < maxRounds && (round == 0 || startedRequests(engine) == 0); ++round) {
        sendChatsFor(testFleet, std::chrono::milliseconds(500), "before " + std::to_string(round) + " ");
    }
}

/// Number of requests that \p engine runs now. Its record has one entry when a request starts and one when it ends.
auto runningRequests(standin &engine) -> std::size_t
{
    const auto entries = engine.record().size();
    const auto started = startedRequests(engine);
    return started - (entries - started);
}

/// Checks that a leaving \p engine starts no request after propagationTime, while callers continue to send requests.
auto checkNoNewWork(fleet &testFleet, standin &engine) -> void
{
    BOOST_REQUIRE(startedRequests(engine) > 0);
    sendChatsFor(testFleet, propagationTime, "while the news travels ");
    const auto before = startedRequests(engine);
    sendChatsFor(testFleet, std::chrono::seconds(2), "after that ");
    BOOST_TEST(startedRequests(engine) == before);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stop_test)

BOOST_AUTO_TEST_CASE(a_listed_leaving_server_gets_no_new_work)
{
    auto testFleet = fleet(oneDataCentre(4, 2, 1));
    auto &engine = *testFleet.engines().front();
    sendChatsUntilUsed(testFleet, engine);
    testFleet.publishInstances({ engine.name() });
    checkNoNewWork(testFleet, engine);
}

BOOST_AUTO_TEST_CASE(a_leaving_response_reaches_all_routers_without_the_platform)
{
    auto testFleet = fleet(oneDataCentre(4, 2, 1));
    auto &engine = *testFleet.engines().front();
    sendChatsUntilUsed(testFleet, engine);
    testFleet.platform().setFaults(R"([{"kind":"outage"}])");
    // The engine refuses a call as leaving only once; after that, only the notice between routers keeps work away.
    engine.setFaults(R"([{"kind":"leaving","count":1,"method":"POST"}])");
    checkNoNewWork(testFleet, engine);
}

/// The server begins to leave while the router is stopped by SIGSTOP, so the router's list of leaving servers is
/// outdated when it continues.
BOOST_AUTO_TEST_CASE(a_router_that_was_paused_sends_a_leaving_server_no_new_work)
{
    auto testFleet = fleet(oneDataCentre(4, 2, 1));
    auto &engine = *testFleet.engines().front();
    sendChatsFor(testFleet, std::chrono::milliseconds(500), "before ");
    for (auto &paused : testFleet.routers()) {
        paused.process->signal(SIGSTOP);
        testFleet.publishInstances({ engine.name() });
        std::this_thread::sleep_for(propagationTime + std::chrono::seconds(1));
        const auto before = startedRequests(engine);
        auto calls = parallel_calls(testFleet);
        for (auto call = 0; call < 8; ++call) {
            calls.start(paused, "to the paused router " + std::to_string(call), 5, true);
        }
        paused.process->signal(SIGCONT);
        calls.finish();
        BOOST_TEST(startedRequests(engine) == before, paused.name);
        testFleet.publishInstances();
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
}

BOOST_AUTO_TEST_CASE(two_simultaneous_planned_stops_interrupt_no_stream)
{
    auto testFleet = fleet(oneDataCentre(6, 1, 20));
    auto calls = parallel_calls(testFleet);
    for (auto call = 0; call < 6; ++call) {
        calls.start(testFleet.routers().front(), "long stream " + std::to_string(call), 500, call % 2 == 0);
    }
    auto &first = *testFleet.engines()[0];
    auto &second = *testFleet.engines()[2];
    BOOST_REQUIRE(waitUntil(10'000, [&] { return startedRequests(first) > 0 && startedRequests(second) > 0; }));
    BOOST_TEST(
        testFleet.command(testFleet.routers().front(), { "stop", first.name(), "--at", "+6s", "--until", "+10m" })
        == 0);
    BOOST_TEST(
        testFleet.command(testFleet.routers().front(), { "stop", second.name(), "--at", "+6s", "--until", "+10m" })
        == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(6'500));
    // The streams were moved before the stop, not recovered after it.
    BOOST_TEST(runningRequests(first) == 0U);
    BOOST_TEST(runningRequests(second) == 0U);
    first.process().signal(SIGKILL);
    second.process().signal(SIGKILL);
    BOOST_TEST(calls.finish() == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_told_to_stop_finishes_running_and_waiting_requests)
{
    auto plan = oneDataCentre(2, 1, 10);
    plan.slots = 1;
    auto testFleet = fleet(plan);
    auto &router = testFleet.routers().front();
    auto calls = parallel_calls(testFleet);
    for (auto call = 0; call < 5; ++call) {
        calls.start(router, "stopping router " + std::to_string(call), 60, call % 2 == 0);
    }
    BOOST_REQUIRE(waitUntil(10'000, [&] { return findEngineByPrompt(testFleet, "stopping router") != nullptr; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    router.process->signal(SIGTERM);
    BOOST_TEST(calls.finish() == 0U);
    BOOST_TEST(router.process->waitForExit(15'000).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
