#include "share_fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

namespace {

auto longTicket(object_id account, std::uint64_t serial, double seconds, bool suspendable = true) -> ticket
{
    auto made = ticketOf(account, serial, seconds, work_length::longWork);
    made.suspendable = suspendable;
    made.deadline = at(seconds + 600);
    return made;
}

/// All slots run long work of account B, which waits for more.
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

BOOST_AUTO_TEST_CASE(long_work_leaves_a_reserve_while_short_work_arrives)
{
    auto site = single_pool(100);
    for (auto serial = std::uint64_t(1000); serial < 1040; ++serial) {
        site.pool.submit(ticketOf(accountA, serial), at(0));
    }
    // 40 short and 58 long; what arrives in 0.05 s, at 40 a second, is kept free.
    BOOST_TEST(fillWithLong(site, 100).size() == 98U);
}

BOOST_AUTO_TEST_CASE(waiting_short_work_suspends_the_long_piece_that_used_least)
{
    auto site = single_pool(4);
    const auto running = fillWithLong(site, 4);
    for (auto index = std::size_t(0); index < running.size(); ++index) {
        site.pool.progress(running[index].ticket, 100.0 * double(4 - index), at(9));
    }
    site.pool.submit(ticketOf(accountA, 1001, 10), at(10));
    const auto decided = site.pool.decide(at(10));
    BOOST_REQUIRE(decided.suspensions.size() == 1U);
    BOOST_TEST((decided.suspensions.front().ticket == running.back().ticket));
    BOOST_TEST(site.pool.decide(at(10.1)).suspensions.empty());
    site.settle(running.back(), 100, at(10.2));
    const auto grants = site.pool.decide(at(10.2)).grants;
    BOOST_REQUIRE(grants.size() == 1U);
    BOOST_TEST((grants.front().account == accountA));
}

BOOST_AUTO_TEST_CASE(work_that_may_not_be_suspended_or_has_just_started_is_not)
{
    auto fixed = single_pool(4);
    fillWithLong(fixed, 4, false);
    fixed.pool.submit(ticketOf(accountA, 1001, 10), at(10));
    BOOST_TEST(fixed.pool.decide(at(10)).suspensions.empty());
    auto fresh = single_pool(4);
    fillWithLong(fresh, 4);
    fresh.pool.submit(ticketOf(accountA, 1001, 0.2), at(0.2));
    BOOST_TEST(fresh.pool.decide(at(0.2)).suspensions.empty());
    BOOST_TEST(fresh.pool.decide(at(0.4)).suspensions.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_account_far_ahead_cannot_suspend_the_work_of_others)
{
    auto site = single_pool(4);
    site.ledger.merge({ { routerTwo, accountA, 50'000 } });
    fillWithLong(site, 4);
    site.pool.submit(ticketOf(accountA, 1001, 10), at(10));
    BOOST_TEST(site.pool.decide(at(10)).suspensions.empty());
}

BOOST_AUTO_TEST_CASE(short_work_that_outgrows_its_estimate_is_treated_as_long)
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

BOOST_AUTO_TEST_CASE(a_flooding_account_is_refused_alone_and_told_when_to_come_again)
{
    auto site = single_pool(1);
    site.pool.setQueueLimits({ { accountA, 10 } });
    for (auto serial = std::uint64_t(1); serial <= 200; ++serial) {
        site.pool.submit(ticketOf(accountA, serial), at(0));
    }
    site.pool.submit(ticketOf(accountB, 300), at(0));
    const auto decided = site.pool.decide(at(0));
    BOOST_TEST(decided.refusals.size() == 190U);
    for (const auto &refused : decided.refusals) {
        BOOST_TEST((refused.account == accountA));
        BOOST_TEST((refused.reason == refusal_reason::queueFull));
        BOOST_TEST((refused.retryAfter >= std::chrono::seconds(1)));
    }
    BOOST_TEST(site.pool.knows({ routerOne, 300 }));
}

/// One slot, one second a request, both accounts backlogged: an account is granted one request in two seconds.
BOOST_AUTO_TEST_CASE(what_cannot_be_served_in_time_is_refused_at_once)
{
    auto site = single_pool(1);
    auto serial = std::uint64_t(0);
    auto seconds = 0.0;
    auto early = std::size_t(0);
    for (; seconds < 30; seconds += 1) {
        for (const auto account : { accountA, accountB }) {
            site.pool.submit(ticketOf(account, ++serial, seconds), at(seconds));
        }
        const auto decided = site.pool.decide(at(seconds));
        early += decided.refusals.size();
        for (const auto &granted : decided.grants) {
            site.settle(granted, 100, at(seconds + 0.99));
        }
    }
    BOOST_TEST(early == 0U);
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
