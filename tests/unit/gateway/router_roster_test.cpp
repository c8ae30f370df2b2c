#include "marjoramloom/gateway/decisions/watch_role.h"
#include "marjoramloom/gateway/knowledge/router_roster.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto makeIdentity(int number, const std::string &dataCentre = "north", double cores = 0.25) -> router_identity
{
    return { "10.0.0." + std::to_string(number) + ":7400", dataCentre, cores };
}

/// The roster of each of the routers, in which all others are known.
auto makeRosters(const std::vector<router_identity> &routers) -> std::vector<router_roster>
{
    auto rosters = std::vector<router_roster>();
    for (const auto &self : routers) {
        auto roster = router_roster(self);
        for (const auto &router : routers) {
            roster.put(router);
        }
        rosters.push_back(std::move(roster));
    }
    return rosters;
}

/// The first router in \p order that is responsive.
auto firstResponsive(const router_roster &roster, const std::vector<std::uint64_t> &order, time_point now)
    -> std::uint64_t
{
    const auto found = std::find_if(order.begin(), order.end(), [&](auto id) { return roster.isResponsive(id, now); });
    BOOST_REQUIRE((found != order.end()));
    return *found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_roster_test)

BOOST_AUTO_TEST_CASE(all_routers_compute_the_same_dispatch_order_with_large_routers_first)
{
    auto routers = std::vector<router_identity>();
    for (auto number = 0; number < 60; ++number) {
        routers.push_back(makeIdentity(number, "north", number < 6 ? 0.5 : 0.12));
    }
    auto rosters = makeRosters(routers);
    auto dispatchers = std::set<std::uint64_t>();
    for (auto shard = std::uint32_t(0); shard < 4; ++shard) {
        const auto first = rosters.front().dispatchOrder(99, shard);
        BOOST_TEST(first.size() == 60U);
        for (auto &roster : rosters) {
            BOOST_TEST((roster.dispatchOrder(99, shard) == first));
        }
        dispatchers.insert(first.front());
    }
    // Four shards have four different dispatchers, all of them large routers.
    BOOST_TEST(dispatchers.size() == 4U);
    for (auto number = 6; number < 60; ++number) {
        BOOST_TEST(!dispatchers.contains(router_roster::idOf(routers[static_cast<std::size_t>(number)].address)));
    }
}

BOOST_AUTO_TEST_CASE(a_router_is_larger_than_most_by_the_others_of_its_data_centre)
{
    auto large = router_roster(makeIdentity(1, "north", 0.5));
    BOOST_TEST(!large.isLargerThanMost()); // No other one is known.
    large.put(makeIdentity(2, "south", 0.12));
    BOOST_TEST(!large.isLargerThanMost());
    large.put(makeIdentity(3, "north", 0.5));
    large.put(makeIdentity(4, "north", 0.12));
    BOOST_TEST(!large.isLargerThanMost());
    large.put(makeIdentity(5, "north", 0.12));
    BOOST_TEST(large.isLargerThanMost());
    auto small = router_roster(makeIdentity(4, "north", 0.12));
    small.put(makeIdentity(5, "north", 0.12));
    small.put(makeIdentity(1, "north", 0.5));
    BOOST_TEST(!small.isLargerThanMost());
}

BOOST_AUTO_TEST_CASE(a_router_that_does_not_answer_is_not_selected_until_a_message_from_it_arrives)
{
    auto roster = router_roster(makeIdentity(1));
    roster.put(makeIdentity(2, "north", 1));
    const auto other = router_roster::idOf(makeIdentity(2).address);
    const auto now = time_point(100s);
    // Without an unanswered message, a router counts as responsive.
    BOOST_TEST(firstResponsive(roster, roster.dispatchOrder(7, 0), now + 1h) == other);
    roster.noteRequestSent(other, now);
    roster.noteRequestSent(other, now + 600ms); // The silence counts from the first message.
    BOOST_TEST(roster.isResponsive(other, now + 700ms));
    BOOST_TEST(!roster.isResponsive(other, now + 701ms));
    BOOST_TEST(firstResponsive(roster, roster.dispatchOrder(7, 0), now + 1s) == roster.self());
    roster.noteMessageReceived(other);
    BOOST_TEST(roster.isResponsive(other, now + 2s));
    roster.noteStopping(other, now + 2s);
    BOOST_TEST(!roster.isResponsive(other, now + 2s));
}

BOOST_AUTO_TEST_CASE(two_routers_of_each_data_centre_watch_the_store)
{
    auto routers = std::vector<router_identity>();
    for (auto number = 0; number < 30; ++number) {
        routers.push_back(makeIdentity(number, number % 2 == 0 ? "north" : "south"));
    }
    auto rosters = makeRosters(routers);
    const auto now = time_point(100s);
    auto watching = std::map<std::string, int>();
    for (auto index = std::size_t(0); index < rosters.size(); ++index) {
        auto watchRole = watch_role(now);
        watchRole.noteRoutersKnown(now);
        watching[routers[index].dataCentre] += watchRole.shouldWatch(rosters[index], now) ? 1 : 0;
    }
    BOOST_TEST(watching["north"] == 2);
    BOOST_TEST(watching["south"] == 2);
}

BOOST_AUTO_TEST_CASE(a_router_without_current_updates_watches_the_store_until_they_arrive_again)
{
    auto routers = std::vector<router_identity>();
    for (auto number = 0; number < 9; ++number) {
        routers.push_back(makeIdentity(number));
    }
    for (auto &roster : makeRosters(routers)) {
        const auto start = time_point(100s);
        auto watchRole = watch_role(start);
        watchRole.noteRoutersKnown(start);
        if (watchRole.shouldWatch(roster, start)) {
            continue; // Designated by the order of the routers.
        }
        auto now = start;
        for (; now < start + 3s; now += 400ms) {
            watchRole.noteUpToDate(now);
            BOOST_TEST(!watchRole.shouldWatch(roster, now + 100ms));
        }
        BOOST_TEST(watchRole.shouldWatch(roster, now + 2s));
        watchRole.noteUpToDate(now + 3s);
        // It goes on for a minimum time, so that it does not start and stop with each message.
        BOOST_TEST(watchRole.shouldWatch(roster, now + 3s));
        watchRole.noteUpToDate(now + 7s);
        BOOST_TEST(!watchRole.shouldWatch(roster, now + 7s));
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_learns_of_no_others_watches_the_store)
{
    auto roster = router_roster(makeIdentity(1));
    auto watchRole = watch_role(time_point(100s));
    BOOST_TEST(!watchRole.shouldWatch(roster, time_point(100s)));
    BOOST_TEST(watchRole.shouldWatch(roster, time_point(102s)));
}

BOOST_AUTO_TEST_SUITE_END()
