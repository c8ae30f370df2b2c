#include "platform_feed_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(platform_feed_test, follower_fixture)

BOOST_AUTO_TEST_CASE(an_update_validates_the_list_of_servers_only_as_of_the_senders_own_read)
{
    state.hasServers = true;
    const auto queriedAt = boot_clock::now() - 200ms;
    auto update = updateOf({ entryOf("e-1", 5, "ready") }, 5);
    feed.applyUpdate(update, queriedAt); // The sender's list is old itself.
    BOOST_TEST(!state.serverListFreshness.isFresh(boot_clock::now()));
    update = updateOf({}, 5);
    update.listAge = 1'000ms;
    feed.applyUpdate(update, std::nullopt);
    BOOST_TEST(!state.serverListFreshness.isFresh(boot_clock::now()));
    feed.applyUpdate(update, queriedAt);
    BOOST_TEST(state.serverListFreshness.isFresh(boot_clock::now()));
    BOOST_TEST((state.serverListFreshness.age(boot_clock::now()) >= 1'200ms));
    BOOST_REQUIRE(feed.updateSince(5, 0).listAge.has_value());
    BOOST_TEST((*feed.updateSince(5, 0).listAge >= 1'200ms));
    update.serversBaseRevision = 9; // Changes are missing in between.
    update.serversRevision = 9;
    update.listAge = 0ms;
    feed.applyUpdate(update, boot_clock::now());
    BOOST_TEST((state.serverListFreshness.age(boot_clock::now()) >= 1'200ms));
}

BOOST_AUTO_TEST_CASE(a_router_that_does_not_watch_does_not_poll)
{
    boost::asio::co_spawn(
        context, [this] { return feed.followConfiguration(); }, boost::asio::detached);
    boost::asio::co_spawn(
        context, [this] { return feed.followServers(); }, boost::asio::detached);
    BOOST_TEST(context.run_for(50ms) < 20U);
}

BOOST_AUTO_TEST_CASE(updates_change_servers_and_expired_ones_stay_usable_for_as_long_as_at_the_sender)
{
    state.hasServers = true;
    BOOST_TEST(
        feed.applyUpdate(updateOf({ entryOf("a", 3, "ready"), entryOf("b", 4, "ready") }, 9), boot_clock::now()));
    BOOST_TEST(feed.serversRevision() == 9U);
    BOOST_TEST(state.servers.usable("pool").size() == 2U);
    BOOST_TEST(feed.applyUpdate(updateOf({ entryOf("a", 10, "draining") }, 10), std::nullopt));
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    // A late older change is not applied.
    BOOST_TEST(feed.applyUpdate(updateOf({ entryOf("b", 4, "draining") }, 10), std::nullopt));
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    auto expiry = entryOf("b", 12, "ready");
    expiry.removed = true;
    auto update = updateOf({ expiry }, 12);
    update.renewalLeft = 1'500ms;
    BOOST_TEST(feed.applyUpdate(update, std::nullopt));
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    feed.tick(system_clock_source().now() + 1'600ms);
    BOOST_TEST(state.servers.usable("pool").empty());
}

BOOST_AUTO_TEST_CASE(keys_are_validated_neither_without_a_query_nor_for_an_unknown_configuration)
{
    state.hasServers = true;
    auto update = updateOf({}, 1);
    update.validationAge = 100ms;
    update.configurationRevision = 5;
    const auto queriedAt = boot_clock::now() - 200ms;
    // The update names a configuration that this router does not have: it validates no keys, and the configuration is
    // read from the store.
    BOOST_TEST(!feed.applyUpdate(update, queriedAt));
    BOOST_TEST(!state.keys.isFresh(boot_clock::now()));
    update.configurationRevision = 0;
    BOOST_TEST(feed.applyUpdate(update, std::nullopt));
    BOOST_TEST(!state.keys.isFresh(boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(changes_after_a_gap_are_not_applied)
{
    state.hasServers = true;
    auto update = updateOf({ entryOf("a", 30, "ready") }, 31);
    update.serversBaseRevision = 20;
    BOOST_TEST(!feed.applyUpdate(update, std::nullopt));
    BOOST_TEST(state.servers.usable("pool").empty());
    BOOST_TEST(feed.serversRevision() == 0U);
}

BOOST_AUTO_TEST_CASE(an_update_from_a_router_that_lost_the_store_is_not_current)
{
    auto update = updateOf({}, 1);
    update.storeLost = true;
    BOOST_TEST(!feed.applyUpdate(update, boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(only_the_configuration_watch_retries_while_the_store_is_lost)
{
    // In a fleet of 69 routers each of these calls is made 69 times.
    boost::asio::co_spawn(
        context, [this] { return feed.followConfiguration(); }, boost::asio::detached);
    boost::asio::co_spawn(
        context, [this] { return feed.followServers(); }, boost::asio::detached);
    constexpr auto isDesignated = false;
    feed.setWatching(true, isDesignated, system_clock_source().now());
    context.run_for(1'500ms);
    BOOST_TEST(counters.at("marjoramloom_platform_calls_total").value() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_list_of_servers_does_not_undo_changes_that_were_applied_meanwhile)
{
    const auto list = R"({"entries":[{"metadata":{"name":"a","revision":3},"spec":)"
        + entryOf("a", 3, "ready").object.value + R"(}],"truncated":false,"at":5})";
    auto store = scripted_store(context,
                                { { "/v1/objects/config", R"({"entries":[],"truncated":false,"at":2})", 0ms },
                                  { "/v1/objects/servers", list, 250ms } });
    auto slowClient = store_client(context.get_executor(), { .addresses = { store.address() } }, counters);
    auto slowFeed = platform_feed(context.get_executor(), slowClient, state,
                                  { .onRoutes = [] {},
                                    .onStoreChange =
                                        [] {
                                        } });
    state.hasServers = true;
    boost::asio::co_spawn(
        context, [&slowFeed] { return slowFeed.followConfiguration(); }, boost::asio::detached);
    boost::asio::co_spawn(
        context, [&slowFeed] { return slowFeed.followServers(); }, boost::asio::detached);
    slowFeed.setWatching(true, true, system_clock_source().now());
    context.run_for(100ms);
    auto removal = entryOf("a", 10, "ready");
    removal.removed = true;
    auto update = updateOf({ entryOf("a", 3, "ready"), removal }, 10);
    update.serversBaseRevision = 0;
    BOOST_TEST(slowFeed.applyUpdate(update, std::nullopt));
    BOOST_TEST(state.servers.usable("pool").empty());
    context.run_for(300ms);
    BOOST_TEST(state.servers.usable("pool").empty());
    BOOST_TEST(slowFeed.serversRevision() == 10U);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_that_arrives_late_does_not_validate_keys_for_an_unreadable_newer_one)
{
    const auto old =
        std::string(R"({"metadata":{"name":"main","revision":3},"spec":{"version":1,"routes":[],"services":[],)")
        + R"("tenants":[],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":2000,)"
          R"("idle_timeout_ms":5000}}})";
    const auto list = R"({"entries":[)" + old + R"(],"truncated":false,"at":5})";
    const auto newer = R"({"entries":[{"metadata":{"name":"main","revision":8},"spec":{"version":"?"}}],)"
                       R"("truncated":false,"at":8})";
    auto store =
        scripted_store(context, { { "/v1/objects/config", list, 200ms }, { "/v1/objects/config", newer, 0ms } });
    auto storeClient = store_client(context.get_executor(), { .addresses = { store.address() } }, counters);
    auto storeFeed = platform_feed(context.get_executor(), storeClient, state,
                                   { .onRoutes = [] {},
                                     .onStoreChange =
                                         [] {
                                         } });
    state.hasServers = true;
    auto update = updateOf({}, 1);
    update.configurationRevision = 3;
    storeFeed.applyUpdate(update, std::nullopt);
    context.run_for(50ms);
    boost::asio::co_spawn(
        context, [&storeFeed] { return storeFeed.followConfiguration(); }, boost::asio::detached);
    storeFeed.setWatching(true, true, system_clock_source().now());
    context.run_for(400ms);
    BOOST_TEST(!storeFeed.updateSince(0, 0).validationAge.has_value());
    BOOST_TEST(!state.keys.isFresh(boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(a_router_whose_working_watches_break_at_once_applies_a_new_configuration_in_time)
{
    const auto empty = R"({"entries":[],"truncated":false,"at":2})";
    const auto nothing = R"({"events":[],"at":2})";
    const auto change =
        std::string(R"({"events":[{"object":{"metadata":{"name":"main","revision":8},"spec":{"version":7,"routes":[],)")
        + R"("services":[],"tenants":[],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
          R"("header_timeout_ms":2000,"idle_timeout_ms":5000}}}}],"at":8})";
    auto store = scripted_store(context,
                                { { "/v1/objects/config", empty },
                                  { "/v1/objects/servers", empty },
                                  { "/v1/objects/config", nothing, 0ms, true },
                                  { "/v1/objects/servers", nothing, 0ms, true },
                                  { "/v1/objects/config", change } });
    auto storeClient =
        store_client(context.get_executor(),
                     { .addresses = { store.address() }, .throttle = {}, .reconnectsWatches = false }, counters);
    auto storeFeed = platform_feed(context.get_executor(), storeClient, state,
                                   { .onRoutes = [] {},
                                     .onStoreChange =
                                         [] {
                                         } });
    boost::asio::co_spawn(
        context, [&storeFeed] { return storeFeed.followConfiguration(); }, boost::asio::detached);
    boost::asio::co_spawn(
        context, [&storeFeed] { return storeFeed.followServers(); }, boost::asio::detached);
    storeFeed.setWatching(true, false, system_clock_source().now());
    // The connections break at the next poll, a second after the last one.
    constexpr auto applyBound = 2'000ms;
    context.run_for(1'000ms + applyBound);
    BOOST_REQUIRE(state.routes);
    BOOST_TEST(state.routes->version() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
