#include "marjoramloom/peer/duty.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace marjoramloom;

namespace {

auto makeMembers(std::size_t count) -> std::vector<member>
{
    auto members = std::vector<member>();
    for (auto index = std::size_t(0); index < count; ++index) {
        auto who = member();
        who.incarnation = index + 1;
        who.instance = "router" + std::to_string(index);
        who.dataCentre = "a-1";
        who.ready = true;
        members.push_back(who);
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(duty_test)

BOOST_AUTO_TEST_CASE(a_member_that_goes_moves_no_duty_but_its_own)
{
    const auto before = makeMembers(15);
    auto after = before;
    after.erase(after.begin() + 4);
    for (auto service = std::uint64_t(1); service <= 200; ++service) {
        const auto key = dispatcherDuty({ "a-1", { service } });
        const auto held = dutyHolder(before, key);
        if (held != before[4].incarnation) {
            BOOST_TEST(dutyHolder(after, key) == held);
        } else {
            BOOST_TEST(dutyHolder(after, key) == dutyOrder(before, key)[1].incarnation);
        }
    }
}

BOOST_AUTO_TEST_CASE(duties_spread_over_the_members)
{
    const auto members = makeMembers(15);
    auto held = std::map<incarnation_id, int>();
    for (auto service = std::uint64_t(1); service <= 1'500; ++service) {
        ++held[dutyHolder(members, dispatcherDuty({ "a-1", { service } }))];
    }
    BOOST_TEST(held.size() == 15U);
    for (const auto &[incarnation, count] : held) {
        BOOST_TEST(count < 200); // Twice the even share.
    }
}

BOOST_AUTO_TEST_CASE(leaving_members_and_those_not_ready_come_last)
{
    auto members = makeMembers(3);
    const auto key = dispatcherDuty({ "a-1", { 7 } });
    const auto order = dutyOrder(members, key);
    members[order[0].incarnation - 1].leaving = true;
    members[order[1].incarnation - 1].ready = false;
    BOOST_TEST(dutyHolder(members, key) == order[2].incarnation);
    members[order[2].incarnation - 1].leaving = true;
    BOOST_TEST(dutyHolder(members, key) == order[1].incarnation);
    // A watcher must not wait for the configuration that it is to fetch.
    for (auto &who : members) {
        who.leaving = false;
        who.ready = false;
    }
    BOOST_TEST(dutyHolder(members, { duty_kind::watcher, "a-1", "" }) != 0U);
    BOOST_TEST(dutyHolder(members, { duty_kind::watcher, "b-1", "" }) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
