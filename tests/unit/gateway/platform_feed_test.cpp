#include "marjoramloom/gateway/knowledge/platform_feed.h"

#include "marjoramloom/store/store_revision.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
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
            + serverState + R"(","cold_left_ms":0,"sequence":1,"born":7})";
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

/// A store that answers each call by the first unused answer for its path, and a call without one not at all.
class scripted_store
{
public:
    struct answer
    {
        std::string path; ///< Beginning of the paths that it answers.
        std::string body;
        std::chrono::milliseconds delay{};
        bool closes = false; ///< The store then closes the connection.
        std::string status = "200 OK";
    };

    scripted_store(boost::asio::io_context &context, std::vector<answer> answers)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_answers(std::move(answers))
    {
        boost::asio::co_spawn(
            context, [this] { return acceptAll(); }, boost::asio::detached);
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    using tcp = boost::asio::ip::tcp;

    auto acceptAll() -> boost::asio::awaitable<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    auto serve(tcp::socket socket) -> boost::asio::awaitable<void>
    {
        auto received = std::string();
        auto timer = boost::asio::steady_timer(m_acceptor.get_executor());
        try {
            while (true) {
                const auto size = co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received),
                                                                         "\r\n\r\n", boost::asio::use_awaitable);
                const auto path = received.substr(4, received.find(' ', 4) - 4);
                received.erase(0, size);
                const auto found = std::find_if(m_answers.begin(), m_answers.end(), [&](const auto &candidate) {
                    return path.starts_with(candidate.path);
                });
                auto next = answer{ "", "", 1h };
                if (found != m_answers.end()) {
                    next = *found;
                    m_answers.erase(found);
                }
                timer.expires_after(next.delay);
                co_await timer.async_wait(boost::asio::use_awaitable);
                const auto text = "HTTP/1.1 " + next.status + "\r\nContent-Length: " + std::to_string(next.body.size())
                    + "\r\n\r\n" + next.body;
                co_await boost::asio::async_write(socket, boost::asio::buffer(text), boost::asio::use_awaitable);
                if (next.closes) {
                    co_return;
                }
            }
        } catch (const boost::system::system_error &) {
            co_return; // The router closed the connection.
        }
    }

    tcp::acceptor m_acceptor;
    std::vector<answer> m_answers;
};

} // namespace

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

BOOST_AUTO_TEST_CASE(an_older_configuration_of_a_new_era_neither_takes_effect_nor_validates_keys)
{
    const auto configurationOf = [](int version) {
        return R"({"version":)" + std::to_string(version)
            + R"(,"routes":[],"services":[],"tenants":[],"limits":{"max_header_bytes":16384,"max_body_bytes":100000,)"
              R"("header_timeout_ms":2000,"idle_timeout_ms":5000}})";
    };
    const auto relay = [&](std::uint64_t revision, int version) {
        auto update = updateOf({}, revision);
        update.configurationRevision = revision;
        update.configuration = configurationOf(version);
        update.validationAge = 0ms;
        feed.applyUpdate(update, boot_clock::now());
    };
    state.hasServers = true;
    relay(orderedRevision(1, 90), 7);
    BOOST_REQUIRE(state.routes);
    BOOST_TEST(state.routes->version() == 7U);
    BOOST_TEST(state.isConfigurationCurrent(boot_clock::now()));
    relay(orderedRevision(2, 80), 5);
    BOOST_TEST(state.routes->version() == 7U);
    BOOST_TEST(!state.isConfigurationCurrent(boot_clock::now()));
    BOOST_TEST(!feed.updateSince(0, 0).validationAge.has_value());
    // The operator has written it again, and then the next one; their numbers are lower than that of the lost write.
    relay(orderedRevision(2, 81), 7);
    BOOST_TEST(state.isConfigurationCurrent(boot_clock::now()));
    relay(orderedRevision(2, 82), 9);
    BOOST_TEST(state.routes->version() == 9U);
}

BOOST_AUTO_TEST_CASE(only_a_router_that_knows_nothing_of_eras_speaks_of_the_receivers_era)
{
    state.hasServers = true;
    auto first = entryOf("a", orderedRevision(2, 5), "ready");
    BOOST_TEST(feed.applyUpdate(updateOf({ first }, orderedRevision(2, 5)), std::nullopt));
    auto update = updateOf({ entryOf("a", 6, "draining") }, 6);
    update.serversBaseRevision = 5;
    feed.applyUpdate(update, std::nullopt); // From a router that has not noticed the era.
    BOOST_TEST(state.servers.usable("pool").size() == 1U);
    BOOST_TEST(feed.serversRevision() == orderedRevision(2, 5));
    update.statesEras = false;
    BOOST_TEST(feed.applyUpdate(update, std::nullopt));
    BOOST_TEST(state.servers.usable("pool").empty());
    BOOST_TEST(feed.serversRevision() == orderedRevision(2, 6));
    const auto query = store_query{ .number = 1, .serversRevision = 6, .statesEras = false };
    BOOST_TEST(feed.takeQuery(query).serversRevision == orderedRevision(2, 6));
}

BOOST_AUTO_TEST_CASE(a_router_that_has_not_noticed_an_era_does_not_count_as_current)
{
    state.hasServers = true;
    feed.applyUpdate(updateOf({ entryOf("a", orderedRevision(2, 5), "ready") }, orderedRevision(2, 5)), std::nullopt);
    auto update = updateOf({}, orderedRevision(1, 9));
    update.listAge = 0ms;
    BOOST_TEST(!feed.applyUpdate(update, boot_clock::now()));
    BOOST_TEST(!state.serverListFreshness.isFresh(boot_clock::now()));
    // It learns of the era from the query.
    const auto query = store_query{ .number = 1, .serversRevision = orderedRevision(4, 6) };
    BOOST_TEST(feed.takeQuery(query).serversRevision == query.serversRevision);
    BOOST_TEST(client.era() == 4U);
}

BOOST_AUTO_TEST_CASE(a_list_that_the_store_does_not_continue_is_not_read_without_end)
{
    const auto list = std::string(R"({"entries":[],"truncated":false,"at":2})");
    auto answers = std::vector<scripted_store::answer>();
    constexpr auto manyAnswers = 2'000;
    for (auto number = 0; number < manyAnswers; ++number) {
        answers.push_back({ "/v1/objects/servers?subscription", "", 0ms, false, "410 Gone" });
        answers.push_back({ "/v1/objects/servers", list });
    }
    auto store = scripted_store(context, std::move(answers));
    auto storeClient = store_client(context.get_executor(),
                                    { .addresses = { store.address() }, .reconnectsWatches = false }, counters);
    auto storeFeed = platform_feed(context.get_executor(), storeClient, state,
                                   { .onRoutes = [] {},
                                     .onStoreChange =
                                         [] {
                                         } });
    // Shows that the store answers, so that the list of servers is followed.
    storeFeed.applyUpdate(updateOf({}, 1), std::nullopt);
    boost::asio::co_spawn(
        context, [&storeFeed] { return storeFeed.followServers(); }, boost::asio::detached);
    storeFeed.setWatching(true, true, system_clock_source().now());
    context.run_for(2s);
    const auto calls = counters.at("marjoramloom_platform_calls_total").value();
    BOOST_TEST(calls >= 4U);
    BOOST_TEST(calls <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
