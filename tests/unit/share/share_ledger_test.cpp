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

BOOST_AUTO_TEST_CASE(totals_since_a_serial_contain_only_those_that_grew)
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

BOOST_AUTO_TEST_CASE(usage_counts_once_whichever_message_comes_first)
{
    auto ledger = share_ledger();
    ledger.recordUsage(routerOne, accountA, 50, at(0));
    BOOST_TEST(ledger.receivedService(accountA) == 50);
    ledger.merge({ { routerOne, accountA, 50 } });
    BOOST_TEST(ledger.receivedService(accountA) == 50);
    ledger.recordUsage(routerOne, accountA, 10, at(1));
    ledger.merge({ { routerOne, accountA, 90 } });
    BOOST_TEST(ledger.receivedService(accountA) == 90);
    ledger.recordUsage(routerOne, accountA, 30, at(1));
    BOOST_TEST(ledger.receivedService(accountA) == 90);
}

BOOST_AUTO_TEST_CASE(usage_expires_if_its_total_never_arrives)
{
    auto ledger = share_ledger();
    ledger.recordUsage(routerOne, accountA, 50, at(0));
    ledger.expire(at(4));
    BOOST_TEST(ledger.receivedService(accountA) == 50);
    ledger.expire(at(10));
    BOOST_TEST(ledger.receivedService(accountA) == 0);
}

BOOST_AUTO_TEST_CASE(usage_that_no_total_confirms_does_not_accumulate)
{
    auto ledger = share_ledger();
    for (auto second = 0; second < 100; ++second) {
        ledger.expire(at(second));
        ledger.recordUsage(routerOne, accountA, 30, at(second)); // The router counts only 10 of them.
        ledger.count(routerOne, accountA, 10);
    }
    constexpr auto usageInFiveSeconds = 5 * 30;
    BOOST_TEST(ledger.receivedService(accountA) <= 1000 + usageInFiveSeconds);
}

BOOST_AUTO_TEST_CASE(offsets_are_exchanged_with_totals_and_apply_per_service)
{
    auto localLedger = share_ledger();
    auto remoteLedger = share_ledger();
    localLedger.raiseVirtualService(accountA, model, 500);
    localLedger.capVirtualService(accountA, model, 400);
    auto next = std::uint64_t(0);
    remoteLedger.merge(localLedger.totalsSince(0, next));
    remoteLedger.merge(localLedger.totalsSince(0, next));
    BOOST_TEST(remoteLedger.virtualService(accountA, model) == 400);
    BOOST_TEST(remoteLedger.virtualService(accountA, object_id{ 8 }) == 0);
    BOOST_TEST(remoteLedger.receivedService(accountA) == 0);
}

BOOST_AUTO_TEST_CASE(a_changed_weight_keeps_the_virtual_service)
{
    auto ledger = share_ledger();
    ledger.setWeights({ { accountA, 1 } });
    ledger.merge({ { routerOne, accountA, 1000 } });
    ledger.raiseVirtualService(accountA, model, 1100);
    ledger.setWeights({ { accountA, 4 } });
    BOOST_TEST(ledger.virtualService(accountA, model) == 1100);
    ledger.setWeights({ { accountA, 0.5 } });
    BOOST_TEST(ledger.virtualService(accountA, model) == 1100);
}

BOOST_AUTO_TEST_SUITE_END()
