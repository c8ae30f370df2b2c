#include "fake_network.h"

#include "marjoramloom/peer/role.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// Starts three routers in one data centre.
auto startThreeRouters(fake_network &network) -> std::set<std::string>
{
    network.add("r1", "a-1", {});
    network.add("r2", "a-1", { "r1:1" });
    network.add("r3", "a-1", { "r1:1" });
    return { "r1", "r2", "r3" };
}

/// Starts three routers in each of three data centres in two regions; each has one seed.
auto startNineRouters(fake_network &network) -> std::set<std::string>
{
    auto all = std::set<std::string>();
    for (const auto *dataCentre : { "a-1", "a-2", "b-1" }) {
        for (const auto *number : { "x", "y", "z" }) {
            const auto instance = std::string(dataCentre) + number;
            network.add(instance, dataCentre, { "a-1x:1" });
            all.insert(instance);
        }
    }
    return all;
}

auto serialsUpTo(std::uint64_t count) -> std::vector<std::uint64_t>
{
    auto values = std::vector<std::uint64_t>(count);
    std::iota(values.begin(), values.end(), 1);
    return values;
}

/// Timeout of a member, plus one heartbeat period until the other members check it.
const auto maxLossTime = membership_settings().timeout + peer_mesh_settings().heartbeat;
/// Longest time between two reconnects, plus a heartbeat in each direction.
const auto maxRejoinTime = peer_session_settings().maxReconnectDelay + 2 * peer_mesh_settings().heartbeat;
/// Limit between data centres, where a roster is also requested and forwarded: three more heartbeats at the slower
/// period.
const auto maxRemoteRejoinTime = maxRejoinTime + 5 * peer_mesh_settings().crossRegionHeartbeat;

auto without(std::set<std::string> all, const std::set<std::string> &gone) -> std::set<std::string>
{
    std::erase_if(all, [&](const auto &instance) { return gone.contains(instance); });
    return all;
}

auto startThreeAndConnect(fake_network &network) -> std::set<std::string>
{
    const auto all = startThreeRouters(network);
    BOOST_REQUIRE(network.runUntil(3s, [&] { return network.haveSameView(all); }));
    return all;
}

auto findRoleHolders(fake_network &network, const std::set<std::string> &all, const role_key &key)
    -> std::set<std::string>
{
    auto holders = std::set<std::string>();
    for (const auto &instance : all) {
        const auto &routers = network.at(instance).mesh->routers();
        if (findRoleHolder(routers.members(network.now()), key) == routers.self().incarnation) {
            holders.insert(instance);
        }
    }
    return holders;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_mesh_test)

BOOST_AUTO_TEST_CASE(routers_of_a_data_centre_discover_each_other_through_one_seed)
{
    auto network = fake_network(1);
    const auto all = startThreeRouters(network);
    BOOST_TEST(network.runUntil(3s, [&] { return network.haveSameView(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(data_centres_discover_each_other)
{
    auto network = fake_network(1);
    const auto all = startNineRouters(network);
    BOOST_TEST(network.runUntil(20s, [&] { return network.haveSameView(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(messages_arrive_once_and_in_order_despite_loss_and_reordering)
{
    auto network = fake_network(7);
    const auto all = startThreeRouters(network);
    network.runUntil(3s, [&] { return network.haveSameView(all); });
    network.loss = 0.2;
    network.jitter = 30ms;
    for (auto serial = std::uint64_t(1); serial <= 200; ++serial) {
        BOOST_TEST(network.send("r1", "r2", serial));
        network.run(10ms);
    }
    network.loss = 0;
    network.run(5s);
    BOOST_TEST(network.at("r2").received == serialsUpTo(200), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_unresponsive_connection_reconnects_without_losing_messages)
{
    auto network = fake_network(1);
    const auto all = startThreeRouters(network);
    network.runUntil(3s, [&] { return network.haveSameView(all); });
    network.freeze("r1", "r2");
    BOOST_TEST(network.send("r1", "r2", 1));
    network.run(4s);
    BOOST_TEST(network.at("r2").received == serialsUpTo(1), boost::test_tools::per_element());
    BOOST_TEST(network.haveSameView(all));
}

BOOST_AUTO_TEST_CASE(a_dead_router_is_detected_in_time_despite_delayed_messages)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    network.delay = 400ms; // Nearly a heartbeat period. If members relayed the age instead of a counter, the router
                           // would never expire.
    network.run(5s);
    BOOST_TEST(network.haveSameView(all));
    network.remove("r2");
    const auto rest = without(all, { "r2" });
    BOOST_TEST(
        network.runUntil(maxLossTime + 2 * network.delay, [&] { return network.haveSameView(rest); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_router_unreachable_in_one_direction_stays_alive_through_another)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    network.cut("r1", "r2");
    for (auto second = 0; second < 20; ++second) {
        network.run(1s);
        BOOST_TEST(network.haveSameView(all));
    }
    const auto &routers = network.at("r2").mesh->routers();
    BOOST_TEST(!routers.isHeardDirectly(network.incarnationOf("r1"), network.now()));
}

BOOST_AUTO_TEST_CASE(a_partitioned_data_centre_converges_after_it_heals)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    network.partition({ "r1" });
    const auto rest = without(all, { "r1" });
    BOOST_TEST(
        network.runUntil(maxLossTime, [&] { return network.haveSameView(rest) && network.haveSameView({ "r1" }); })
            .has_value());
    network.run(60s);
    network.heal();
    BOOST_TEST(network.runUntil(maxRejoinTime, [&] { return network.haveSameView(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_role_has_a_holder_on_each_side_of_a_partition_and_one_after_it)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    const auto key = dispatcherRole({ "a-1", { 7 } });
    const auto before = findRoleHolders(network, all, key);
    BOOST_TEST(before.size() == 1U);
    network.partition({ *before.begin() });
    network.run(maxLossTime);
    BOOST_TEST(findRoleHolders(network, all, key).size() == 2U);
    network.heal();
    network.run(maxRejoinTime);
    BOOST_TEST(findRoleHolders(network, all, key) == before, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_paused_router_is_lost_and_rejoins_after_it_resumes)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    network.at("r3").paused = true;
    const auto rest = without(all, { "r3" });
    BOOST_TEST(network.runUntil(maxLossTime, [&] { return network.haveSameView(rest); }).has_value());
    network.run(60s);
    BOOST_TEST(network.haveSameView(rest));
    network.at("r3").paused = false;
    BOOST_TEST(network.runUntil(maxRejoinTime, [&] { return network.haveSameView(all); }).has_value());
    BOOST_TEST(network.send("r1", "r3", 1));
    network.run(1s);
    BOOST_TEST(network.at("r3").received == serialsUpTo(1), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_empty_restart_replaces_the_old_incarnation_everywhere)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    const auto old = network.incarnationOf("r2");
    BOOST_TEST(network.send("r1", "r2", 1)); // For the old incarnation, in transit when it dies.
    network.remove("r2");
    network.add("r2", "a-1", { "r1:1" });
    network.run(maxRejoinTime);
    BOOST_TEST(network.haveSameView(all));
    for (const auto *instance : { "r1", "r3" }) {
        BOOST_TEST(!network.at(instance).mesh->routers().find(old));
    }
    BOOST_TEST(network.at("r2").received.empty());
    BOOST_TEST(network.send("r1", "r2", 2));
    network.run(1s);
    BOOST_TEST(network.at("r2").received == std::vector<std::uint64_t>{ 2 }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_old_incarnation_beside_its_successor_does_not_rejoin)
{
    auto network = fake_network(1);
    const auto all = startThreeAndConnect(network);
    const auto old = network.incarnationOf("r2");
    auto stray = std::move(network.at("r2").mesh); // The old incarnation keeps running with its transport.
    auto transport = std::move(network.at("r2").transport);
    network.add("r2", "a-1", { "r1:1" });
    for (auto second = 0; second < 30; ++second) {
        network.run(1s);
        stray->tick(network.now());
        for (const auto *instance : { "r1", "r3" }) {
            const auto *known = network.at(instance).mesh->routers().find(old);
            BOOST_TEST((second < 3 || !known));
        }
    }
    BOOST_TEST(network.haveSameView(all));
}

BOOST_AUTO_TEST_CASE(a_partitioned_data_centre_is_rediscovered)
{
    auto network = fake_network(1);
    const auto all = startNineRouters(network);
    BOOST_REQUIRE(network.runUntil(20s, [&] { return network.haveSameView(all); }));
    const auto away = std::set<std::string>{ "b-1x", "b-1y", "b-1z" };
    network.partition(away);
    network.run(membership_settings().remoteTimeout + maxLossTime);
    BOOST_TEST(network.haveSameView(away));
    BOOST_TEST(network.haveSameView(without(all, away)));
    network.run(120s);
    network.heal();
    BOOST_TEST(network.runUntil(maxRemoteRejoinTime, [&] { return network.haveSameView(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_dead_gateway_is_replaced_before_its_data_centre_is_considered_lost)
{
    auto network = fake_network(1);
    const auto all = startNineRouters(network);
    BOOST_REQUIRE(network.runUntil(20s, [&] { return network.haveSameView(all); }));
    const auto key = gatewayRole("b-1", "a-1");
    const auto dead = *findRoleHolders(network, all, key).begin();
    network.remove(dead);
    const auto rest = without(all, { dead });
    for (auto second = 0; second < 60; ++second) {
        network.run(1s);
        for (const auto &instance : rest) {
            const auto live = network.at(instance).mesh->routers().members(network.now());
            const auto known = std::count_if(live.begin(), live.end(),
                                             [&](const member &router) { return rest.contains(router.instance); });
            BOOST_TEST(known == static_cast<std::ptrdiff_t>(rest.size()));
        }
    }
    BOOST_TEST(network.haveSameView(rest));
}

BOOST_AUTO_TEST_CASE(between_data_centres_only_gateways_hold_links)
{
    auto network = fake_network(1);
    const auto all = startNineRouters(network);
    BOOST_REQUIRE(network.runUntil(20s, [&] { return network.haveSameView(all); }));
    BOOST_TEST(network.send("a-1x", "b-1z", 1)); // Opens a link for one message, which is closed when idle.
    network.run(1s);
    BOOST_TEST(network.at("b-1z").received == serialsUpTo(1), boost::test_tools::per_element());
    network.run(90s);
    auto between = 0;
    for (const auto &instance : all) {
        for (const auto &address : network.at(instance).mesh->linkAddresses()) {
            between += address.substr(0, 3) == instance.substr(0, 3) ? 0 : 1;
        }
    }
    BOOST_TEST(between == 6); // One in each direction for each of three pairs.
}

BOOST_AUTO_TEST_SUITE_END()
