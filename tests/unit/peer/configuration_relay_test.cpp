#include "fake_peer.h"
#include "marjoramloom/contract/configuration_codec.h"
#include "marjoramloom/peer/configuration_relay.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// Returns the text of a change that puts the client account \p name.
auto makeChangeText(std::uint64_t sequence, const std::string &name) -> std::string
{
    auto change = configuration_change();
    change.sequence = sequence;
    change.id = "id" + std::to_string(sequence);
    auto account = client_account();
    account.name = name;
    account.keyHashes = { std::string(63, 'a') + std::to_string(sequence % 10) };
    change.operations.push_back({ operation_kind::put, object_kind::clientAccount, name, account });
    return changeToText(change);
}

/// A router with a configuration store and its relay.
struct configuration_test_router
{
    configuration_test_router(fake_network &network, const std::string &instance)
        : peer(network, instance)
        , store(network.counters)
        , relay(peer, store)
    {
        store.addListener([this](const auto &now) {
            peer.self().configurationSequence = now->sequence;
            pending.push_back(now->sequence);
        });
        peer.mesh().setReceiver([this](incarnation_id from, const wire::Envelope &message) {
            relay.receive(from, message);
            applyPending();
        });
    }

    auto commit(const std::string &account) -> void
    {
        const auto next = store.sequence() + 1;
        store.offer(next, makeChangeText(next, account), change_source::local);
        applyPending();
    }

    auto applyPending() -> void
    {
        for (const auto sequence : std::exchange(pending, {})) {
            relay.onApplied(sequence);
        }
    }

    fake_peer peer;
    configuration_store store;
    configuration_relay<fake_peer> relay;
    std::vector<std::uint64_t> pending;
};

/// Nine routers in three data centres, each with a configuration store.
struct configuration_test_fleet
{
    explicit configuration_test_fleet(std::uint32_t seed)
        : network(seed)
    {
        for (const auto *dataCentre : { "a-1", "a-2", "b-1" }) {
            for (const auto *number : { "x", "y", "z" }) {
                add(std::string(dataCentre) + number);
            }
        }
        run(10s);
    }

    auto add(const std::string &instance) -> configuration_test_router &
    {
        network.add(instance, instance.substr(0, 3), { "a-1x:1", "b-1x:1" });
        routers[instance] = std::make_unique<configuration_test_router>(network, instance);
        return *routers[instance];
    }

    auto run(duration length) -> void
    {
        for (const auto end = network.now() + length; network.now() < end;) {
            network.run(50ms);
            for (auto &[instance, router] : routers) {
                if (!network.at(instance).paused) {
                    router->relay.tick(network.now());
                }
            }
        }
    }

    auto allAt(std::uint64_t sequence) -> bool
    {
        return std::all_of(routers.begin(), routers.end(),
                           [&](const auto &item) { return item.second->store.sequence() == sequence; });
    }

    fake_network network;
    std::map<std::string, std::unique_ptr<configuration_test_router>> routers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_relay_test)

BOOST_AUTO_TEST_CASE(a_change_reaches_all_routers_within_a_second)
{
    auto fleet = configuration_test_fleet(1);
    fleet.routers["a-2y"]->commit("first");
    fleet.run(1s);
    BOOST_TEST(fleet.allAt(1));
}

BOOST_AUTO_TEST_CASE(changes_lost_by_the_network_are_requested_again)
{
    auto fleet = configuration_test_fleet(5);
    fleet.network.loss = 0.3;
    for (auto change = 0; change < 10; ++change) {
        fleet.routers["a-2y"]->commit("account" + std::to_string(change));
        fleet.run(100ms);
    }
    fleet.network.loss = 0.05;
    fleet.run(5s);
    BOOST_TEST(fleet.allAt(10));
}

BOOST_AUTO_TEST_CASE(a_partitioned_data_centre_catches_up_after_it_rejoins)
{
    auto fleet = configuration_test_fleet(1);
    fleet.network.partition({ "b-1x", "b-1y", "b-1z" });
    fleet.run(20s);
    fleet.routers["a-1x"]->commit("first");
    fleet.run(5s);
    BOOST_TEST(fleet.routers["a-2z"]->store.sequence() == 1U);
    BOOST_TEST(fleet.routers["b-1x"]->store.sequence() == 0U);
    fleet.network.heal();
    fleet.run(10s);
    BOOST_TEST(fleet.allAt(1));
}

BOOST_AUTO_TEST_CASE(an_empty_restart_fetches_the_configuration_from_peers)
{
    auto fleet = configuration_test_fleet(1);
    for (auto change = 0; change < 5; ++change) {
        fleet.routers["a-1x"]->commit("account" + std::to_string(change));
    }
    fleet.run(2s);
    fleet.routers.erase("a-2y");
    fleet.network.remove("a-2y");
    fleet.run(1s);
    auto &restarted = fleet.add("a-2y");
    BOOST_TEST(!restarted.store.isUpToDate());
    fleet.run(3s);
    BOOST_TEST(restarted.store.sequence() == 5U);
    BOOST_TEST(restarted.store.isUpToDate());
    BOOST_TEST(fleet.allAt(5));
}

BOOST_AUTO_TEST_SUITE_END()
