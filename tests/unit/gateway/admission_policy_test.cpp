#include "marjoramloom/gateway/decisions/engine_decision.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto objective = 500ms;
/// Prompt tokens that an engine prefills ahead of a new prompt in a crest; these take 240 ms.
constexpr auto queuedTokens = 14'400U;
/// Prompt of which the prefill alone takes 300 ms.
constexpr auto largePrompt = 9'300U;

/// A service of two engines in a crest, and accounts of which some send most of the work.
struct crest_fixture
{
    crest_fixture()
    {
        auto content = route_table_content();
        content.version = 1;
        content.services = { { .name = "pool", .engine = engine_profile{ .slots = 64, .kvCapacityTokens = 300'000 } } };
        state.routes = std::make_shared<const route_table>(std::move(content));
        for (const auto *id : { "a", "b" }) {
            auto server = listed_server();
            server.id = id;
            server.service = "pool";
            server.address = "10.0.0.1:80";
            server.slots = 64;
            state.servers.put(server, now);
            state.loads.at(server).pendingPrefillTokens = queuedTokens;
        }
        // Sixteen accounts; the first three send two thirds of the work, and the last one a fiftieth.
        for (auto account = 1; account <= 15; ++account) {
            state.accounts.noteStarted(static_cast<std::uint64_t>(account), account <= 3 ? 22'000U : 2'600U, now);
        }
        state.accounts.noteStarted(smallAccount, 2'000, now);
    }

    auto isAccepted(std::uint64_t account) -> bool
    {
        auto query = placement_query();
        query.service = "pool";
        query.prompt.parts = { { 7, largePrompt } };
        query.prompt.promptTokens = largePrompt;
        query.account = account;
        query.objective = objective;
        auto why = last_reason();
        const auto decision = decideEngine(state, query, now, why);
        return decision && decision->chosen;
    }

    static constexpr std::uint64_t smallAccount = 99;
    static constexpr std::uint64_t largeAccount = 1;

    time_point now = system_clock_source().now();
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(admission_policy_test, crest_fixture)

BOOST_AUTO_TEST_CASE(large_prompts_of_a_small_account_are_not_refused_in_a_crest_that_others_cause)
{
    BOOST_TEST(isAccepted(smallAccount));
    BOOST_TEST(!isAccepted(largeAccount));
}

BOOST_AUTO_TEST_CASE(large_prompts_of_a_small_account_are_refused_if_they_would_wait_past_the_objective)
{
    for (const auto &server : state.servers.usable("pool")) {
        state.loads.at(*server).pendingPrefillTokens = 3 * queuedTokens;
    }
    BOOST_TEST(!isAccepted(smallAccount));
}

BOOST_AUTO_TEST_SUITE_END()
