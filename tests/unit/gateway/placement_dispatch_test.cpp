#include "marjoramloom/gateway/traffic/placement_dispatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto makeRouteTable() -> std::shared_ptr<const route_table>
{
    auto content = route_table_content();
    content.version = 1;
    auto service = routed_service();
    service.name = "pool";
    service.engine = engine_profile{ .slots = 8, .kvCapacityTokens = 100'000 };
    content.services = { service };
    return std::make_shared<const route_table>(std::move(content));
}

auto makeEngine(const std::string &id) -> listed_server
{
    auto server = listed_server();
    server.id = id;
    server.service = "pool";
    server.address = "10.0.0.1:80";
    server.slots = 8;
    return server;
}

auto makeQuery(std::uint64_t prefixId, std::uint32_t tokens) -> placement_query
{
    auto query = placement_query();
    query.service = "pool";
    query.prompt.parts = { { prefixId, tokens / 2 }, { prefixId + 1'000, tokens / 2 } };
    query.prompt.promptTokens = tokens;
    query.objective = 500ms;
    return query;
}

/// State of one router with three engines. The test takes the place of the other routers.
struct dispatch_fixture
{
    dispatch_fixture()
    {
        state.routes = makeRouteTable();
        for (const auto *id : { "a", "b", "c" }) {
            state.servers.put(makeEngine(id), system_clock_source().now());
        }
    }

    /// Adds routers, one of which becomes the dispatcher.
    auto addOtherRouters() -> void
    {
        // They have more cores than this router, so they come before it in the dispatch order.
        for (auto router = 2; router < 40; ++router) {
            state.roster.put({ "10.0.0." + std::to_string(router) + ":7400", "north", 2 });
        }
    }

    auto decide(const placement_query &query) -> std::optional<engine_decision>
    {
        auto why = last_reason();
        auto result = boost::asio::co_spawn(context, dispatch.decide(query, why), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }

    boost::asio::io_context context{ 1 };
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    std::vector<std::uint64_t> sentQueries; ///< Their numbers.
    std::optional<placement_answer> reply; ///< Sent in reply to each query, if set.
    std::set<std::uint64_t> queriedRouters;
    placement_dispatch dispatch{ context.get_executor(), state,
                                 [this](std::uint64_t router, std::uint64_t number, const placement_query &) {
                                     sentQueries.push_back(number);
                                     queriedRouters.insert(router);
                                     if (reply) {
                                         reply->number = number;
                                         boost::asio::post(context,
                                                           [this, router] { dispatch.handleAnswer(router, *reply); });
                                     }
                                 } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_dispatch_test, dispatch_fixture)

BOOST_AUTO_TEST_CASE(a_single_router_decides_without_a_query)
{
    const auto decision = decide(makeQuery(1, 2'000));
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision->chosen.has_value());
    BOOST_TEST(sentQueries.empty());
}

BOOST_AUTO_TEST_CASE(a_router_that_has_just_started_does_not_take_a_plain_service_for_its_own)
{
    auto query = makeQuery(1, 0);
    query.plain = true;
    auto decision = decide(query);
    BOOST_TEST((decision && decision->chosen));
    for (const auto &server : state.servers.usable("pool")) {
        state.loads.at(*server).running = 1;
    }
    decision = decide(query);
    BOOST_TEST((decision && !decision->chosen));
    state.roster.noteComplete();
    decision = decide(query);
    BOOST_TEST((decision && decision->chosen));
    addOtherRouters();
    // Nobody answers its queries.
    decision = decide(query);
    BOOST_TEST((decision && !decision->chosen));
}

BOOST_AUTO_TEST_CASE(a_router_follows_the_placement_or_refusal_of_the_dispatcher)
{
    addOtherRouters();
    const auto &expected = state.servers.usable("pool").back();
    reply = placement_answer{ .sequence = 4, .server = server_loads::incarnationId(*expected), .prefillTokens = 123 };
    const auto decision = decide(makeQuery(1, 2'000));
    BOOST_REQUIRE((decision && decision->chosen));
    BOOST_TEST(decision->chosen->server->id == expected->id);
    BOOST_TEST(decision->chosen->prefillTokens == 123U);
    BOOST_TEST(dispatch.lastSequences().begin()->second == 4U);
    reply = placement_answer{};
    const auto refused = decide(makeQuery(1, 2'000));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(!refused->chosen.has_value());
}

BOOST_AUTO_TEST_CASE(a_silent_dispatcher_delays_two_requests_and_is_then_skipped)
{
    addOtherRouters();
    const auto began = system_clock_source().now();
    for (auto request = 0; request < 10; ++request) {
        const auto decision = decide(makeQuery(1, 100));
        BOOST_REQUIRE(decision.has_value());
        BOOST_TEST(decision->chosen.has_value());
    }
    // Two unanswered queries to each of the first three dispatchers.
    BOOST_TEST(sentQueries.size() == 6U);
    BOOST_TEST(queriedRouters.size() == 3U);
    BOOST_TEST((system_clock_source().now() - began < 400ms));
}

BOOST_AUTO_TEST_CASE(a_router_without_a_dispatcher_places_nothing_for_an_account_above_the_level_that_was_stated)
{
    addOtherRouters();
    auto query = makeQuery(1, 2'000);
    query.account = 7;
    reply = placement_answer{ .stated = stated_level{ .levelTokens = 5'000, .accountTokens = 6'000 } };
    BOOST_TEST(!decide(query)->chosen);
    reply.reset();
    const auto expectRefused = [&](bool isRefused) {
        // The first two queries are not answered, then stand-ins are asked, and then nobody is.
        for (auto request = 0; request < 8; ++request) {
            const auto decision = decide(query);
            BOOST_REQUIRE(decision.has_value());
            BOOST_TEST(decision->chosen.has_value() != isRefused);
        }
    };
    expectRefused(true);
    query.account = 8;
    expectRefused(false);
    state.accounts.noteStarted(8, 5'000, system_clock_source().now());
    expectRefused(true);
    query.alreadySent = true;
    expectRefused(false);
}

BOOST_AUTO_TEST_CASE(a_level_that_was_stated_long_ago_or_that_limits_nobody_refuses_nothing)
{
    auto levels = dispatcher_levels();
    const auto now = time_point(100s);
    const auto shard = dispatcher_levels::shardId("pool", 3);
    levels.note(shard, 7, { .levelTokens = 5'000, .accountTokens = 5'000 }, now);
    BOOST_TEST(levels.isAbove(shard, 7, 0, now + 1s));
    BOOST_TEST(!levels.isAbove(shard, 8, 4'999, now + 1s));
    BOOST_TEST(levels.isAbove(shard, 8, 5'000, now + 1s));
    BOOST_TEST(!levels.isAbove(dispatcher_levels::shardId("pool", 4), 7, 9'000, now + 1s));
    BOOST_TEST(!levels.isAbove(shard, 7, 9'000, now + dispatcher_levels::LIFETIME + 1ms));
    levels.note(shard, 7, { .levelTokens = 0, .accountTokens = 5'000 }, now + 1s);
    BOOST_TEST(!levels.isAbove(shard, 7, 9'000, now + 1s));
}

BOOST_AUTO_TEST_CASE(a_dispatcher_states_a_level_only_if_it_knows_most_of_the_fleet)
{
    addOtherRouters();
    auto answer = dispatch.answer(2, 1, makeQuery(1, 2'000));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(!answer->stated);
    for (auto router = std::uint64_t(2); router < 40; ++router) {
        state.fleet.update({ .router = router, .sequence = 1, .engines = {}, .accounts = { { 7, 100 } } },
                           system_clock_source().now());
    }
    auto query = makeQuery(1, 2'000);
    query.account = 7;
    answer = dispatch.answer(2, 2, query);
    BOOST_REQUIRE((answer && answer->stated));
    BOOST_TEST(answer->stated->levelTokens == 0U);
    BOOST_TEST(answer->stated->accountTokens == 3'800U);
}

BOOST_AUTO_TEST_CASE(simultaneous_prompts_are_spread_over_the_engines)
{
    // As many prompts as there are slots, placed before any router reports its load.
    auto prefillTokensByServer = std::map<std::uint64_t, std::uint32_t>();
    for (auto request = std::uint64_t(0); request < 24; ++request) {
        const auto answer = dispatch.answer(2 + request % 9, request, makeQuery(100 + request, 600));
        BOOST_REQUIRE(answer.has_value());
        prefillTokensByServer[answer->server] += answer->prefillTokens;
    }
    BOOST_TEST(prefillTokensByServer.size() == 3U);
    for (const auto &[server, tokens] : prefillTokensByServer) {
        BOOST_TEST(tokens == 8U * 600U);
    }
    // All slots are taken, so the next prompt is refused.
    BOOST_TEST(dispatch.answer(2, 99, makeQuery(500, 600))->server == 0U);
}

BOOST_AUTO_TEST_CASE(the_next_dispatcher_is_queried_while_the_first_is_skipped)
{
    addOtherRouters();
    decide(makeQuery(1, 100));
    decide(makeQuery(1, 100));
    BOOST_TEST(queriedRouters.size() == 1U);
    reply =
        placement_answer{ .sequence = 1, .server = server_loads::incarnationId(*state.servers.usable("pool").front()) };
    BOOST_TEST(decide(makeQuery(1, 100)).has_value());
    BOOST_TEST(queriedRouters.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_dispatcher_places_a_prompt_only_in_the_shard_of_the_query)
{
    auto query = makeQuery(1, 100);
    const auto &engines = state.servers.usable("pool");
    for (auto index = std::uint32_t(0); index < 2; ++index) {
        query.shard = { .index = index, .count = 2 };
        const auto isEmpty = std::none_of(engines.begin(), engines.end(),
                                          [&](const auto &engine) { return query.shard.contains(engine->id); });
        const auto answer = dispatch.answer(2, 1, query);
        BOOST_TEST(answer.has_value() == !isEmpty);
        BOOST_TEST((!answer || query.shard.contains(state.servers.findUsable(answer->server)->id)));
    }
}

BOOST_AUTO_TEST_CASE(a_retry_avoids_the_failed_engine_and_is_not_refused_for_its_wait)
{
    auto query = makeQuery(1, 100);
    const auto home = dispatch.answer(2, 1, query)->server;
    query.failedServers = { home };
    const auto second = dispatch.answer(2, 2, query)->server;
    BOOST_TEST(second != 0U);
    BOOST_TEST(second != home);
    auto late = makeQuery(9, 90'000); // Each of these adds more than a second of prefill to an engine.
    for (auto request = 0; request < 3; ++request) {
        late.alreadySent = true;
        BOOST_TEST(dispatch.answer(2, 3, late)->server != 0U);
    }
    late.alreadySent = false;
    BOOST_TEST(dispatch.answer(2, 4, late)->server == 0U);
    late.alreadySent = true;
    BOOST_TEST(dispatch.answer(2, 5, late)->server != 0U);
}

BOOST_AUTO_TEST_CASE(an_engine_is_avoided_once_two_routers_report_a_failure)
{
    auto query = makeQuery(1, 100);
    const auto home = dispatch.answer(2, 1, query)->server;
    auto failing = query;
    failing.failedServers = { home };
    for (auto attempt = 0; attempt < 5; ++attempt) {
        dispatch.answer(2, 2, failing); // This router may itself be cut off from the engine.
    }
    BOOST_TEST(dispatch.answer(3, 3, query)->server == home);
    dispatch.answer(3, 4, failing);
    BOOST_TEST(dispatch.answer(4, 5, query)->server != home);
}

BOOST_AUTO_TEST_CASE(few_prompts_are_sent_to_crashed_engines_before_the_list_shows_the_crash)
{
    // The list of backend servers shows a crash only seconds later. Until then, each prompt that is placed on a crashed
    // engine loses at least the time of a failed connection.
    auto crashed = tried_servers();
    for (auto number = 0; number < 12; ++number) {
        const auto engine = makeEngine("engine-" + std::to_string(number));
        state.servers.put(engine, system_clock_source().now());
        if (number % 4 == 0) {
            crashed.insert(server_loads::incarnationId(engine));
        }
    }
    constexpr auto prompts = 400;
    auto failedAttempts = 0;
    for (auto prompt = std::uint64_t(0); prompt < prompts; ++prompt) {
        const auto router = 2 + prompt % 9;
        auto query = makeQuery(100 + prompt % 60, 600);
        auto answer = dispatch.answer(router, prompt, query);
        while (answer && crashed.contains(answer->server)) {
            ++failedAttempts;
            query.failedServers.insert(answer->server);
            answer = dispatch.answer(router, prompt, query);
        }
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->server != 0U);
        state.placements.acknowledge(router, answer->sequence);
    }
    BOOST_TEST(failedAttempts < prompts / 20);
}

BOOST_AUTO_TEST_CASE(a_placement_counts_until_the_routers_report_includes_it_or_it_expires)
{
    const auto now = time_point(100s);
    auto pending = pending_placements();
    BOOST_TEST(pending.add(7, 1, 500, {}, now) == 1U);
    BOOST_TEST(pending.add(7, 1, 300, {}, now) == 2U);
    BOOST_TEST(pending.add(8, 1, 200, {}, now) == 1U);
    BOOST_TEST(pending.loadOnEngine(1).pendingPrefillTokens == 1'000U);
    pending.acknowledge(7, 1);
    BOOST_TEST(pending.loadOnEngine(1).pendingPrefillTokens == 500U);
    BOOST_TEST(pending.loadOnEngine(1).running == 2U);
    pending.expire(now + 600ms);
    BOOST_TEST(pending.loadOnEngine(1).running == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
