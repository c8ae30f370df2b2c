#include "marjoramloom/gateway/placement_dispatch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto tableOfEngines() -> std::shared_ptr<const route_table>
{
    auto content = route_table_content();
    content.version = 1;
    auto service = routed_service();
    service.name = "pool";
    service.engine = engine_profile{ .slots = 8, .memoryTokens = 100'000 };
    content.services = { service };
    return std::make_shared<const route_table>(std::move(content));
}

auto engineOf(const std::string &id) -> listed_server
{
    auto server = listed_server();
    server.id = id;
    server.service = "pool";
    server.address = "10.0.0.1:80";
    server.slots = 8;
    return server;
}

auto queryOf(std::uint64_t part, std::uint32_t tokens) -> placement_query
{
    auto query = placement_query();
    query.service = "pool";
    query.prompt.parts = { { part, tokens / 2 }, { part + 1'000, tokens / 2 } };
    query.prompt.promptTokens = tokens;
    query.objective = 500ms;
    return query;
}

/// A router's view, and a network to other routers that the test stands for.
struct dispatch_fixture
{
    dispatch_fixture()
    {
        state.routes = tableOfEngines();
        for (const auto *id : { "a", "b", "c" }) {
            state.servers.put(engineOf(id), system_clock_source().now());
        }
    }

    /// Makes other routers known, so that one of them dispatches.
    auto hearOfOthers() -> void
    {
        // The others have more processor, so one of them dispatches.
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
    std::vector<std::uint64_t> asked; ///< Numbers of the queries that were sent.
    std::optional<placement_answer> reply; ///< Given at once to each query.
    std::set<std::uint64_t> routersAsked;
    placement_dispatch dispatch{ context.get_executor(), state,
                                 [this](std::uint64_t router, std::uint64_t number, const placement_query &) {
                                     asked.push_back(number);
                                     routersAsked.insert(router);
                                     if (reply) {
                                         reply->number = number;
                                         boost::asio::post(context, [this, router] { dispatch.take(router, *reply); });
                                     }
                                 } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_dispatch_test, dispatch_fixture)

BOOST_AUTO_TEST_CASE(a_router_alone_decides_itself)
{
    const auto decision = decide(queryOf(1, 2'000));
    BOOST_REQUIRE(decision.has_value());
    BOOST_TEST(decision->chosen.has_value());
    BOOST_TEST(asked.empty());
}

BOOST_AUTO_TEST_CASE(the_dispatchers_answer_is_followed)
{
    hearOfOthers();
    const auto &wanted = state.servers.usable("pool").back();
    reply = placement_answer{ .sequence = 4, .server = server_loads::runId(*wanted), .tokensToRead = 123 };
    const auto decision = decide(queryOf(1, 2'000));
    BOOST_REQUIRE((decision && decision->chosen));
    BOOST_TEST(decision->chosen->server->id == wanted->id);
    BOOST_TEST(decision->chosen->tokensToRead == 123U);
    BOOST_TEST(dispatch.heard().begin()->second == 4U);
    reply = placement_answer{};
    const auto refused = decide(queryOf(1, 2'000));
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST(!refused->chosen.has_value());
}

BOOST_AUTO_TEST_CASE(silent_dispatchers_delay_two_requests_each_and_then_none)
{
    hearOfOthers();
    const auto began = system_clock_source().now();
    for (auto request = 0; request < 10; ++request) {
        const auto decision = decide(queryOf(1, 100));
        BOOST_REQUIRE(decision.has_value());
        BOOST_TEST(decision->chosen.has_value());
    }
    // Two unanswered queries to each of the first three dispatchers.
    BOOST_TEST(asked.size() == 6U);
    BOOST_TEST(routersAsked.size() == 3U);
    BOOST_TEST((system_clock_source().now() - began < 400ms));
}

BOOST_AUTO_TEST_CASE(prompts_that_arrive_together_are_spread_over_the_engines)
{
    // As many prompts as there are places, in the same moment, before any router could report what it sent.
    auto unread = std::map<std::uint64_t, std::uint32_t>();
    for (auto request = std::uint64_t(0); request < 24; ++request) {
        const auto answer = dispatch.answer(2 + request % 9, request, queryOf(100 + request, 600));
        BOOST_REQUIRE(answer.has_value());
        unread[answer->server] += answer->tokensToRead;
    }
    BOOST_TEST(unread.size() == 3U);
    for (const auto &[server, tokens] : unread) {
        BOOST_TEST(tokens == 8U * 600U);
    }
    // Every place is taken: the next one is refused at once.
    BOOST_TEST(dispatch.answer(2, 99, queryOf(500, 600))->server == 0U);
}

BOOST_AUTO_TEST_CASE(the_next_dispatcher_is_asked_while_the_first_is_passed_over)
{
    hearOfOthers();
    decide(queryOf(1, 100));
    decide(queryOf(1, 100));
    BOOST_TEST(routersAsked.size() == 1U);
    reply = placement_answer{ .sequence = 1, .server = server_loads::runId(*state.servers.usable("pool").front()) };
    BOOST_TEST(decide(queryOf(1, 100)).has_value());
    BOOST_TEST(routersAsked.size() == 2U);
}

BOOST_AUTO_TEST_CASE(a_dispatcher_places_within_the_part_that_it_is_asked_for)
{
    auto query = queryOf(1, 100);
    const auto &engines = state.servers.usable("pool");
    for (auto index = std::uint32_t(0); index < 2; ++index) {
        query.part = { .index = index, .count = 2 };
        const auto isEmpty = std::none_of(engines.begin(), engines.end(),
                                          [&](const auto &engine) { return query.part.holds(engine->id); });
        const auto answer = dispatch.answer(2, 1, query);
        BOOST_TEST(answer.has_value() == !isEmpty);
        BOOST_TEST((!answer || query.part.holds(state.servers.findUsable(answer->server)->id)));
    }
}

BOOST_AUTO_TEST_CASE(what_failed_at_one_engine_is_placed_at_another_and_is_not_refused_once_it_was_begun)
{
    auto query = queryOf(1, 100);
    const auto home = dispatch.answer(2, 1, query)->server;
    query.failed = { home };
    const auto second = dispatch.answer(2, 2, query)->server;
    BOOST_TEST(second != 0U);
    BOOST_TEST(second != home);
    auto late = queryOf(9, 90'000); // Each engine has seconds of reading ahead.
    for (auto request = 0; request < 3; ++request) {
        late.begun = true;
        BOOST_TEST(dispatch.answer(2, 3, late)->server != 0U);
    }
    late.begun = false;
    BOOST_TEST(dispatch.answer(2, 4, late)->server == 0U);
    late.begun = true;
    BOOST_TEST(dispatch.answer(2, 5, late)->server != 0U);
}

BOOST_AUTO_TEST_CASE(an_engine_is_avoided_once_two_routers_say_that_it_failed)
{
    auto query = queryOf(1, 100);
    const auto home = dispatch.answer(2, 1, query)->server;
    auto failing = query;
    failing.failed = { home };
    for (auto attempt = 0; attempt < 5; ++attempt) {
        dispatch.answer(2, 2, failing); // This router alone may be cut off from the engine.
    }
    BOOST_TEST(dispatch.answer(3, 3, query)->server == home);
    dispatch.answer(3, 4, failing);
    BOOST_TEST(dispatch.answer(4, 5, query)->server != home);
}

BOOST_AUTO_TEST_CASE(few_prompts_are_sent_in_vain_when_a_quarter_of_the_engines_crashes)
{
    // The list of backend servers shows a crash seconds later. Until then each prompt that is placed at a crashed
    // engine is late by a failed connection at least.
    auto crashed = tried_servers();
    for (auto number = 0; number < 12; ++number) {
        const auto engine = engineOf("engine-" + std::to_string(number));
        state.servers.put(engine, system_clock_source().now());
        if (number % 4 == 0) {
            crashed.insert(server_loads::runId(engine));
        }
    }
    constexpr auto prompts = 400;
    auto inVain = 0;
    for (auto prompt = std::uint64_t(0); prompt < prompts; ++prompt) {
        const auto router = 2 + prompt % 9;
        auto query = queryOf(100 + prompt % 60, 600);
        auto answer = dispatch.answer(router, prompt, query);
        while (answer && crashed.contains(answer->server)) {
            ++inVain;
            query.failed.insert(answer->server);
            answer = dispatch.answer(router, prompt, query);
        }
        BOOST_REQUIRE(answer.has_value());
        BOOST_TEST(answer->server != 0U);
        state.placements.settle(router, answer->sequence);
    }
    BOOST_TEST(inVain < prompts / 20);
}

BOOST_AUTO_TEST_CASE(placements_count_until_the_routers_report_shows_them)
{
    const auto now = time_point(100s);
    auto open = open_placements();
    BOOST_TEST(open.add(7, 1, 500, now) == 1U);
    BOOST_TEST(open.add(7, 1, 300, now) == 2U);
    BOOST_TEST(open.add(8, 1, 200, now) == 1U);
    BOOST_TEST(open.onEngine(1).unreadTokens == 1'000U);
    open.settle(7, 1);
    BOOST_TEST(open.onEngine(1).unreadTokens == 500U);
    BOOST_TEST(open.onEngine(1).running == 2U);
    open.expire(now + 600ms);
    BOOST_TEST(open.onEngine(1).running == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
