#include "share_fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

BOOST_AUTO_TEST_SUITE(dispatcher_test)

BOOST_AUTO_TEST_CASE(the_account_with_the_lowest_virtual_service_is_granted_first)
{
    auto site = single_pool(1);
    site.ledger.merge({ { routerOne, accountA, 300 } });
    site.pool.submit(ticketOf(accountB, 1), at(0));
    site.pool.submit(ticketOf(accountA, 2), at(0));
    const auto first = site.pool.decide(at(0)).grants;
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST((first.front().account == accountB));
    site.settle(first.front(), 100, at(1));
    site.pool.submit(ticketOf(accountB, 3, 1), at(1));
    const auto second = site.pool.decide(at(1)).grants;
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST((second.front().account == accountB));
}

BOOST_AUTO_TEST_CASE(grants_never_exceed_the_slots)
{
    auto site = single_pool(3);
    for (auto serial = std::uint64_t(1); serial <= 10; ++serial) {
        site.pool.submit(ticketOf(accountA, serial), at(0));
    }
    const auto grants = site.pool.decide(at(0)).grants;
    BOOST_TEST(grants.size() == 3U);
    BOOST_TEST(site.pool.decide(at(0)).grants.empty());
    site.settle(grants.front(), 100, at(1));
    BOOST_TEST(site.pool.decide(at(1)).grants.size() == 1U);
    BOOST_TEST(site.pool.waitingTickets() == 6U);
}

BOOST_AUTO_TEST_CASE(cost_of_a_running_request_beyond_its_estimate_is_charged_at_once)
{
    auto site = single_pool(2);
    site.pool.submit(ticketOf(accountA, 1), at(0));
    const auto granted = site.pool.decide(at(0)).grants.front();
    BOOST_TEST(site.ledger.receivedService(accountA) == 100);
    site.pool.progress(granted.ticket, 60, at(1));
    BOOST_TEST(site.ledger.receivedService(accountA) == 100);
    site.pool.progress(granted.ticket, 700, at(2));
    BOOST_TEST(site.ledger.receivedService(accountA) == 700);
    site.settle(granted, 700, at(3));
    BOOST_TEST(site.ledger.receivedService(accountA) == 700);
}

BOOST_AUTO_TEST_CASE(an_expired_ticket_is_refused_and_a_withdrawn_one_is_not)
{
    auto site = single_pool(0);
    site.pool.submit(ticketOf(accountA, 1), at(0));
    site.pool.submit(ticketOf(accountA, 2), at(0));
    site.pool.withdraw({ routerOne, 2 }, at(1));
    BOOST_TEST(site.pool.decide(at(59)).refusals.empty());
    const auto refusals = site.pool.decide(at(61)).refusals;
    BOOST_REQUIRE(refusals.size() == 1U);
    BOOST_TEST((refusals.front().reason == refusal_reason::deadline));
    BOOST_TEST(site.pool.waitingTickets() == 0U);
}

BOOST_AUTO_TEST_CASE(a_ticket_submitted_again_after_a_lost_grant_gets_the_same_grant)
{
    auto site = single_pool(4);
    site.pool.submit(ticketOf(accountA, 1), at(0));
    const auto granted = site.pool.decide(at(0)).grants.front();
    site.pool.submit(ticketOf(accountA, 1), at(0.1));
    BOOST_TEST(site.pool.decide(at(0.1)).grants.empty());
    site.pool.submit(ticketOf(accountA, 1), at(3));
    const auto repeatedGrants = site.pool.decide(at(3)).grants;
    BOOST_REQUIRE(repeatedGrants.size() == 1U);
    BOOST_TEST((repeatedGrants.front().server == granted.server));
    BOOST_TEST(site.pool.runningTickets() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_dispatcher_adopts_running_requests_and_grants_only_the_remaining_slots)
{
    auto site = single_pool(2);
    auto running = grant();
    running.ticket = { routerTwo, 9 };
    running.account = accountA;
    running.server = { 500 };
    running.charged = 100;
    site.pool.adopt(running, work_length::shortWork, at(0));
    site.pool.adopt(running, work_length::shortWork, at(0));
    site.pool.submit(ticketOf(accountA, 1), at(0));
    site.pool.submit(ticketOf(accountB, 2), at(0));
    const auto grants = site.pool.decide(at(0)).grants;
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST((grants.front().account == accountB));
    site.pool.removeRouter(routerTwo, at(1));
    BOOST_TEST(site.pool.decide(at(1)).grants.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
