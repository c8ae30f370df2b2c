#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace {

constexpr auto routerCount = 5;

/// Routers whose logs show that they watch the store now.
auto watchersOf(gateway_fleet &fleet) -> std::vector<router_handle *>
{
    auto watching = std::vector<router_handle *>();
    for (auto &router : fleet.routers()) {
        const auto log = fleet.readLog(router);
        const auto started = log.rfind("event=store_watch watches=yes");
        const auto stopped = log.rfind("event=store_watch watches=no");
        if (started != std::string::npos && (stopped == std::string::npos || stopped < started)) {
            watching.push_back(&router);
        }
    }
    return watching;
}

/// Waits until exactly two routers watch the store. Routers start one after another and their order depends on their
/// ports, so any number of them may have begun to watch before the others were known.
auto settledWatchersOf(gateway_fleet &fleet) -> std::vector<router_handle *>
{
    constexpr auto settleLimitMs = 10'000; // A router that began to watch continues for at least 4 s.
    BOOST_REQUIRE(waitUntil(settleLimitMs, [&] { return watchersOf(fleet).size() == 2; }));
    return watchersOf(fleet);
}

auto everyRouterAnswers(gateway_fleet &fleet, const std::string &key, unsigned status) -> bool
{
    static auto number = 0;
    for (auto &router : fleet.routers()) {
        if (fleet.call(router, "/read/x", "relay-" + std::to_string(++number), "GET", key).status != status) {
            return false;
        }
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_relay_test)

BOOST_AUTO_TEST_CASE(two_routers_watch_and_the_others_get_every_change)
{
    auto fleet = gateway_fleet({ .routers = routerCount });
    BOOST_TEST(everyRouterAnswers(fleet, "key-alpha", 200));
    fleet.writeConfiguration({ "key-new" });
    BOOST_TEST(waitUntil(2'000, [&] { return everyRouterAnswers(fleet, "key-new", 200); }));
    BOOST_TEST(everyRouterAnswers(fleet, "key-alpha", 401));
    fleet.writeServer(0, "draining");
    sleepMs(1'000);
    const auto before = fleet.servers()[0]->record().size();
    BOOST_TEST(everyRouterAnswers(fleet, "key-new", 200));
    BOOST_TEST(everyRouterAnswers(fleet, "key-new", 200));
    BOOST_TEST(fleet.servers()[0]->record().size() == before);
    settledWatchersOf(fleet);
    sleepMs(1'000);
    BOOST_TEST(watchersOf(fleet).size() == 2U);
}

BOOST_AUTO_TEST_CASE(routers_accept_valid_keys_and_refuse_revoked_ones_while_the_watchers_are_suspended)
{
    auto fleet = gateway_fleet({ .routers = routerCount });
    auto suspended = settledWatchersOf(fleet);
    auto remaining = std::vector<router_handle *>();
    for (auto &router : fleet.routers()) {
        if (std::find(suspended.begin(), suspended.end(), &router) == suspended.end()) {
            remaining.push_back(&router);
        }
    }
    BOOST_REQUIRE(remaining.size() == routerCount - 2U);
    for (auto *router : suspended) {
        router->process->signal(SIGSTOP);
    }
    auto number = 0;
    for (auto second = 0; second < 7; ++second) {
        sleepMs(1'000);
        for (auto *router : remaining) {
            BOOST_TEST(fleet.call(*router, "/read/x", "paused-" + std::to_string(++number)).status == 200U);
        }
    }
    fleet.writeConfiguration({ "key-new" });
    sleepMs(2'000);
    for (auto *router : remaining) {
        BOOST_TEST(fleet.call(*router, "/read/x", "revoked-" + std::to_string(++number)).status == 401U);
    }
    for (auto *router : suspended) {
        router->process->signal(SIGCONT);
    }
    // A resumed router either cannot validate its keys or knows of the change: no request with the old key is executed.
    for (auto *router : suspended) {
        const auto id = "woken-" + std::to_string(++number);
        const auto status = fleet.call(*router, "/read/x", id).status;
        BOOST_TEST((status == 401 || status == 503));
        BOOST_TEST(fleet.countExecutions(id) == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
