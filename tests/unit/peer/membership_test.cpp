#include "marjoramloom/peer/membership.h"

#include "marjoramloom/peer/role.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);

auto makeMember(const std::string &instance, incarnation_id incarnation, std::uint64_t heartbeatCount = 0,
                const std::string &dataCentre = "a-1") -> member
{
    auto router = member();
    router.instance = instance;
    router.incarnation = incarnation;
    router.dataCentre = dataCentre;
    router.peerAddress = instance + ":1";
    router.heartbeatCount = heartbeatCount;
    router.ready = true;
    return router;
}

auto makeMembership() -> membership
{
    return { makeMember("self", 1), {} };
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_test)

BOOST_AUTO_TEST_CASE(only_a_higher_heartbeat_count_keeps_a_member_alive)
{
    auto routers = makeMembership();
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 2, 5), start) == heartbeat_result::joined));
    for (auto tick = 0; tick < 30; ++tick) {
        BOOST_TEST(
            (routers.onRelayedHeartbeat(makeMember("r2", 2, 5), start + tick * 100ms) == heartbeat_result::stale));
        routers.expire(start + tick * 100ms);
    }
    BOOST_TEST(!routers.find(2));
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 2, 5), start + 3s) == heartbeat_result::stale));
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 2, 6), start + 3s) == heartbeat_result::joined));
}

BOOST_AUTO_TEST_CASE(a_replaced_incarnation_never_rejoins)
{
    auto routers = makeMembership();
    routers.onHeartbeat(makeMember("r2", 20, 100), start);
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 30, 1), start) == heartbeat_result::joined));
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 20, 101), start) == heartbeat_result::obsolete));
    BOOST_TEST((routers.onRelayedHeartbeat(makeMember("r2", 20, 102), start) == heartbeat_result::obsolete));
    routers.expire(start + 5s);
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 20, 103), start + 5s) == heartbeat_result::obsolete));
    BOOST_TEST(!routers.find(20));
}

BOOST_AUTO_TEST_CASE(a_lower_incarnation_joins_after_the_higher_one_is_lost)
{
    auto routers = makeMembership(); // As after a restart for which the wall clock went back.
    routers.onHeartbeat(makeMember("r2", 30, 1), start);
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 20, 1), start + 1s) == heartbeat_result::obsolete));
    routers.expire(start + 3s);
    BOOST_TEST((routers.onHeartbeat(makeMember("r2", 20, 2), start + 3s) == heartbeat_result::joined));
}

BOOST_AUTO_TEST_CASE(losses_and_joins_are_reported_once)
{
    auto routers = makeMembership();
    routers.onHeartbeat(makeMember("r2", 20, 1), start);
    routers.onHeartbeat(makeMember("r2", 20, 2), start + 100ms);
    BOOST_TEST(routers.takeEvents().size() == 1U);
    routers.onHeartbeat(makeMember("r2", 30, 1), start + 200ms);
    const auto replaced = routers.takeEvents();
    BOOST_REQUIRE(replaced.size() == 2U);
    BOOST_TEST(!replaced[0].joined);
    BOOST_TEST(replaced[0].memberInfo.incarnation == 20U);
    BOOST_TEST(replaced[1].joined);
    routers.expire(start + 3s);
    routers.expire(start + 4s);
    BOOST_TEST(routers.takeEvents().size() == 1U);
}

BOOST_AUTO_TEST_CASE(stale_rosters_are_ignored_and_unknown_versions_need_all_members)
{
    auto routers = makeMembership();
    auto update = roster{ "b-1", 50, 10, 77, { makeMember("b1", 50, 9, "b-1"), makeMember("b2", 51, 9, "b-1") } };
    BOOST_TEST(routers.mergeRoster(update, start));
    BOOST_TEST(routers.members(start).size() == 3U);
    auto refreshed = roster{ "b-1", 50, 11, 77, {} };
    BOOST_TEST(routers.mergeRoster(refreshed, start + 14s));
    routers.expire(start + 20s);
    BOOST_TEST(routers.members(start + 20s).size() == 3U);
    BOOST_TEST(routers.mergeRoster(refreshed, start + 28s)); // Not newer: the heartbeat count did not increase.
    routers.expire(start + 30s);
    BOOST_TEST(routers.members(start + 30s).size() == 1U);
    refreshed.heartbeatCount = 12;
    BOOST_TEST(!routers.mergeRoster(refreshed, start + 30s)); // The members expired, so the full roster is needed.
    refreshed.version = 78;
    BOOST_TEST(!routers.mergeRoster(refreshed, start + 30s));
}

BOOST_AUTO_TEST_CASE(the_instance_list_marks_members_as_leaving_before_their_heartbeats)
{
    auto routers = makeMembership();
    routers.onHeartbeat(makeMember("r2", 20, 1), start);
    routers.setListedRouters({ { "r2", "a-1", instance_role::router, instance_state::leaving, "r2:1" } });
    const auto key = dispatcherRole({ "a-1", { 7 } });
    BOOST_TEST(findRoleHolder(routers.members(start), key) == 1U);
}

BOOST_AUTO_TEST_CASE(entries_of_lost_members_are_removed)
{
    auto routers = makeMembership();
    for (auto incarnation = incarnation_id(2); incarnation < 1'000; ++incarnation) {
        routers.onHeartbeat(makeMember("r2", incarnation, 1), start + incarnation * 1s);
        routers.expire(start + incarnation * 1s);
    }
    BOOST_TEST(!routers.isKnown(500));
    routers.expire(start + 2h);
    BOOST_TEST(!routers.isKnown(999));
}

BOOST_AUTO_TEST_SUITE_END()
