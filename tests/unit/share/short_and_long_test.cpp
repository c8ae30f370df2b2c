#include "share_fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

namespace {

auto longTicket(object_id account, std::uint64_t serial, double seconds, bool suspendable = true) -> ticket
{
    auto result = ticketOf(account, serial, seconds, work_length::longWork);
    result.suspendable = suspendable;
    result.deadline = at(seconds + 600);
    return result;
}

/// Fills all slots with long work of account B, which has as much work again waiting.
auto fillWithLong(single_pool &site, std::uint32_t slots, bool suspendable = true) -> std::vector<grant>
{
    for (auto serial = std::uint64_t(1); serial <= 2 * slots; ++serial) {
        site.pool.submit(longTicket(accountB, serial, 0, suspendable), at(0));
    }
    return site.pool.decide(at(0)).grants;
}

} // namespace

BOOST_AUTO_TEST_SUITE(short_and_long_test)

BOOST_AUTO_TEST_CASE(long_work_uses_all_idle_slots_while_no_short_work_arrives)
{
    auto site = single_pool(100);
    BOOST_TEST(fillWithLong(site, 100).size() == 100U);
}

BOOST_AUTO_TEST_CASE(long_work_leaves_reserved_slots_free_while_short_work_arrives)
{
    auto site = single_pool(100);
    for (auto serial = std::uint64_t(1000); serial < 1040; ++serial) {
        site.pool.submit(ticketOf(accountA, serial), at(0));
    }
    // 40 short and 58 long requests run; two slots are reserved, for the arrivals in 0.05 s at 40 per second.
    BOOST_TEST(fillWithLong(site, 100).size() == 98U);
}

/// The reserved slots must not serve short work of an account that leads one with long work by more than the allowance.
BOOST_AUTO_TEST_CASE(reserved_slots_serve_no_account_beyond_its_allowance)
{
    auto settings = dispatcher_settings();
    settings.shortReserve = 4;
    auto site = single_pool(4, settings);
    site.ledger.merge({ { routerTwo, accountA, 50'000 } });
    for (auto serial = std::uint64_t(1); serial <= 8; ++serial) {
        site.pool.submit(ticketOf(accountA, serial), at(0));
        site.pool.submit(longTicket(accountB, 100 + serial, 0), at(0));
    }
    const auto grants = site.pool.decide(at(0)).grants;
    BOOST_REQUIRE(grants.size() == 4U);
    for (const auto &granted : grants) {
        BOOST_TEST((granted.account == accountB));
    }
}

BOOST_AUTO_TEST_CASE(waiting_short_work_suspends_the_long_request_that_used_least)
{
    auto site = single_pool(4);
    const auto running = fillWithLong(site, 4);
    for (auto index = std::size_t(0); index < running.size(); ++index) {
        site.pool.progress(running[index].ticket, 100.0 * double(4 - index), at(9));
    }
    site.pool.submit(ticketOf(accountA, 1001, 10), at(10));
    const auto decisions = site.pool.decide(at(10));
    BOOST_REQUIRE(decisions.suspensions.size() == 1U);
    BOOST_TEST((decisions.suspensions.front().ticket == running.back().ticket));
    BOOST_TEST(site.pool.decide(at(10.1)).suspensions.empty());
    site.settle(running.back(), 100, at(10.2));
    const auto grants = site.pool.decide(at(10.2)).grants;
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST((grants.front().account == accountA));
}

BOOST_AUTO_TEST_CASE(long_requests_that_are_not_suspendable_or_have_just_started_are_not_suspended)
{
    auto nonSuspendable = single_pool(4);
    fillWithLong(nonSuspendable, 4, false);
    nonSuspendable.pool.submit(ticketOf(accountA, 1001, 10), at(10));
    BOOST_TEST(nonSuspendable.pool.decide(at(10)).suspensions.empty());
    auto justStarted = single_pool(4);
    fillWithLong(justStarted, 4);
    justStarted.pool.submit(ticketOf(accountA, 1001, 0.2), at(0.2));
    BOOST_TEST(justStarted.pool.decide(at(0.2)).suspensions.empty());
    BOOST_TEST(justStarted.pool.decide(at(0.4)).suspensions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(short_work_of_an_account_far_ahead_does_not_suspend_work_of_others)
{
    auto site = single_pool(4);
    site.ledger.merge({ { routerTwo, accountA, 50'000 } });
    fillWithLong(site, 4);
    site.pool.submit(ticketOf(accountA, 1001, 10), at(10));
    BOOST_TEST(site.pool.decide(at(10)).suspensions.empty());
}

BOOST_AUTO_TEST_CASE(short_work_that_exceeds_its_estimate_is_handled_as_long)
{
    auto site = single_pool(1);
    auto outgrown = ticketOf(accountB, 1);
    outgrown.suspendable = true;
    site.pool.submit(outgrown, at(0));
    const auto running = site.pool.decide(at(0)).grants.front();
    site.pool.submit(ticketOf(accountA, 2, 6), at(6));
    BOOST_TEST(site.pool.decide(at(6)).suspensions.empty());
    site.pool.progress(running.ticket, 401, at(7));
    BOOST_TEST(site.pool.decide(at(7)).suspensions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumed_request_is_charged_the_typical_cost_and_does_not_change_estimates)
{
    auto site = single_pool(8);
    auto serial = std::uint64_t(0);
    for (; serial < 20; ++serial) {
        site.pool.submit(longTicket(accountB, serial + 1, 0), at(0));
        site.settle(site.pool.decide(at(0)).grants.front(), 500, at(0));
    }
    auto resumed = longTicket(accountB, ++serial, 1);
    resumed.suspensions = 1;
    resumed.expectedCost = 1;
    site.pool.submit(resumed, at(1));
    const auto first = site.pool.decide(at(1)).grants.front();
    BOOST_TEST(first.charged == 500);
    site.settle(first, 9000, at(2));
    site.pool.submit(longTicket(accountB, ++serial, 3), at(3));
    BOOST_TEST(site.pool.decide(at(3)).grants.front().charged == 500);
}

BOOST_AUTO_TEST_CASE(only_the_flooding_account_is_refused_and_gets_a_retry_delay)
{
    auto site = single_pool(1);
    site.pool.setQueueLimits({ { accountA, 10 } });
    for (auto serial = std::uint64_t(1); serial <= 200; ++serial) {
        site.pool.submit(ticketOf(accountA, serial), at(0));
    }
    site.pool.submit(ticketOf(accountB, 300), at(0));
    const auto decisions = site.pool.decide(at(0));
    BOOST_TEST(decisions.refusals.size() == 190U);
    for (const auto &refused : decisions.refusals) {
        BOOST_TEST((refused.account == accountA));
        BOOST_TEST((refused.reason == refusal_reason::queueFull));
        BOOST_TEST((refused.retryAfter >= std::chrono::seconds(1)));
    }
    BOOST_TEST(site.pool.hasTicket({ routerOne, 300 }));
}

/// With one slot, requests of one second and both accounts backlogged, an account gets one grant in two seconds.
/// Tickets that cannot be granted before their deadline at that rate must be refused on submission, not after a useless
/// wait.
BOOST_AUTO_TEST_CASE(tickets_that_cannot_be_served_before_their_deadline_are_refused_at_once)
{
    auto site = single_pool(1);
    auto serial = std::uint64_t(0);
    auto seconds = 0.0;
    auto earlyRefusals = std::size_t(0);
    for (; seconds < 30; seconds += 1) {
        for (const auto account : { accountA, accountB }) {
            site.pool.submit(ticketOf(account, ++serial, seconds), at(seconds));
        }
        const auto decisions = site.pool.decide(at(seconds));
        earlyRefusals += decisions.refusals.size();
        for (const auto &granted : decisions.grants) {
            site.settle(granted, 100, at(seconds + 0.99));
        }
    }
    BOOST_TEST(earlyRefusals == 0U);
    for (auto added = 0; added < 100; ++added) {
        site.pool.submit(ticketOf(accountA, ++serial, seconds), at(seconds));
    }
    const auto refusals = site.pool.decide(at(seconds)).refusals;
    BOOST_TEST(!refusals.empty());
    for (const auto &refused : refusals) {
        BOOST_TEST((refused.reason == refusal_reason::deadline));
    }
}

BOOST_AUTO_TEST_SUITE_END()
