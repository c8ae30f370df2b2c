#include "process/peer/peer_relays.h"
#include "support/gateway_fleet.h"
#include "support/keep_alive_client.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;

namespace {

constexpr auto routerCount = 4;
constexpr auto watcherCount = 2;
/// A server gets no request later than this after its leaving was acknowledged.
constexpr auto drainBoundMs = 2'000;

/// Routers that each reach the store through a relay of their own.
struct store_cut_fixture
{
    std::vector<std::unique_ptr<peer_relays>> relays;
    std::string storeAddress;
    std::unique_ptr<gateway_fleet> fleet;

    store_cut_fixture()
    {
        auto plan = gateway_plan();
        plan.routers = routerCount;
        plan.servers = 3;
        plan.storeAddressForRouter = [this](int, const std::string &address) {
            storeAddress = address;
            relays.push_back(std::make_unique<peer_relays>());
            return relays.back()->addressFor(address);
        };
        fleet = std::make_unique<gateway_fleet>(std::move(plan));
    }

    auto lastLineIs(std::size_t router, const std::string &last, const std::string &other) const -> bool
    {
        const auto log = fleet->readLog(fleet->routers()[router]);
        const auto found = log.rfind(last);
        const auto previous = log.rfind(other);
        return found != std::string::npos && (previous == std::string::npos || previous < found);
    }

    auto watches(std::size_t router) const -> bool
    {
        return lastLineIs(router, "event=store_watch watches=yes", "event=store_watch watches=no");
    }

    /// The routers that watch the store, or those that don't, once exactly two of them do.
    auto settled(bool watching) const -> std::vector<std::size_t>
    {
        const auto watcherTotal = [&] {
            auto total = 0;
            for (auto router = std::size_t(0); router < routerCount; ++router) {
                total += watches(router) ? 1 : 0;
            }
            return total;
        };
        constexpr auto settleLimitMs = 12'000;
        BOOST_REQUIRE(waitUntil(settleLimitMs, [&] { return watcherTotal() == watcherCount; }));
        auto selected = std::vector<std::size_t>();
        for (auto router = std::size_t(0); router < routerCount; ++router) {
            if (watches(router) == watching) {
                selected.push_back(router);
            }
        }
        return selected;
    }

    auto logShows(std::size_t router, const std::string &text) const -> bool
    {
        return fleet->readLog(fleet->routers()[router]).find(text) != std::string::npos;
    }

    /// Writes a configuration with this key that is too large for an update between routers.
    auto writeLargeConfiguration(const std::string &key) const -> void
    {
        constexpr auto otherKeys = 3'000;
        auto keys = std::vector<std::string>(1, key);
        for (auto number = 0; number < otherKeys; ++number) {
            keys.push_back("key-of-another-caller-" + std::to_string(number));
        }
        BOOST_REQUIRE(fleet->writeConfiguration(keys));
    }

    auto removeServer(std::size_t server) const -> void
    {
        const auto target = "/v1/objects/servers/" + fleet->servers()[server]->name();
        BOOST_REQUIRE(httpCall(storeAddress, { "DELETE", target, {}, {} }).status < 300U);
    }

    /// Sends requests through \p router and returns how many of them reached \p server.
    auto requestsReaching(std::size_t server, std::size_t router) const -> std::size_t
    {
        constexpr auto requests = 20;
        const auto before = fleet->servers()[server]->record().size();
        static auto number = 0;
        for (auto sent = 0; sent < requests; ++sent) {
            fleet->call(fleet->routers()[router], "/open/x", "cut-" + std::to_string(++number), "GET", "");
        }
        return fleet->servers()[server]->record().size() - before;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_cut_test, store_cut_fixture)

BOOST_AUTO_TEST_CASE(a_server_removed_while_a_router_was_cut_off_from_the_store_is_not_used_after_its_return)
{
    const auto watcher = settled(true).front();
    relays[watcher]->cut(storeAddress);
    BOOST_REQUIRE(waitUntil(6'000, [&] { return lastLineIs(watcher, "event=store_lost", "event=store_regained"); }));
    removeServer(0);
    sleepMs(drainBoundMs);
    relays[watcher]->resume(storeAddress);
    BOOST_REQUIRE(waitUntil(8'000, [&] { return lastLineIs(watcher, "event=store_regained", "event=store_lost"); }));
    constexpr auto tickMs = 400;
    sleepMs(tickMs);
    BOOST_TEST(requestsReaching(0, watcher) == 0U);
}

BOOST_AUTO_TEST_CASE(a_watcher_that_is_cut_off_from_the_store_does_not_hide_a_leaving_server_from_its_followers)
{
    auto server = std::size_t(0);
    for (const auto watcher : settled(true)) {
        const auto followers = settled(false);
        // A read right before the cut makes the watcher look up to date for as long as possible.
        fleet->writeConfiguration({ "key-alpha" });
        sleepMs(100);
        relays[watcher]->cut(storeAddress);
        fleet->writeServer(server, "draining");
        sleepMs(drainBoundMs);
        for (const auto follower : followers) {
            BOOST_TEST(logShows(follower, "change=leaving server=" + fleet->servers()[server]->name()));
            BOOST_TEST(requestsReaching(server, follower) == 0U);
        }
        relays[watcher]->resume(storeAddress);
        sleepMs(3'000);
        ++server;
    }
}

BOOST_AUTO_TEST_CASE(followers_get_changes_in_time_while_every_watcher_is_cut_off_from_the_store)
{
    const auto watchers = settled(true);
    const auto followers = settled(false);
    // A read right before the cut makes the watchers look up to date for as long as possible.
    fleet->writeConfiguration({ "key-alpha" });
    sleepMs(100);
    for (const auto watcher : watchers) {
        relays[watcher]->cut(storeAddress);
    }
    fleet->writeConfiguration({ "key-new" });
    fleet->writeServer(0, "draining");
    sleepMs(drainBoundMs);
    for (const auto follower : followers) {
        BOOST_TEST(requestsReaching(0, follower) == 0U);
        const auto id = "new-key-" + std::to_string(follower);
        BOOST_TEST(fleet->call(fleet->routers()[follower], "/read/x", id, "GET", "key-new").status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_cannot_reach_the_store_itself_applies_changes_that_other_routers_relay)
{
    const auto follower = settled(false).front();
    relays[follower]->cut(storeAddress);
    // The follower cannot read the new configuration and begins to watch the store itself.
    writeLargeConfiguration("key-new");
    BOOST_REQUIRE(waitUntil(6'000, [&] { return watches(follower); }));
    fleet->writeServer(0, "draining");
    removeServer(1);
    sleepMs(drainBoundMs);
    BOOST_TEST(watches(follower));
    BOOST_TEST(requestsReaching(0, follower) == 0U);
    BOOST_TEST(requestsReaching(1, follower) == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_that_cannot_read_a_newer_configuration_does_not_deny_what_that_may_allow)
{
    const auto follower = settled(false).front();
    const auto &router = fleet->routers()[follower];
    BOOST_TEST(fleet->call(router, "/nowhere/", "unknown-1").status == 404U);
    relays[follower]->cut(storeAddress);
    writeLargeConfiguration("key-new");
    constexpr auto relayTimeMs = 1'500;
    sleepMs(relayTimeMs);
    BOOST_TEST(fleet->call(router, "/nowhere/", "unknown-2").status == 503U);
    BOOST_TEST(fleet->call(router, "/open/x", "unknown-3", "GET", "key-new").status == 200U);
    BOOST_TEST(fleet->call(router, "/read/x", "unknown-4", "GET", "key-new").status == 503U);
    relays[follower]->resume(storeAddress);
    const auto isApplied = [&] {
        static auto number = 0;
        return fleet->call(router, "/read/x", "applied-" + std::to_string(++number), "GET", "key-new").status == 200U;
    };
    BOOST_TEST(waitUntil(8'000, isApplied));
    BOOST_TEST(fleet->call(router, "/nowhere/", "unknown-5").status == 404U);
}

BOOST_AUTO_TEST_CASE(a_router_that_the_store_does_not_answer_applies_a_new_configuration_in_time)
{
    for (const auto isWatcher : { false, true }) {
        const auto index = settled(isWatcher).front();
        const auto &router = fleet->routers()[index];
        relays[index]->cut(storeAddress);
        const auto key = std::string(isWatcher ? "key-second" : "key-first");
        fleet->writeConfiguration({ key });
        // The bound is that of a change that every watcher misses; a watcher first has to notice that it is cut off.
        sleepMs(isWatcher ? 2 * drainBoundMs : drainBoundMs);
        const auto id = "unreached-" + key;
        BOOST_TEST(fleet->call(router, "/read/x", id, "GET", key).status == 200U);
        BOOST_TEST(fleet->call(router, "/read/x", id + "-old", "GET", "key-alpha").status == 401U);
        relays[index]->resume(storeAddress);
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_is_behind_with_its_work_applies_changes_in_time)
{
    const auto follower = settled(false).front();
    const auto &router = fleet->routers()[follower];
    constexpr auto callers = 150;
    auto stop = std::atomic<bool>(false);
    auto sent = std::atomic<int>(0);
    auto threads = std::vector<std::thread>();
    for (auto caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            auto connection = keep_alive_client(router.callers);
            while (!stop) {
                auto request = http_request();
                request.target = "/open/x";
                request.headers = { { "Host", "desk.example" },
                                    { "X-Attempt-Id",
                                      "flood-" + std::to_string(caller) + "-" + std::to_string(++sent) },
                                    { "X-Deadline-Ms", "4000" } };
                connection.call(request);
            }
        });
    }
    // The router runs for a tenth of the time, like one with a tenth of a core.
    threads.emplace_back([&] {
        while (!stop) {
            constexpr auto suspendedMs = 180;
            constexpr auto runningMs = 20;
            router.process->signal(SIGSTOP);
            sleepMs(suspendedMs);
            router.process->signal(SIGCONT);
            sleepMs(runningMs);
        }
    });
    sleepMs(1'000);
    fleet->writeConfiguration({ "key-new" });
    fleet->writeServer(0, "draining");
    sleepMs(drainBoundMs);
    BOOST_TEST(logShows(follower, "event=overload overloaded=yes"));
    BOOST_TEST(logShows(follower, "event=configuration version=2"));
    BOOST_TEST(logShows(follower, "change=leaving server=" + fleet->servers()[0]->name()));
    stop = true;
    for (auto &thread : threads) {
        thread.join();
    }
    BOOST_TEST(sent > callers);
}

BOOST_AUTO_TEST_SUITE_END()
