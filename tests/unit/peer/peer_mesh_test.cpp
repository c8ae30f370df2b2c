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

BOOST_AUTO_TEST_SUITE_END()
