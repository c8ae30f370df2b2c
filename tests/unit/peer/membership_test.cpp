#include "marjoramloom/peer/membership.h"

#include "marjoramloom/peer/duty.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

const auto start = time_point(1h);

auto named(const std::string &instance, incarnation_id incarnation, std::uint64_t beat = 0,
           const std::string &dataCentre = "a-1") -> member
{
    auto who = member();
    who.instance = instance;
    who.incarnation = incarnation;
    who.dataCentre = dataCentre;
    who.peerAddress = instance + ":1";
    who.beat = beat;
    who.ready = true;
    return who;
}

auto makeMembership() -> membership
{
    return { named("self", 1), {} };
}

} // namespace

BOOST_AUTO_TEST_SUITE(membership_test)

BOOST_AUTO_TEST_CASE(only_a_higher_beat_is_a_sign_of_life)
{
    auto routers = makeMembership();
    BOOST_TEST((routers.hear(named("r2", 2, 5), start) == heard_result::joined));
    for (auto tick = 0; tick < 30; ++tick) {
        BOOST_TEST((routers.hearThrough(named("r2", 2, 5), start + tick * 100ms) == heard_result::stale));
        routers.expire(start + tick * 100ms);
    }
    BOOST_TEST(!routers.find(2));
    BOOST_TEST((routers.hear(named("r2", 2, 5), start + 3s) == heard_result::stale));
    BOOST_TEST((routers.hear(named("r2", 2, 6), start + 3s) == heard_result::joined));
}

BOOST_AUTO_TEST_CASE(a_replaced_incarnation_never_comes_back)
{
    auto routers = makeMembership();
    routers.hear(named("r2", 20, 100), start);
    BOOST_TEST((routers.hear(named("r2", 30, 1), start) == heard_result::joined));
    BOOST_TEST((routers.hear(named("r2", 20, 101), start) == heard_result::obsolete));
    BOOST_TEST((routers.hearThrough(named("r2", 20, 102), start) == heard_result::obsolete));
    routers.expire(start + 5s);
    BOOST_TEST((routers.hear(named("r2", 20, 103), start + 5s) == heard_result::obsolete));
    BOOST_TEST(!routers.find(20));
}

BOOST_AUTO_TEST_CASE(a_lower_incarnation_is_taken_once_the_higher_one_is_gone)
{
    auto routers = makeMembership(); // The wall clock went back between two starts.
    routers.hear(named("r2", 30, 1), start);
    BOOST_TEST((routers.hear(named("r2", 20, 1), start + 1s) == heard_result::obsolete));
    routers.expire(start + 3s);
    BOOST_TEST((routers.hear(named("r2", 20, 2), start + 3s) == heard_result::joined));
}

BOOST_AUTO_TEST_CASE(losses_and_joins_are_told_once)
{
    auto routers = makeMembership();
    routers.hear(named("r2", 20, 1), start);
    routers.hear(named("r2", 20, 2), start + 100ms);
    BOOST_TEST(routers.takeEvents().size() == 1U);
    routers.hear(named("r2", 30, 1), start + 200ms);
    const auto replaced = routers.takeEvents();
    BOOST_REQUIRE(replaced.size() == 2U);
    BOOST_TEST(!replaced[0].joined);
    BOOST_TEST(replaced[0].who.incarnation == 20U);
    BOOST_TEST(replaced[1].joined);
    routers.expire(start + 3s);
    routers.expire(start + 4s);
    BOOST_TEST(routers.takeEvents().size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_roster_is_taken_by_its_beat_and_asked_for_when_its_version_is_new)
{
    auto routers = makeMembership();
    auto news = roster{ "b-1", 50, 10, 77, { named("b1", 50, 9, "b-1"), named("b2", 51, 9, "b-1") } };
    BOOST_TEST(routers.absorb(news, start));
    BOOST_TEST(routers.members(start).size() == 3U);
    auto refreshed = roster{ "b-1", 50, 11, 77, {} };
    BOOST_TEST(routers.absorb(refreshed, start + 14s));
    routers.expire(start + 20s);
    BOOST_TEST(routers.members(start + 20s).size() == 3U);
    BOOST_TEST(routers.absorb(refreshed, start + 28s)); // An old beat is no news.
    routers.expire(start + 30s);
    BOOST_TEST(routers.members(start + 30s).size() == 1U);
    refreshed.beat = 12;
    BOOST_TEST(!routers.absorb(refreshed, start + 30s)); // Gone meanwhile: to be asked for whole.
    refreshed.version = 78;
    BOOST_TEST(!routers.absorb(refreshed, start + 30s));
}

BOOST_AUTO_TEST_CASE(the_instance_list_marks_members_as_leaving_before_they_say_so)
{
    auto routers = makeMembership();
    routers.hear(named("r2", 20, 1), start);
    routers.setListed({ { "r2", "a-1", instance_role::router, instance_state::leaving, "r2:1" } });
    const auto key = dispatcherDuty({ "a-1", { 7 } });
    BOOST_TEST(dutyHolder(routers.members(start), key) == 1U);
}

BOOST_AUTO_TEST_CASE(what_is_gone_is_forgotten_in_time)
{
    auto routers = makeMembership();
    for (auto incarnation = incarnation_id(2); incarnation < 1'000; ++incarnation) {
        routers.hear(named("r2", incarnation, 1), start + incarnation * 1s);
        routers.expire(start + incarnation * 1s);
    }
    BOOST_TEST(!routers.remembers(500));
    routers.expire(start + 2h);
    BOOST_TEST(!routers.remembers(999));
}

BOOST_AUTO_TEST_SUITE_END()
