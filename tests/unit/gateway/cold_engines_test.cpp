#include "marjoramloom/gateway/knowledge/cold_engines.h"

#include "marjoramloom/gateway/decisions/cold_choice.h"
#include "platform/configuration_format.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto usualTime = 3s;
const auto start = system_clock_source().now();

auto entryOf(const std::string &id, std::chrono::milliseconds left, std::int64_t born = 1) -> listed_server
{
    auto server = listed_server();
    server.id = id;
    server.service = "pool";
    server.dataCentre = "north";
    server.slots = 8;
    server.startUnixMs = born;
    server.remainingWarmUp = left;
    return server;
}

const auto engine = server_loads::incarnationId(entryOf("a", 0ms));

/// A router with engines "a" in the data centre north and "b" in south.
struct places_fixture
{
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1, "up" }, counters, 1 };
    last_reason why;
    bool isAnyLeft = true; ///< Result of the last makeQuery().

    places_fixture()
    {
        state.settings.coldOvershoot = 1.5;
        state.settings.coldTolerance = 5;
        state.settings.regions = { { "south", "down" } };
        state.startedAt = start - cold_budget::START_DELAY;
        state.roster.noteComplete();
        const auto *text = R"({"version":1,"routes":[
            {"name":"r","host":"h","path_prefix":"/","route_kind":"streaming","service":"pool","home_regions":["up"]}],
            "services":[{"name":"pool","cold_start_s":3.0,"cold_per_s":11.0,
                         "backend":{"slots":8,"kv_capacity":1000}}],
            "tenants":[{"name":"x","api_keys":["kx"],"home_regions":["up","down"]},
                       {"name":"y","api_keys":["ky"],"home_regions":["down"]},{"name":"z","api_keys":["kz"]}]})";
        state.routes = std::make_shared<const route_table>(*platform::decodeConfiguration(text, why));
        put(entryOf("a", 0ms));
        auto south = entryOf("b", 0ms);
        south.dataCentre = "south";
        put(south);
    }

    auto put(const listed_server &server, std::uint64_t revision = 1) -> void
    {
        state.servers.put(server, start);
        state.noteServerEntry(server, revision, cold_engines::entry_source::firstList, start);
    }

    auto makeQuery(std::optional<region_set> regions = std::nullopt) -> placement_query
    {
        auto query = placement_query();
        query.service = "pool";
        query.prompt.promptTokens = 100;
        query.objective = 1s;
        isAnyLeft = restrictToPlaces(state, std::move(regions), start, query, why);
        return query;
    }

    auto chosenFor(const placement_query &query) -> std::string
    {
        const auto decision = decideEngine(state, query, start, why);
        return decision && decision->chosen ? decision->chosen->server->id : "";
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(cold_engines_test)

BOOST_AUTO_TEST_CASE(the_remaining_time_counts_from_the_arrival_of_a_statement)
{
    auto cold = cold_engines();
    BOOST_TEST(cold.noteEntry(entryOf("a", 800ms), 1, cold_engines::entry_source::firstList, start));
    BOOST_TEST((cold.remaining(engine, usualTime, start) == 800ms));
    BOOST_TEST((cold.remaining(engine, usualTime, start + 800ms) == 0ms));
    BOOST_TEST(!cold.noteEntry(entryOf("a", 0ms), 2, cold_engines::entry_source::change, start + 100ms));
    BOOST_TEST((cold.remaining(engine, usualTime, start + 100ms) == 0ms));
    BOOST_TEST(cold.noteAnswer({ engine, 2s }, start + 1s)); // It may turn cold again at any moment.
    BOOST_TEST((cold.remaining(engine, usualTime, start + 1s) == 2s));
    BOOST_TEST(!cold.noteReported({ engine, 1s }, start + 1s)); // A report may be late and ends nothing.
    BOOST_TEST((cold.remaining(engine, usualTime, start + 1s) == 2s));
    BOOST_TEST(cold.recentStatements(8, start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_cold_for_the_usual_time_unless_it_is_warm_by_its_entry)
{
    auto cold = cold_engines();
    cold.noteEntry(entryOf("a", 500ms), 1, cold_engines::entry_source::change, start);
    BOOST_TEST((cold.remaining(engine, usualTime, start) == 3s));
    const auto next = server_loads::incarnationId(entryOf("a", 0ms, 2));
    cold.noteEntry(entryOf("a", 0ms, 2), 2, cold_engines::entry_source::change, start);
    BOOST_TEST((cold.remaining(next, usualTime, start) == 0ms));
}

BOOST_AUTO_TEST_CASE(after_an_evacuation_only_a_later_entry_counts)
{
    auto cold = cold_engines();
    cold.noteEntry(entryOf("a", 0ms), 5, cold_engines::entry_source::firstList, start);
    cold.noteReturned(std::vector{ engine }, 10, start);
    BOOST_TEST((cold.remaining(engine, usualTime, start) == 3s));
    cold.noteEntry(entryOf("a", 0ms), 9, cold_engines::entry_source::change, start);
    BOOST_TEST((cold.remaining(engine, usualTime, start) == 3s));
    BOOST_TEST((cold.remaining(engine, usualTime, start + 3s) == 0s));
    cold.noteEntry(entryOf("a", 0ms), 11, cold_engines::entry_source::change, start);
    BOOST_TEST((cold.remaining(engine, usualTime, start) == 0ms));
}

BOOST_FIXTURE_TEST_CASE(a_cold_engine_without_room_is_not_chosen, places_fixture)
{
    state.noteCold({ engine, 2s }, cold_source::answer, start);
    auto query = makeQuery();
    BOOST_TEST(query.coldServers.contains(engine));
    query.failedServers.insert(server_loads::incarnationId(*state.servers.serversIn("south").front()));
    BOOST_TEST(chosenFor(query) == "a");
    // This router is the only one and has the whole limit of 20 requests.
    auto leases = std::vector<std::unique_ptr<cold_lease>>();
    const auto &service = *state.routes->findService("pool");
    const auto &server = *state.servers.serversIn("north").front();
    while (auto lease = reserveCold(state, service, server, start)) {
        leases.push_back(std::move(lease));
    }
    BOOST_TEST(leases.size() == 20U);
    query.coldServers = makeQuery().coldServers;
    BOOST_TEST(query.coldServers.empty());
    BOOST_TEST(chosenFor(query).empty());
    BOOST_TEST((why.kind == failure_kind::overloaded));
    BOOST_TEST(chosenFor(makeQuery()) == "b");
    leases.clear();
    BOOST_TEST(makeQuery().coldServers.contains(engine));
}

BOOST_FIXTURE_TEST_CASE(a_dispatcher_chooses_no_cold_engine_for_a_router_that_does_not_name_it, places_fixture)
{
    auto query = makeQuery(); // From a router to which the engine still seems warm.
    query.failedServers.insert(server_loads::incarnationId(*state.servers.serversIn("south").front()));
    BOOST_TEST(chosenFor(query) == "a");
    state.noteCold({ engine, 2s }, cold_source::answer, start);
    BOOST_TEST(chosenFor(query).empty());
}

BOOST_FIXTURE_TEST_CASE(a_router_that_has_just_started_uses_no_cold_engine, places_fixture)
{
    state.noteCold({ engine, 2s }, cold_source::answer, start);
    state.startedAt = start;
    BOOST_TEST(makeQuery().coldServers.empty());
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_turns_cold_has_an_empty_prefix_cache, places_fixture)
{
    auto &load = state.loads.at(*state.servers.serversIn("north").front());
    load.prefixCache.setCapacity(1'000);
    load.prefixCache.recordPrefill({ { 1, 50 } }, 0);
    const auto prompt = prompt_summary{ .parts = { { 1, 50 }, { 2, 10 } }, .promptTokens = 60 };
    BOOST_TEST(load.prefixCache.cachedTokens(prompt) == 50U);
    state.noteCold({ engine, 2s }, cold_source::answer, start);
    BOOST_TEST(load.prefixCache.cachedTokens(prompt) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_request_stays_in_the_regions_that_its_route_and_account_both_name, places_fixture)
{
    const auto &route = *state.routes->findRoute("h", "/x");
    const auto regionsFor = [&](const std::string &account) {
        return state.routes->regionsOf(route, account);
    };
    BOOST_TEST((regionsFor("x") == region_set{ "up" }));
    BOOST_TEST((regionsFor("y") == region_set{}));
    BOOST_TEST((regionsFor("z") == region_set{ "up" }));
    BOOST_TEST(!state.routes->regionsOf(route_rule(), "z").has_value());
    for (auto round = 0; round < 20; ++round) {
        BOOST_TEST(chosenFor(makeQuery(region_set{ "up" })) == "a");
        BOOST_TEST(chosenFor(makeQuery(region_set{ "down" })) == "b");
    }
    BOOST_TEST(chosenFor(makeQuery(region_set{})).empty());
    BOOST_TEST(!isAnyLeft);
    BOOST_TEST(!chosenFor(makeQuery()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
