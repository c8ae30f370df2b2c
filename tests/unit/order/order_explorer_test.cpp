#include "unit/order/order_explorer.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto explore(int routers, fault_budget budget, naive_variant variant = naive_variant::none, std::string wanted = {})
    -> exploration
{
    auto found = order_explorer(routers, budget, variant).run(std::move(wanted));
    auto path = std::string();
    for (const auto &step : found.path) {
        path += "\n  " + step;
    }
    BOOST_TEST_MESSAGE("routers " << routers << ": " << found.states << " states; " << found.violation << path);
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(order_explorer_test)

BOOST_AUTO_TEST_CASE(it_finds_what_naive_variants_break)
{
    const auto one = fault_budget{ .lostAnswers = 1, .refusals = 0, .staleReads = 0, .kills = 0 };
    const auto twice = std::string("executed more than once");
    const auto untrue = std::string("told not run, but it ran or may run");
    const auto forgotten = std::string("a claim that its living creator never settled");
    BOOST_TEST(explore(2, {}, naive_variant::takesOverByLease, twice).violation == twice);
    BOOST_TEST(explore(2, one, naive_variant::sendsOnUnknownClaim, twice).violation == twice);
    BOOST_TEST(explore(2, {}, naive_variant::releasesUnknownSending, twice).violation == twice);
    BOOST_TEST(explore(1, {}, naive_variant::releasesUnknownSending, untrue).violation == untrue);
    BOOST_TEST(explore(1, one, naive_variant::forgetsUnknownClaim, forgotten).violation == forgotten);
}

BOOST_AUTO_TEST_CASE(two_routers_with_two_lost_answers_and_a_kill)
{
    const auto found = explore(2, { .lostAnswers = 2, .refusals = 1, .staleReads = 1, .kills = 1 });
    BOOST_TEST(found.violation == "");
}

BOOST_AUTO_TEST_CASE(three_routers_with_a_lost_answer_and_a_kill)
{
    const auto found = explore(3, { .lostAnswers = 1, .refusals = 0, .staleReads = 0, .kills = 1 });
    BOOST_TEST(found.violation == "");
}

BOOST_AUTO_TEST_SUITE_END()
