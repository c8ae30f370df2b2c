#include "share_fixtures.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

BOOST_AUTO_TEST_SUITE(share_ledger_test)

BOOST_AUTO_TEST_CASE(totals_merge_by_maximum_and_add_up_over_incarnations)
{
    auto ledger = share_ledger();
    ledger.setWeights({ { accountA, 2 } });
    ledger.merge({ { routerOne, accountA, 100 }, { routerTwo, accountA, 60 } });
    ledger.merge({ { routerOne, accountA, 80 } });
    BOOST_TEST(ledger.receivedService(accountA) == 80);
}

BOOST_AUTO_TEST_CASE(totals_since_a_serial_hold_only_what_grew)
{
    auto ledger = share_ledger();
    auto next = std::uint64_t(0);
    ledger.merge({ { routerOne, accountA, 100 }, { routerOne, accountB, 100 } });
    BOOST_TEST(ledger.totalsSince(0, next).size() == 2U);
    ledger.merge({ { routerOne, accountA, 100 }, { routerOne, accountB, 101 } });
    const auto grown = ledger.totalsSince(next, next);
    BOOST_REQUIRE(grown.size() == 1U);
    BOOST_TEST((grown.front().account == accountB));
}

BOOST_AUTO_TEST_CASE(use_counts_once_whichever_message_comes_first)
{
    auto ledger = share_ledger();
    ledger.observeUse(routerOne, accountA, 50, at(0));
    BOOST_TEST(ledger.receivedService(accountA) == 50);
    ledger.merge({ { routerOne, accountA, 50 } });
    BOOST_TEST(ledger.receivedService(accountA) == 50);
    ledger.observeUse(routerOne, accountA, 10, at(1));
    ledger.merge({ { routerOne, accountA, 90 } });
    BOOST_TEST(ledger.receivedService(accountA) == 90);
    ledger.observeUse(routerOne, accountA, 30, at(1));
    BOOST_TEST(ledger.receivedService(accountA) == 90);
}

BOOST_AUTO_TEST_CASE(use_whose_total_never_comes_expires)
{
    auto ledger = share_ledger();
    ledger.observeUse(routerOne, accountA, 50, at(0));
    ledger.expire(at(4));
    BOOST_TEST(ledger.receivedService(accountA) == 50);
    ledger.expire(at(10));
    BOOST_TEST(ledger.receivedService(accountA) == 0);
}

BOOST_AUTO_TEST_CASE(use_that_no_total_confirms_does_not_pile_up)
{
    auto ledger = share_ledger();
    for (auto second = 0; second < 100; ++second) {
        ledger.expire(at(second));
        ledger.observeUse(routerOne, accountA, 30, at(second)); // Of which the router counts 10.
        ledger.count(routerOne, accountA, 10);
    }
    constexpr auto fiveSeconds = 5 * 30;
    BOOST_TEST(ledger.receivedService(accountA) <= 1000 + fiveSeconds);
}

BOOST_AUTO_TEST_CASE(offsets_travel_with_totals_and_are_per_service)
{
    auto here = share_ledger();
    auto there = share_ledger();
    here.lift(accountA, model, 500);
    here.relieve(accountA, model, 400);
    auto next = std::uint64_t(0);
    there.merge(here.totalsSince(0, next));
    there.merge(here.totalsSince(0, next));
    BOOST_TEST(there.virtualService(accountA, model) == 400);
    BOOST_TEST(there.virtualService(accountA, object_id{ 8 }) == 0);
    BOOST_TEST(there.receivedService(accountA) == 0);
}

BOOST_AUTO_TEST_CASE(a_changed_weight_keeps_the_place_in_the_order)
{
    auto ledger = share_ledger();
    ledger.setWeights({ { accountA, 1 } });
    ledger.merge({ { routerOne, accountA, 1000 } });
    ledger.lift(accountA, model, 1100);
    ledger.setWeights({ { accountA, 4 } });
    BOOST_TEST(ledger.virtualService(accountA, model) == 1100);
    ledger.setWeights({ { accountA, 0.5 } });
    BOOST_TEST(ledger.virtualService(accountA, model) == 1100);
}

BOOST_AUTO_TEST_SUITE_END()
