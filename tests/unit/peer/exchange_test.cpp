#include "fake_peer.h"
#include "marjoramloom/peer/digest_exchange.h"
#include "marjoramloom/peer/role.h"
#include "marjoramloom/peer/totals_exchange.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

const auto model = object_id{ 7 };
const auto account = object_id{ 1 };

/// A router with a ledger, a totals exchange and a digest exchange.
struct exchange_test_router
{
    exchange_test_router(fake_network &network, const std::string &instance)
        : peer(network, instance)
        , totals(peer, ledger, {})
        , digests(peer, {}, [this](const pool_digest &digest) { receivedDigests[digest.pool] = digest; })
    {
        ledger.setWeights({ { account, 1.0 }, { object_id{ 2 }, 1.0 } });
        totals.setServices({ model });
        peer.mesh().setReceiver([this, &network](incarnation_id from, const wire::Envelope &message) {
            totals.receive(from, message);
            digests.receive(from, message, network.now());
        });
        peer.mesh().setMemberListener([this](const member_event &event) {
            digests.onMember(event.memberInfo.incarnation);
            if (!event.joined) {
                totals.onMemberLost(event.memberInfo.incarnation);
            }
        });
    }

    auto serve(double cost) -> void
    {
        ledger.count(peer.self().incarnation, account, cost);
    }

    fake_peer peer;
    share_ledger ledger;
    totals_exchange<fake_peer> totals;
    digest_exchange<fake_peer> digests;
    std::map<pool_id, pool_digest> receivedDigests;
};

/// Nine routers in three data centres.
struct exchange_test_fleet
{
    explicit exchange_test_fleet(std::uint32_t seed)
        : network(seed)
    {
        for (const auto *dataCentre : { "a-1", "a-2", "b-1" }) {
            for (const auto *number : { "x", "y", "z" }) {
                add(std::string(dataCentre) + number);
            }
        }
        run(15s);
    }

    auto add(const std::string &instance) -> exchange_test_router &
    {
        network.add(instance, instance.substr(0, 3), { "a-1x:1", "b-1x:1" });
        routers[instance] = std::make_unique<exchange_test_router>(network, instance);
        return *routers[instance];
    }

    auto remove(const std::string &instance) -> void
    {
        routers.erase(instance);
        network.remove(instance);
    }

    auto run(duration length) -> void
    {
        for (const auto end = network.now() + length; network.now() < end;) {
            network.run(50ms);
            for (auto &[instance, router] : routers) {
                router->totals.tick(network.now());
                router->digests.tick(network.now());
            }
        }
    }

    auto holder(const role_key &key) -> exchange_test_router &
    {
        auto live = std::vector<member>();
        for (auto &[instance, router] : routers) {
            live.push_back(router->peer.self());
        }
        const auto holder = findRoleHolder(live, key);
        for (auto &[instance, router] : routers) {
            if (router->peer.self().incarnation == holder) {
                return *router;
            }
        }
        throw std::logic_error("no holder");
    }

    auto dispatcherOf(const std::string &dataCentre) -> exchange_test_router &
    {
        return holder(dispatcherRole({ dataCentre, model }));
    }

    fake_network network;
    std::map<std::string, std::unique_ptr<exchange_test_router>> routers;
};

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_test)

BOOST_AUTO_TEST_CASE(totals_reach_the_dispatchers_of_all_data_centres_exactly)
{
    auto fleet = exchange_test_fleet(1);
    auto served = 0.0;
    for (auto round = 0; round < 10; ++round) {
        for (auto &[instance, router] : fleet.routers) {
            router->serve(10);
            served += 10;
        }
        fleet.run(500ms);
    }
    fleet.run(6s);
    for (const auto *dataCentre : { "a-1", "a-2", "b-1" }) {
        BOOST_TEST(fleet.dispatcherOf(dataCentre).ledger.receivedService(account) == served);
    }
}

BOOST_AUTO_TEST_CASE(service_during_a_partition_is_counted_after_it)
{
    auto fleet = exchange_test_fleet(1);
    fleet.routers["a-1x"]->serve(10);
    fleet.run(5s);
    fleet.network.partition({ "b-1x", "b-1y", "b-1z" });
    fleet.run(20s);
    fleet.routers["b-1y"]->serve(100);
    fleet.routers["a-1y"]->serve(1'000);
    fleet.run(20s);
    BOOST_TEST(fleet.dispatcherOf("a-2").ledger.receivedService(account) == 1'010);
    BOOST_TEST(fleet.dispatcherOf("b-1").ledger.receivedService(account) == 110);
    fleet.network.heal();
    fleet.run(20s);
    BOOST_TEST(fleet.dispatcherOf("a-1").ledger.receivedService(account) == 1'110);
    BOOST_TEST(fleet.dispatcherOf("b-1").ledger.receivedService(account) == 1'110);
}

BOOST_AUTO_TEST_CASE(a_gateway_change_counts_no_service_twice_and_loses_a_bounded_amount)
{
    auto fleet = exchange_test_fleet(1);
    const auto key = gatewayRole("a-1", "b-1");
    auto served = 0.0;
    auto servedWhileAway = 0.0;
    for (auto round = 0; round < 60; ++round) {
        if (round == 20) {
            fleet.remove(fleet.holder(key).peer.self().instance);
        }
        for (auto &[instance, router] : fleet.routers) {
            if (instance.starts_with("a-1")) {
                router->serve(10);
                served += 10;
                servedWhileAway += round >= 14 && round < 32 ? 10 : 0;
            }
        }
        fleet.run(500ms);
    }
    fleet.run(10s);
    // Not counted at most: one period between regions, the time to detect the loss, and one tick of the successor.
    const auto known = fleet.dispatcherOf("b-1").ledger.receivedService(account);
    BOOST_TEST(known <= served);
    BOOST_TEST(known >= served - servedWhileAway);
}

BOOST_AUTO_TEST_CASE(digests_reach_the_dispatchers_of_other_data_centres)
{
    auto fleet = exchange_test_fleet(1);
    auto digest = pool_digest{ { "a-1", model }, 1, 3, { { account, 100.0, 5 }, { { 2 }, 50.0, 1 } } };
    fleet.dispatcherOf("a-1").digests.publish(digest, fleet.network.now());
    fleet.run(3s);
    for (const auto *dataCentre : { "a-2", "b-1" }) {
        const auto &received = fleet.dispatcherOf(dataCentre).receivedDigests[digest.pool];
        BOOST_TEST(received.spareSlots == 3U);
        BOOST_TEST(received.waiting.size() == 2U);
    }
    digest.spareSlots = 0;
    digest.waiting = { { account, 900.0, 50 } };
    fleet.dispatcherOf("a-1").digests.publish(digest, fleet.network.now());
    fleet.run(3s);
    for (const auto *dataCentre : { "a-2", "b-1" }) {
        const auto &received = fleet.dispatcherOf(dataCentre).receivedDigests[digest.pool];
        BOOST_REQUIRE(received.waiting.size() == 1U);
        BOOST_TEST(received.waiting.front().tickets == 50U);
        BOOST_TEST(received.waiting.front().service == 900.0);
    }
}

BOOST_AUTO_TEST_CASE(digests_are_complete_again_after_a_partition)
{
    auto fleet = exchange_test_fleet(1);
    auto digest = pool_digest{ { "a-1", model }, 1, 3, { { account, 100.0, 5 } } };
    fleet.dispatcherOf("a-1").digests.publish(digest, fleet.network.now());
    fleet.run(3s);
    fleet.network.partition({ "b-1x", "b-1y", "b-1z" });
    digest.waiting.push_back({ { 2 }, 7.0, 9 });
    for (auto second = 0; second < 30; ++second) {
        fleet.dispatcherOf("a-1").digests.publish(digest, fleet.network.now());
        fleet.run(1s);
    }
    BOOST_TEST(fleet.dispatcherOf("b-1").receivedDigests[digest.pool].waiting.size() == 1U);
    fleet.network.heal();
    for (auto second = 0; second < 15; ++second) {
        fleet.dispatcherOf("a-1").digests.publish(digest, fleet.network.now());
        fleet.run(1s);
    }
    BOOST_TEST(fleet.dispatcherOf("b-1").receivedDigests[digest.pool].waiting.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
