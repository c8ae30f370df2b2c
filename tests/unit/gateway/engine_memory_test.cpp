#include "gateway/knowledge/grant_reports.h"
#include "marjoramloom/gateway/decisions/engine_decision.h"
#include "marjoramloom/gateway/decisions/memory_shortage.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto kvTokens = 100'000U;
constexpr std::uint64_t router = 7;

auto makePrompt(std::uint64_t session, std::uint32_t ownTokens) -> prompt_summary
{
    auto prompt = prompt_summary();
    prompt.parts = { { session, 20'000 }, { session + 1'000, ownTokens } };
    prompt.promptTokens = 20'000 + ownTokens;
    prompt.outputTokens = 1'000;
    return prompt;
}

/// A dispatcher of one engine.
struct memory_fixture
{
    memory_fixture()
    {
        auto content = route_table_content();
        content.services = { { .name = "pool", .engine = engine_profile{ .slots = 8, .kvCapacityTokens = kvTokens } } };
        state.routes = std::make_shared<const route_table>(std::move(content));
        state.settings.limitEngineMemory = true;
        server.id = "a";
        server.service = "pool";
        server.slots = 8;
        state.servers.put(server, now);
        engine = server_loads::incarnationId(server);
    }

    /// Whether a prompt of \p session is placed; if so, its memory is granted.
    auto place(std::uint64_t session, std::uint32_t ownTokens, memory_scope scope = memory_scope::dispatcher) -> bool
    {
        auto query = placement_query();
        query.service = "pool";
        query.prompt = makePrompt(session, ownTokens);
        query.objective = 5s;
        const auto decision = decideEngine(state, query, now, why, scope);
        const auto isPlaced = decision && decision->chosen;
        if (isPlaced) {
            state.memoryGrants.add(router, engine, memory_commitment::of(query.prompt), now);
        }
        return isPlaced;
    }

    time_point now = system_clock_source().now();
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    listed_server server;
    std::uint64_t engine = 0;
    last_reason why;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(engine_memory_test, memory_fixture)

// Guards against engines that crash because placements count slots but not memory.
BOOST_AUTO_TEST_CASE(prompts_are_placed_only_while_their_memory_fits)
{
    BOOST_TEST(place(1, 30'000)); // 51,000 tokens of 90,000.
    BOOST_TEST(!place(2, 30'000));
    BOOST_TEST(why.text().find("free memory") != std::string::npos);
    // The shared block of 20,000 tokens is there already.
    BOOST_TEST(place(1, 30'000));
    BOOST_TEST(state.memoryGrants.committedTokens(engine) == 82'000U);
    state.settings.limitEngineMemory = false;
    BOOST_TEST(place(2, 30'000));
}

// Guards against a new dispatcher, or a router on its own, that takes unknown memory for free.
BOOST_AUTO_TEST_CASE(memory_of_unknown_use_counts_as_held)
{
    state.roster.put({ "10.0.0.2:7400", "north", 1 });
    BOOST_TEST(!place(1, 30'000)); // Half of the routers have not reported, so half of the memory is theirs.
    state.fleet.update({ .router = router, .sequence = 1, .engines = {}, .accounts = {} }, now);
    BOOST_TEST(place(1, 30'000));
    BOOST_TEST(!place(1, 30'000, memory_scope::alone));
}

// Guards against memory that is counted twice, as granted and as reported, or stays granted after the request.
BOOST_AUTO_TEST_CASE(reports_replace_grants)
{
    BOOST_REQUIRE(place(1, 30'000));
    constexpr std::uint64_t dispatcher = 5;
    auto report = wire::LoadReport();
    auto *memory = report.add_memory();
    memory->set_dispatcher(dispatcher);
    memory->set_last(1);
    memory->add_held(1);
    // The router has another request there, which it placed on its own.
    const auto reported = engine_load{ .server = engine, .running = 2, .committedTokens = 51'000 + 10'000 };
    auto snapshot = load_snapshot{ .router = router, .sequence = 1, .engines = { reported }, .accounts = {} };
    subtractGrants(state, dispatcher, report, snapshot, now);
    BOOST_TEST(snapshot.engines.front().committedTokens == 10'000U);
    BOOST_TEST(state.memoryGrants.committedTokens(engine) == 51'000U);
    memory->clear_held();
    subtractGrants(state, dispatcher, report, snapshot, now);
    BOOST_TEST(state.memoryGrants.committedTokens(engine) == 0U);
}

// Guards against memory that is free too early, or never, after its router fell silent.
BOOST_AUTO_TEST_CASE(grants_of_a_silent_router_expire_late)
{
    BOOST_REQUIRE(place(1, 30'000));
    state.memoryGrants.expire(now + memory_grants::LIFETIME);
    BOOST_TEST(state.memoryGrants.committedTokens(engine) == 51'000U);
    state.memoryGrants.expire(now + memory_grants::LIFETIME + 200ms);
    BOOST_TEST(state.memoryGrants.committedTokens(engine) == 0U);
}

// Guards against two routers that use the same reserve at the same time.
BOOST_AUTO_TEST_CASE(the_reserve_of_an_engine_belongs_to_one_router)
{
    auto owners = 0;
    for (auto self = std::uint64_t(1); self <= 20; ++self) {
        auto others = std::vector<std::uint64_t>();
        for (auto other = std::uint64_t(1); other <= 20; ++other) {
            if (other != self) {
                others.push_back(other);
            }
        }
        owners += memory_limit::ofRouter(kvTokens, "a", self, others) > 0 ? 1 : 0;
    }
    BOOST_TEST(owners == 1);
    BOOST_TEST(memory_limit::ofDispatcher(kvTokens, 1) + memory_limit::ofRouter(kvTokens, "a", 1, {}) <= kvTokens);
}

// Guards against small accounts that are refused for the sake of large ones when prefixes would be read again.
BOOST_AUTO_TEST_CASE(an_account_under_an_even_share_may_read_a_prefix_again)
{
    auto other = server;
    other.id = "b";
    state.servers.put(other, now);
    auto &caching = state.loads.at(server);
    caching.pendingPrefillTokens = 60'000;
    constexpr std::uint64_t large = 1;
    constexpr std::uint64_t small = 2;
    state.accounts.noteStarted(large, 500'000, now); // Memory is short.
    state.accounts.noteStarted(small, 1'000, now);
    auto query = placement_query();
    query.service = "pool";
    query.prompt = { .parts = { { 1, 6'000 }, { 2, 2'000 } }, .promptTokens = 8'000, .outputTokens = 100 };
    query.objective = 600ms;
    caching.prefixCache.setCapacity(kvTokens);
    caching.prefixCache.recordPrefill({ query.prompt.parts.front() }, 0);
    const auto isPlaced = [&](std::uint64_t account) {
        query.account = account;
        const auto decision = decideEngine(state, query, now, why);
        return decision && decision->chosen;
    };
    BOOST_TEST(!isPlaced(large));
    BOOST_TEST(isPlaced(small));
}

// Guards against changed placements where the engines keep all shared prefixes anyway.
BOOST_AUTO_TEST_CASE(memory_is_short_only_where_recent_prompts_exceed_it)
{
    BOOST_TEST(memoryShortage(150'000, 2s, 1'000'000) == 0);
    BOOST_TEST(memoryShortage(400'000, 2s, 1'000'000) == 1);
    BOOST_TEST(memoryShortage(400'000, 2s, 0) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
