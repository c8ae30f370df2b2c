#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace {

constexpr auto routerCount = 5;

/// Routers that watch the store now, by their logs.
auto watchersOf(gateway_fleet &all) -> std::vector<router_handle *>
{
    auto watching = std::vector<router_handle *>();
    for (auto &router : all.routers()) {
        const auto log = all.logOf(router);
        const auto began = log.rfind("event=store_watch watches=yes");
        const auto ended = log.rfind("event=store_watch watches=no");
        if (began != std::string::npos && (ended == std::string::npos || ended < began)) {
            watching.push_back(&router);
        }
    }
    return watching;
}

/// Waits until as many routers watch the store as are to. Routers start one after the other and their order follows
/// from their ports, so any number of them may have watched before the others were there.
auto settledWatchersOf(gateway_fleet &all) -> std::vector<router_handle *>
{
    constexpr auto settleLimitMs = 10'000; // A router that began to watch goes on for 4 s.
    BOOST_REQUIRE(waitUntil(settleLimitMs, [&] { return watchersOf(all).size() == 2; }));
    return watchersOf(all);
}

auto everyRouterAnswers(gateway_fleet &all, const std::string &key, unsigned status) -> bool
{
    static auto number = 0;
    for (auto &router : all.routers()) {
        if (all.call(router, "/read/x", "relay-" + std::to_string(++number), "GET", key).status != status) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_relay_test)

BOOST_AUTO_TEST_CASE(two_routers_watch_and_the_others_hear_of_every_change)
{
    auto all = gateway_fleet({ .routers = routerCount });
    BOOST_TEST(everyRouterAnswers(all, "key-alpha", 200));
    all.writeConfiguration({ "key-new" });
    BOOST_TEST(waitUntil(2'000, [&] { return everyRouterAnswers(all, "key-new", 200); }));
    BOOST_TEST(everyRouterAnswers(all, "key-alpha", 401));
    all.writeServer(0, "draining");
    sleepMs(1'000);
    const auto before = all.servers()[0]->record().size();
    BOOST_TEST(everyRouterAnswers(all, "key-new", 200));
    BOOST_TEST(everyRouterAnswers(all, "key-new", 200));
    BOOST_TEST(all.servers()[0]->record().size() == before);
    settledWatchersOf(all);
    sleepMs(1'000);
    BOOST_TEST(watchersOf(all).size() == 2U);
}

BOOST_AUTO_TEST_CASE(routers_whose_watchers_are_paused_keep_serving_keys_and_still_refuse_revoked_ones)
{
    auto all = gateway_fleet({ .routers = routerCount });
    auto paused = settledWatchersOf(all);
    auto running = std::vector<router_handle *>();
    for (auto &router : all.routers()) {
        if (std::find(paused.begin(), paused.end(), &router) == paused.end()) {
            running.push_back(&router);
        }
    }
    BOOST_REQUIRE(running.size() == routerCount - 2U);
    for (auto *router : paused) {
        router->process->signal(SIGSTOP);
    }
    auto number = 0;
    for (auto second = 0; second < 7; ++second) {
        sleepMs(1'000);
        for (auto *router : running) {
            BOOST_TEST(all.call(*router, "/read/x", "paused-" + std::to_string(++number)).status == 200U);
        }
    }
    all.writeConfiguration({ "key-new" });
    sleepMs(2'000);
    for (auto *router : running) {
        BOOST_TEST(all.call(*router, "/read/x", "revoked-" + std::to_string(++number)).status == 401U);
    }
    for (auto *router : paused) {
        router->process->signal(SIGCONT);
    }
    // A router that wakes refuses, or has heard of the change; the old key runs nowhere.
    for (auto *router : paused) {
        const auto id = "woken-" + std::to_string(++number);
        const auto status = all.call(*router, "/read/x", id).status;
        BOOST_TEST((status == 401 || status == 503));
        BOOST_TEST(all.countRuns(id) == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
