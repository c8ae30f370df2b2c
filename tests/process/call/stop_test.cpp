#include "call_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace {

constexpr auto noNewWorkAfter = std::chrono::seconds(3);

/// Sends chats through every router for \p period.
auto keepAsking(fleet &all, std::chrono::milliseconds period, const std::string &prompt) -> void
{
    const auto until = std::chrono::steady_clock::now() + period;
    for (auto round = 0; std::chrono::steady_clock::now() < until; ++round) {
        auto calls = parallel_calls(all);
        for (const auto &router : all.routers()) {
            calls.start(router, prompt + std::to_string(round) + router.name, 5, true);
        }
        calls.finish();
    }
}

/// Requests that \p engine runs now.
auto runningAt(standin &engine) -> std::size_t
{
    const auto entries = engine.record().size();
    const auto started = startedAt(engine);
    return started - (entries - started);
}

/// Checks that \p engine starts nothing more, three seconds after it was said to leave, while callers go on.
auto checkNoNewWork(fleet &all, standin &engine) -> void
{
    BOOST_REQUIRE(startedAt(engine) > 0);
    keepAsking(all, noNewWorkAfter, "while the news travels ");
    const auto before = startedAt(engine);
    keepAsking(all, std::chrono::seconds(2), "after that ");
    BOOST_TEST(startedAt(engine) == before);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stop_test)

BOOST_AUTO_TEST_CASE(a_listed_leaving_server_gets_no_new_work)
{
    auto all = fleet(oneCentre(4, 2, 1));
    auto &engine = *all.engines().front();
    keepAsking(all, std::chrono::milliseconds(500), "before ");
    all.listInstances({ engine.name() });
    checkNoNewWork(all, engine);
}

BOOST_AUTO_TEST_CASE(a_servers_own_word_reaches_all_routers_while_the_platform_is_down)
{
    auto all = fleet(oneCentre(4, 2, 1));
    auto &engine = *all.engines().front();
    keepAsking(all, std::chrono::milliseconds(500), "before ");
    all.platform().setFaults(R"([{"kind":"outage"}])");
    // Calls are refused as leaving once only; after that the word alone keeps work away.
    engine.setFaults(R"([{"kind":"leaving","count":1,"method":"POST"}])");
    checkNoNewWork(all, engine);
}

BOOST_AUTO_TEST_CASE(a_router_that_was_paused_sends_a_leaving_server_no_new_work)
{
    auto all = fleet(oneCentre(4, 2, 1));
    auto &engine = *all.engines().front();
    keepAsking(all, std::chrono::milliseconds(500), "before ");
    for (auto &paused : all.routers()) {
        paused.process->signal(SIGSTOP);
        all.listInstances({ engine.name() });
        std::this_thread::sleep_for(noNewWorkAfter + std::chrono::seconds(1));
        const auto before = startedAt(engine);
        auto calls = parallel_calls(all);
        for (auto call = 0; call < 8; ++call) {
            calls.start(paused, "to the paused router " + std::to_string(call), 5, true);
        }
        paused.process->signal(SIGCONT);
        calls.finish();
        BOOST_TEST(startedAt(engine) == before, paused.name);
        all.listInstances();
        std::this_thread::sleep_for(std::chrono::seconds(2));
    }
}

BOOST_AUTO_TEST_CASE(two_planned_stops_at_once_cut_off_no_stream)
{
    auto all = fleet(oneCentre(6, 1, 20));
    auto calls = parallel_calls(all);
    for (auto call = 0; call < 6; ++call) {
        calls.start(all.routers().front(), "long stream " + std::to_string(call), 500, call % 2 == 0);
    }
    auto &first = *all.engines()[0];
    auto &second = *all.engines()[2];
    BOOST_REQUIRE(waitUntil(10'000, [&] { return startedAt(first) > 0 && startedAt(second) > 0; }));
    BOOST_TEST(all.command(all.routers().front(), { "stop", first.name(), "--at", "+6s", "--until", "+10m" }) == 0);
    BOOST_TEST(all.command(all.routers().front(), { "stop", second.name(), "--at", "+6s", "--until", "+10m" }) == 0);
    std::this_thread::sleep_for(std::chrono::milliseconds(6'500));
    // Moved before the stop, not rescued after it.
    BOOST_TEST(runningAt(first) == 0U);
    BOOST_TEST(runningAt(second) == 0U);
    first.process().signal(SIGKILL);
    second.process().signal(SIGKILL);
    BOOST_TEST(calls.finish() == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_told_to_stop_finishes_running_and_waiting_requests)
{
    auto plan = oneCentre(2, 1, 10);
    plan.slots = 1;
    auto all = fleet(plan);
    auto &router = all.routers().front();
    auto calls = parallel_calls(all);
    for (auto call = 0; call < 5; ++call) {
        calls.start(router, "stopping router " + std::to_string(call), 60, call % 2 == 0);
    }
    BOOST_REQUIRE(waitUntil(10'000, [&] { return engineOf(all, "stopping router") != nullptr; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    router.process->signal(SIGTERM);
    BOOST_TEST(calls.finish() == 0U);
    BOOST_TEST(router.process->waitForExit(15'000).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
