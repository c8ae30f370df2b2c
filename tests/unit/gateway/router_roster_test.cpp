#include "marjoramloom/gateway/router_roster.h"
#include "marjoramloom/gateway/watch_duty.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto identityOf(int number, const std::string &dataCentre = "north", double cores = 0.25) -> router_identity
{
    return { "10.0.0." + std::to_string(number) + ":7400", dataCentre, cores };
}

/// The same fleet as each of its routers sees it.
auto rostersOf(const std::vector<router_identity> &routers) -> std::vector<router_roster>
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

/// The first router of \p order that answers.
auto firstAnswering(const router_roster &roster, const std::vector<std::uint64_t> &order, time_point now)
    -> std::uint64_t
{
    const auto found = std::find_if(order.begin(), order.end(), [&](auto id) { return roster.answers(id, now); });
    BOOST_REQUIRE((found != order.end()));
    return *found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(router_roster_test)

BOOST_AUTO_TEST_CASE(all_routers_agree_and_large_ones_dispatch)
{
    auto routers = std::vector<router_identity>();
    for (auto number = 0; number < 60; ++number) {
        routers.push_back(identityOf(number, "north", number < 6 ? 0.5 : 0.12));
    }
    auto rosters = rostersOf(routers);
    auto dispatchers = std::set<std::uint64_t>();
    for (auto part = std::uint32_t(0); part < 4; ++part) {
        const auto first = rosters.front().dispatchOrder(99, part);
        BOOST_TEST(first.size() == 60U);
        for (auto &roster : rosters) {
            BOOST_TEST((roster.dispatchOrder(99, part) == first));
        }
        dispatchers.insert(first.front());
    }
    // Four parts, four dispatchers, all of them large.
    BOOST_TEST(dispatchers.size() == 4U);
    for (auto number = 6; number < 60; ++number) {
        BOOST_TEST(!dispatchers.contains(router_roster::idOf(routers[static_cast<std::size_t>(number)].address)));
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_was_asked_and_is_silent_gets_no_duty_until_it_is_heard_again)
{
    auto roster = router_roster(identityOf(1));
    roster.put(identityOf(2, "north", 1));
    const auto other = router_roster::idOf(identityOf(2).address);
    const auto now = time_point(100s);
    // Nothing was asked yet: nothing speaks against it.
    BOOST_TEST(firstAnswering(roster, roster.dispatchOrder(7, 0), now + 1h) == other);
    roster.noteAsked(other, now);
    roster.noteAsked(other, now + 600ms); // The wait counts from the first question.
    BOOST_TEST(roster.answers(other, now + 700ms));
    BOOST_TEST(!roster.answers(other, now + 701ms));
    BOOST_TEST(firstAnswering(roster, roster.dispatchOrder(7, 0), now + 1s) == roster.self());
    roster.noteHeard(other);
    BOOST_TEST(roster.answers(other, now + 2s));
    roster.noteLeft(other, now + 2s);
    BOOST_TEST(!roster.answers(other, now + 2s));
}

BOOST_AUTO_TEST_CASE(two_routers_of_each_data_centre_watch_the_store)
{
    auto routers = std::vector<router_identity>();
    for (auto number = 0; number < 30; ++number) {
        routers.push_back(identityOf(number, number % 2 == 0 ? "north" : "south"));
    }
    auto rosters = rostersOf(routers);
    const auto now = time_point(100s);
    auto watching = std::map<std::string, int>();
    for (auto index = std::size_t(0); index < rosters.size(); ++index) {
        auto duty = watch_duty(now);
        duty.noteJoined(now);
        watching[routers[index].dataCentre] += duty.watches(rosters[index], now) ? 1 : 0;
    }
    BOOST_TEST(watching["north"] == 2);
    BOOST_TEST(watching["south"] == 2);
}

BOOST_AUTO_TEST_CASE(a_router_without_current_news_watches_itself_and_stops_when_they_come_again)
{
    auto routers = std::vector<router_identity>();
    for (auto number = 0; number < 9; ++number) {
        routers.push_back(identityOf(number));
    }
    for (auto &roster : rostersOf(routers)) {
        const auto start = time_point(100s);
        auto duty = watch_duty(start);
        duty.noteJoined(start);
        if (duty.watches(roster, start)) {
            continue; // On duty.
        }
        auto now = start;
        for (; now < start + 3s; now += 400ms) {
            duty.noteCurrent(now);
            BOOST_TEST(!duty.watches(roster, now + 100ms));
        }
        BOOST_TEST(duty.watches(roster, now + 2s));
        duty.noteCurrent(now + 3s);
        BOOST_TEST(duty.watches(roster, now + 3s)); // For a while, so that it does not change with each message.
        duty.noteCurrent(now + 7s);
        BOOST_TEST(!duty.watches(roster, now + 7s));
    }
}

BOOST_AUTO_TEST_CASE(a_router_that_cannot_join_watches_itself)
{
    auto roster = router_roster(identityOf(1));
    auto duty = watch_duty(time_point(100s));
    BOOST_TEST(!duty.watches(roster, time_point(100s)));
    BOOST_TEST(duty.watches(roster, time_point(102s)));
}

BOOST_AUTO_TEST_SUITE_END()
