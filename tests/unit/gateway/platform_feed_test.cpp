#include "marjoramloom/gateway/platform_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// A router that does not watch the store, and cannot reach it.
struct follower_fixture
{
    boost::asio::io_context context{ 1 };
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    store_client client{ context.get_executor(), { .addresses = { "127.0.0.1:1" } }, counters };
    platform_feed feed{ context.get_executor(),
                        client,
                        state,
                        { .onRoutes = [] {},
                          .onStoreChange =
                              [] {
                              } } };

    static auto entryOf(const std::string &id, std::uint64_t revision, const std::string &serverState) -> server_change
    {
        const auto value = R"({"service":"pool","address":"10.0.0.9:80","zone":"north","version":"v1","slots":8,)"
                           R"("state":")"
            + serverState + R"(","born":7})";
        return { .object = { .kind = {}, .name = id, .revision = revision, .value = value }, .removed = false };
    }

    /// An update that continues the router's list of servers and has no new configuration.
    auto updateOf(std::vector<server_change> changes, std::uint64_t revision) const -> store_update
    {
        auto update = store_update();
        update.serversBaseRevision = feed.serversRevision();
        update.serversRevision = revision;
        update.changes = std::move(changes);
        return update;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_feed_test, follower_fixture)

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

BOOST_AUTO_TEST_SUITE_END()
