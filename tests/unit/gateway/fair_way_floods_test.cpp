#include "fair_way_plays.h"

using namespace marjoramloom;
using namespace marjoramloom::testing;

BOOST_AUTO_TEST_SUITE(fair_way_floods_test)

BOOST_AUTO_TEST_CASE(several_accounts_behind_one_router_each_get_their_shares)
{
    requireFair(threeFloods);
}

// The flood goes on to the next router, which accepted all of it at first and served it after its callers had left.
BOOST_AUTO_TEST_CASE(a_flood_that_moves_between_routers_that_reach_no_other_is_served_in_every_second)
{
    requireServed(std::vector<double>(8, .09), 700);
}

BOOST_AUTO_TEST_SUITE_END()
