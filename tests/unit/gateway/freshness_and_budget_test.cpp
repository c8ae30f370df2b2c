#include "marjoramloom/gateway/decisions/gateway_retry_budget.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/knowledge/knowledge_freshness.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(freshness_and_budget_test)

BOOST_AUTO_TEST_CASE(keys_expire_a_lifetime_after_the_start_of_the_validating_read)
{
    auto keys = knowledge_freshness(4'500ms);
    const auto start = boot_time(1'000s);
    BOOST_TEST(!keys.isFresh(start));
    keys.noteValidation(start);
    BOOST_TEST(keys.isFresh(start + 4'499ms));
    BOOST_TEST(!keys.isFresh(start + 4'500ms));
    // A read that began earlier but was answered later must not extend the lifetime.
    keys.noteValidation(start - 1s);
    BOOST_TEST(!keys.isFresh(start + 4'500ms));
    keys.noteValidation(start + 2s);
    BOOST_TEST(keys.isFresh(start + 6s));
}

BOOST_AUTO_TEST_CASE(retries_stay_within_their_ratio_in_every_window)
{
    auto budget = gateway_retry_budget({ .ratio = 0.2, .window = 10s, .reserve = 2 });
    auto now = time_point(100s);
    BOOST_TEST(budget.tryConsume(now));
    BOOST_TEST(budget.tryConsume(now));
    BOOST_TEST(!budget.tryConsume(now));
    for (auto request = 0; request < 10; ++request) {
        budget.noteFirstAttempt(now);
    }
    BOOST_TEST(budget.tryConsume(now));
    BOOST_TEST(budget.tryConsume(now));
    BOOST_TEST(!budget.tryConsume(now));
    BOOST_TEST(!budget.tryConsume(now + 10s));
    BOOST_TEST(budget.tryConsume(now + 10'001ms));
}

BOOST_AUTO_TEST_CASE(idle_connections_of_all_routers_take_at_most_half_of_a_servers_limit)
{
    auto counters = counter_registry();
    auto state = gateway_state(gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1);
    auto service = routed_service();
    BOOST_TEST(state.maxIdleConnections(service) == connection_pool::MAX_IDLE_PER_PEER);
    service.connectionLimit = 470;
    BOOST_TEST(state.maxIdleConnections(service) == connection_pool::MAX_IDLE_PER_PEER);
    constexpr auto routers = 69U;
    for (auto number = 2U; number <= routers; ++number) {
        state.roster.put({ "10.0.0." + std::to_string(number) + ":7400", "north", 1 });
    }
    BOOST_TEST(state.maxIdleConnections(service) >= 1U);
    BOOST_TEST(state.maxIdleConnections(service) * routers * 2 <= service.connectionLimit);
}

BOOST_AUTO_TEST_SUITE_END()
