#include "fake_network.h"

#include "marjoramloom/peer/duty.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// Three routers in one data centre that know each other.
auto startThree(fake_network &network) -> std::set<std::string>
{
    network.add("r1", "a-1", {});
    network.add("r2", "a-1", { "r1:1" });
    network.add("r3", "a-1", { "r1:1" });
    return { "r1", "r2", "r3" };
}

/// Three data centres in two regions, three routers each; every one knows one seed.
auto startNine(fake_network &network) -> std::set<std::string>
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

auto numbers(std::uint64_t count) -> std::vector<std::uint64_t>
{
    auto values = std::vector<std::uint64_t>(count);
    std::iota(values.begin(), values.end(), 1);
    return values;
}

/// Silence until a member counts as gone, plus the beat in which the others look.
const auto lossBound = membership_settings().timeout + peer_mesh_settings().heartbeat;
/// Longest pause between two dials, then a heartbeat each way.
const auto rejoinBound = peer_session_settings().redialLimit + 2 * peer_mesh_settings().heartbeat;
/// The same between data centres, where a roster is asked for and told on: three more heartbeats at their pace.
const auto remoteRejoinBound = rejoinBound + 5 * peer_mesh_settings().farHeartbeat;

auto without(std::set<std::string> all, const std::set<std::string> &gone) -> std::set<std::string>
{
    std::erase_if(all, [&](const auto &instance) { return gone.contains(instance); });
    return all;
}

auto startAndSettle(fake_network &network) -> std::set<std::string>
{
    const auto all = startThree(network);
    BOOST_REQUIRE(network.runUntil(3s, [&] { return network.agree(all); }));
    return all;
}

auto holdersOf(fake_network &network, const std::set<std::string> &all, const duty_key &key) -> std::set<std::string>
{
    auto holders = std::set<std::string>();
    for (const auto &instance : all) {
        const auto &routers = network.at(instance).mesh->routers();
        if (dutyHolder(routers.members(network.now()), key) == routers.self().incarnation) {
            holders.insert(instance);
        }
    }
    return holders;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_mesh_test)

BOOST_AUTO_TEST_CASE(routers_of_a_data_centre_find_each_other_through_one_seed)
{
    auto network = fake_network(1);
    const auto all = startThree(network);
    BOOST_TEST(network.runUntil(3s, [&] { return network.agree(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(data_centres_find_each_other)
{
    auto network = fake_network(1);
    const auto all = startNine(network);
    BOOST_TEST(network.runUntil(20s, [&] { return network.agree(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(messages_arrive_once_and_in_order_despite_loss_and_reordering)
{
    auto network = fake_network(7);
    const auto all = startThree(network);
    network.runUntil(3s, [&] { return network.agree(all); });
    network.loss = 0.2;
    network.jitter = 30ms;
    for (auto serial = std::uint64_t(1); serial <= 200; ++serial) {
        BOOST_TEST(network.send("r1", "r2", serial));
        network.run(10ms);
    }
    network.loss = 0;
    network.run(5s);
    BOOST_TEST(network.at("r2").received == numbers(200), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_connection_that_went_silent_is_dialled_again_and_loses_nothing)
{
    auto network = fake_network(1);
    const auto all = startThree(network);
    network.runUntil(3s, [&] { return network.agree(all); });
    network.freeze("r1", "r2");
    BOOST_TEST(network.send("r1", "r2", 1));
    network.run(4s);
    BOOST_TEST(network.at("r2").received == numbers(1), boost::test_tools::per_element());
    BOOST_TEST(network.agree(all));
}

BOOST_AUTO_TEST_CASE(a_dead_router_is_given_up_in_time_although_messages_are_slow)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    network.delay = 400ms; // Nearly a heartbeat: repeated ages would keep it alive for ever.
    network.run(5s);
    BOOST_TEST(network.agree(all));
    network.remove("r2");
    const auto rest = without(all, { "r2" });
    BOOST_TEST(network.runUntil(lossBound + 2 * network.delay, [&] { return network.agree(rest); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_router_that_one_cannot_hear_is_alive_through_another)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    network.cut("r1", "r2");
    for (auto second = 0; second < 20; ++second) {
        network.run(1s);
        BOOST_TEST(network.agree(all));
    }
    const auto &routers = network.at("r2").mesh->routers();
    BOOST_TEST(!routers.isDirect(network.incarnationOf("r1"), network.now()));
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_was_split_agrees_again)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    network.partition({ "r1" });
    const auto rest = without(all, { "r1" });
    BOOST_TEST(network.runUntil(lossBound, [&] { return network.agree(rest) && network.agree({ "r1" }); }).has_value());
    network.run(60s);
    network.heal();
    BOOST_TEST(network.runUntil(rejoinBound, [&] { return network.agree(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_duty_is_held_on_both_sides_of_a_split_and_once_after_it)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    const auto key = dispatcherDuty({ "a-1", { 7 } });
    const auto before = holdersOf(network, all, key);
    BOOST_TEST(before.size() == 1U);
    network.partition({ *before.begin() });
    network.run(lossBound);
    BOOST_TEST(holdersOf(network, all, key).size() == 2U);
    network.heal();
    network.run(rejoinBound);
    BOOST_TEST(holdersOf(network, all, key) == before, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(a_paused_router_is_given_up_and_back_soon_after_it_wakes_up)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    network.at("r3").paused = true;
    const auto rest = without(all, { "r3" });
    BOOST_TEST(network.runUntil(lossBound, [&] { return network.agree(rest); }).has_value());
    network.run(60s);
    BOOST_TEST(network.agree(rest));
    network.at("r3").paused = false;
    BOOST_TEST(network.runUntil(rejoinBound, [&] { return network.agree(all); }).has_value());
    BOOST_TEST(network.send("r1", "r3", 1));
    network.run(1s);
    BOOST_TEST(network.at("r3").received == numbers(1), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_empty_restart_replaces_the_old_incarnation_everywhere)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    const auto old = network.incarnationOf("r2");
    BOOST_TEST(network.send("r1", "r2", 1)); // Meant for the old one, on its way when it dies.
    network.remove("r2");
    network.add("r2", "a-1", { "r1:1" });
    network.run(rejoinBound);
    BOOST_TEST(network.agree(all));
    for (const auto *instance : { "r1", "r3" }) {
        BOOST_TEST(!network.at(instance).mesh->routers().find(old));
    }
    BOOST_TEST(network.at("r2").received.empty());
    BOOST_TEST(network.send("r1", "r2", 2));
    network.run(1s);
    BOOST_TEST(network.at("r2").received == std::vector<std::uint64_t>{ 2 }, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_old_incarnation_that_wakes_up_beside_its_successor_does_not_come_back)
{
    auto network = fake_network(1);
    const auto all = startAndSettle(network);
    const auto old = network.incarnationOf("r2");
    auto stray = std::move(network.at("r2").mesh); // Still alive somewhere, with its transport.
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
    BOOST_TEST(network.agree(all));
}

BOOST_AUTO_TEST_CASE(a_data_centre_that_was_cut_off_is_known_again)
{
    auto network = fake_network(1);
    const auto all = startNine(network);
    BOOST_REQUIRE(network.runUntil(20s, [&] { return network.agree(all); }));
    const auto away = std::set<std::string>{ "b-1x", "b-1y", "b-1z" };
    network.partition(away);
    network.run(membership_settings().remoteTimeout + lossBound);
    BOOST_TEST(network.agree(away));
    BOOST_TEST(network.agree(without(all, away)));
    network.run(120s);
    network.heal();
    BOOST_TEST(network.runUntil(remoteRejoinBound, [&] { return network.agree(all); }).has_value());
}

BOOST_AUTO_TEST_CASE(a_dead_gateway_is_replaced_before_its_data_centre_counts_as_gone)
{
    auto network = fake_network(1);
    const auto all = startNine(network);
    BOOST_REQUIRE(network.runUntil(20s, [&] { return network.agree(all); }));
    const auto key = gatewayDuty("b-1", "a-1");
    const auto dead = *holdersOf(network, all, key).begin();
    network.remove(dead);
    const auto rest = without(all, { dead });
    for (auto second = 0; second < 60; ++second) {
        network.run(1s);
        for (const auto &instance : rest) {
            const auto live = network.at(instance).mesh->routers().members(network.now());
            const auto known =
                std::count_if(live.begin(), live.end(), [&](const member &who) { return rest.contains(who.instance); });
            BOOST_TEST(known == static_cast<std::ptrdiff_t>(rest.size()));
        }
    }
    BOOST_TEST(network.agree(rest));
}

BOOST_AUTO_TEST_CASE(between_data_centres_only_gateways_hold_links)
{
    auto network = fake_network(1);
    const auto all = startNine(network);
    BOOST_REQUIRE(network.runUntil(20s, [&] { return network.agree(all); }));
    BOOST_TEST(network.send("a-1x", "b-1z", 1)); // A link for one message, closed when it was idle for long.
    network.run(1s);
    BOOST_TEST(network.at("b-1z").received == numbers(1), boost::test_tools::per_element());
    network.run(90s);
    auto between = 0;
    for (const auto &instance : all) {
        for (const auto &address : network.at(instance).mesh->linkAddresses()) {
            between += address.substr(0, 3) == instance.substr(0, 3) ? 0 : 1;
        }
    }
    BOOST_TEST(between == 6); // One each way for each of three pairs.
}

BOOST_AUTO_TEST_SUITE_END()
