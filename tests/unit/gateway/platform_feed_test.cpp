#include "marjoramloom/gateway/platform_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// A router that does not watch the store, which cannot be reached.
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
                          .onNews =
                              [] {
                              } } };

    static auto entryOf(const std::string &id, std::uint64_t revision, const std::string &serverState) -> server_change
    {
        const auto value = R"({"service":"pool","address":"10.0.0.9:80","zone":"north","version":"v1","slots":8,)"
                           R"("state":")"
            + serverState + R"(","born":7})";
        return { .object = { .kind = {}, .name = id, .revision = revision, .value = value }, .removed = false };
    }

    /// News that follow on what the router knows, without a new configuration.
    auto newsOf(std::vector<server_change> changes, std::uint64_t revision) const -> store_news
    {
        auto news = store_news();
        news.serversAfter = feed.serversRevision();
        news.serversRevision = revision;
        news.changes = std::move(changes);
        return news;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(platform_feed_test, follower_fixture)

BOOST_AUTO_TEST_CASE(a_router_that_does_not_watch_sleeps)
{
    boost::asio::co_spawn(
        context, [this] { return feed.followConfiguration(); }, boost::asio::detached);
    boost::asio::co_spawn(
        context, [this] { return feed.followServers(); }, boost::asio::detached);
    BOOST_TEST(context.run_for(50ms) < 20U);
}

BOOST_AUTO_TEST_CASE(news_carry_servers_and_what_lapsed_stays_for_as_long_as_the_teller_keeps_it)
{
    state.hasServers = true;
    BOOST_TEST(feed.take(newsOf({ entryOf("a", 3, "ready"), entryOf("b", 4, "ready") }, 9), boot_clock::now()));
    BOOST_TEST(feed.serversRevision() == 9U);
    BOOST_TEST(state.servers.usable("pool").size() == 2U);
    BOOST_TEST(feed.take(newsOf({ entryOf("a", 10, "draining") }, 10), std::nullopt));
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    // An older change that comes late is not taken for news.
    BOOST_TEST(feed.take(newsOf({ entryOf("b", 4, "draining") }, 10), std::nullopt));
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    auto lapse = entryOf("b", 12, "ready");
    lapse.removed = true;
    auto news = newsOf({ lapse }, 12);
    news.renewalLeft = 1'500ms;
    BOOST_TEST(feed.take(news, std::nullopt));
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    feed.tick(system_clock_source().now() + 1'600ms);
    BOOST_TEST(state.servers.usable("pool").empty());
}

BOOST_AUTO_TEST_CASE(only_an_answer_to_a_question_proves_keys_and_only_from_the_question_on)
{
    state.hasServers = true;
    auto news = newsOf({}, 1);
    news.proofAge = 100ms;
    news.configurationRevision = 5;
    const auto askedAt = boot_clock::now() - 200ms;
    // A configuration that this router does not have yet: nothing is proved, and it is read from the store.
    BOOST_TEST(!feed.take(news, askedAt));
    BOOST_TEST(!state.keys.isFresh(boot_clock::now()));
    news.configurationRevision = 0;
    BOOST_TEST(feed.take(news, std::nullopt));
    BOOST_TEST(!state.keys.isFresh(boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(a_gap_in_the_changes_is_not_passed_over)
{
    state.hasServers = true;
    auto news = newsOf({ entryOf("a", 30, "ready") }, 31);
    news.serversAfter = 20;
    BOOST_TEST(!feed.take(news, std::nullopt));
    BOOST_TEST(state.servers.usable("pool").empty());
    BOOST_TEST(feed.serversRevision() == 0U);
}

BOOST_AUTO_TEST_CASE(a_teller_without_the_store_is_not_current)
{
    auto news = newsOf({}, 1);
    news.storeLost = true;
    BOOST_TEST(!feed.take(news, boot_clock::now()));
}

BOOST_AUTO_TEST_CASE(only_the_configuration_is_tried_while_the_store_is_away)
{
    // A fleet of 69 such routers makes each call 69 times.
    boost::asio::co_spawn(
        context, [this] { return feed.followConfiguration(); }, boost::asio::detached);
    boost::asio::co_spawn(
        context, [this] { return feed.followServers(); }, boost::asio::detached);
    constexpr auto standsIn = false;
    feed.setWatching(true, standsIn, system_clock_source().now());
    context.run_for(1'500ms);
    BOOST_TEST(counters.at("marjoramloom_platform_calls_total").value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
