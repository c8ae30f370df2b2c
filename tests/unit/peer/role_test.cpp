#include "marjoramloom/peer/role.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace marjoramloom;

namespace {

auto makeMembers(std::size_t count) -> std::vector<member>
{
    auto members = std::vector<member>();
    for (auto index = std::size_t(0); index < count; ++index) {
        auto router = member();
        router.incarnation = index + 1;
        router.instance = "router" + std::to_string(index);
        router.dataCentre = "a-1";
        router.ready = true;
        members.push_back(router);
    }
    return members;
}

} // namespace

BOOST_AUTO_TEST_SUITE(role_test)

BOOST_AUTO_TEST_CASE(a_lost_member_moves_only_its_own_roles)
{
    const auto before = makeMembers(15);
    auto after = before;
    after.erase(after.begin() + 4);
    for (auto service = std::uint64_t(1); service <= 200; ++service) {
        const auto key = dispatcherRole({ "a-1", { service } });
        const auto holder = findRoleHolder(before, key);
        if (holder != before[4].incarnation) {
            BOOST_TEST(findRoleHolder(after, key) == holder);
        } else {
            BOOST_TEST(findRoleHolder(after, key) == rankRoleCandidates(before, key)[1].incarnation);
        }
    }
}

BOOST_AUTO_TEST_CASE(roles_spread_over_the_members)
{
    const auto members = makeMembers(15);
    auto roleCounts = std::map<incarnation_id, int>();
    for (auto service = std::uint64_t(1); service <= 1'500; ++service) {
        ++roleCounts[findRoleHolder(members, dispatcherRole({ "a-1", { service } }))];
    }
    BOOST_TEST(roleCounts.size() == 15U);
    for (const auto &[incarnation, count] : roleCounts) {
        BOOST_TEST(count < 200); // Twice the average.
    }
}

BOOST_AUTO_TEST_CASE(leaving_and_unready_members_rank_last)
{
    auto members = makeMembers(3);
    const auto key = dispatcherRole({ "a-1", { 7 } });
    const auto order = rankRoleCandidates(members, key);
    members[order[0].incarnation - 1].leaving = true;
    members[order[1].incarnation - 1].ready = false;
    BOOST_TEST(findRoleHolder(members, key) == order[2].incarnation);
    members[order[2].incarnation - 1].leaving = true;
    BOOST_TEST(findRoleHolder(members, key) == order[1].incarnation);
    // A watcher fetches the configuration, so it need not be ready.
    for (auto &router : members) {
        router.leaving = false;
        router.ready = false;
    }
    BOOST_TEST(findRoleHolder(members, { role_kind::watcher, "a-1", "" }) != 0U);
    BOOST_TEST(findRoleHolder(members, { role_kind::watcher, "b-1", "" }) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
