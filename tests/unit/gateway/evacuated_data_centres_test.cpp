#include "marjoramloom/gateway/knowledge/evacuated_data_centres.h"

#include "marjoramloom/gateway/knowledge/server_directory.h"
#include "platform/evacuation_format.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <vector>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(evacuated_data_centres_test)

// A relayed set that arrives late must not end an evacuation.
BOOST_AUTO_TEST_CASE(the_same_sets_in_any_order_give_the_newest_one)
{
    auto sets = std::vector<evacuation_set>{
        { .revision = 3, .names = { "north" } },
        { .revision = 5, .names = {} },
        { .revision = 7, .names = { "north", "south" } },
        { .revision = 9, .names = { "south" } },
    };
    auto order = std::array{ 0, 1, 2, 3 };
    do {
        auto places = evacuated_data_centres([](const auto &, auto) {});
        for (const auto index : order) {
            places.apply(sets[static_cast<std::size_t>(index)]);
        }
        BOOST_TEST(places.current().revision == 9U);
        BOOST_TEST(!places.contains("north"));
        BOOST_TEST(places.contains("south"));
    } while (std::next_permutation(order.begin(), order.end()));
}

BOOST_AUTO_TEST_CASE(single_changes_are_ignored_once_a_newer_set_is_known)
{
    auto changes = 0;
    auto places = evacuated_data_centres([&](const auto &, auto) { ++changes; });
    BOOST_TEST(!places.isKnown());
    BOOST_TEST(places.apply({ .revision = 4, .names = {} }));
    places.add("north", 6);
    BOOST_TEST(places.contains("north"));
    places.remove("north", 5);
    BOOST_TEST(places.contains("north"));
    places.remove("north", 8);
    places.add("north", 7);
    BOOST_TEST(!places.contains("north"));
    BOOST_TEST(changes == 2);
    places.advanceTo(20);
    BOOST_TEST(!places.apply({ .revision = 19, .names = { "north" } }));
}

BOOST_AUTO_TEST_CASE(a_name_that_cannot_be_relayed_is_unreadable)
{
    auto why = last_reason();
    const auto decode = [&](const std::string &name, const std::string &value) {
        return platform::decodeEvacuation({ .kind = "evacuations", .name = name, .revision = 1, .value = value }, why);
    };
    // The content does not matter: also an object that is about to be deleted evacuates its data centre.
    BOOST_TEST((decode("north-1", "not JSON") == std::optional<std::string>("north-1")));
    for (const auto &name : { std::string(), std::string("a b"), std::string("a\"b"), std::string(4'000, 'x') }) {
        BOOST_TEST(!decode(name, "{}").has_value());
    }
}

BOOST_AUTO_TEST_CASE(servers_of_an_evacuated_data_centre_are_not_used_on_any_path)
{
    auto directory = server_directory([](const auto &, auto) {});
    const auto makeServer = [](const std::string &id, const std::string &dataCentre) {
        auto server = listed_server();
        server.id = id;
        server.service = "pool";
        server.dataCentre = dataCentre;
        return server;
    };
    directory.put(makeServer("a", "north"), {});
    directory.put(makeServer("b", "south"), {});
    const auto north = directory.serversIn("north").front();
    directory.setEvacuated({ "north", "nowhere" });
    BOOST_TEST(directory.usable("pool").size() == 1U);
    BOOST_TEST(!directory.isUsable(*north));
    directory.put(makeServer("c", "north"), {}); // Appears while its data centre is evacuated.
    BOOST_TEST(directory.usable("pool").size() == 1U);
    directory.setEvacuated({});
    BOOST_TEST(directory.usable("pool").size() == 3U);
    BOOST_TEST(directory.isUsable(*north));
}

BOOST_AUTO_TEST_SUITE_END()
