#include "unit/order/order_explorer.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto explore(int routers, fault_budget budget, protocol_mutation mutation = protocol_mutation::none,
             std::string expectedViolation = {}) -> exploration
{
    auto result = order_explorer(routers, budget, mutation).run(std::move(expectedViolation));
    auto path = std::string();
    for (const auto &step : result.path) {
        path += "\n  " + step;
    }
    BOOST_TEST_MESSAGE("routers " << routers << ": " << result.states << " states; " << result.violation << path);
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_explorer_test)

// Guards against an explorer that overlooks violations: each mutation of the protocol leads to a known violation.
BOOST_AUTO_TEST_CASE(each_protocol_mutation_violates_its_guarantee)
{
    const auto oneLostAnswer = fault_budget{ .lostAnswers = 1, .refusals = 0, .staleReads = 0, .kills = 0 };
    const auto executedTwice = std::string("executed more than once");
    const auto falselyNotRun = std::string("reported as not run, but it ran or may still run");
    const auto unsettledClaim = std::string("a live router never settled its claim");
    BOOST_TEST(explore(2, {}, protocol_mutation::takesOverOtherClaims, executedTwice).violation == executedTwice);
    BOOST_TEST(explore(2, oneLostAnswer, protocol_mutation::sendsOnUnknownClaim, executedTwice).violation
               == executedTwice);
    BOOST_TEST(explore(2, {}, protocol_mutation::releasesUnknownSending, executedTwice).violation == executedTwice);
    BOOST_TEST(explore(1, {}, protocol_mutation::releasesUnknownSending, falselyNotRun).violation == falselyNotRun);
    BOOST_TEST(explore(1, oneLostAnswer, protocol_mutation::skipsReleaseOfUnknownClaim, unsettledClaim).violation
               == unsettledClaim);
}

// Guards against an interleaving that executes an order twice or reports it wrongly, with all kinds of faults.
BOOST_AUTO_TEST_CASE(two_routers_keep_the_guarantees_with_two_lost_answers_and_a_kill)
{
    const auto result = explore(2, { .lostAnswers = 2, .refusals = 1, .staleReads = 1, .kills = 1 });
    BOOST_TEST(result.violation == "");
}

// Guards against violations that need three routers.
BOOST_AUTO_TEST_CASE(three_routers_keep_the_guarantees_with_a_lost_answer_and_a_kill)
{
    const auto result = explore(3, { .lostAnswers = 1, .refusals = 0, .staleReads = 0, .kills = 1 });
    BOOST_TEST(result.violation == "");
}

BOOST_AUTO_TEST_SUITE_END()
