#include "marjoramloom/store/store_revision.h"
#include "platform_feed_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(platform_feed_era_test, follower_fixture)

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
