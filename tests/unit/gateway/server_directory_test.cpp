#include "marjoramloom/gateway/server_directory.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto serverOf(std::string id, std::int64_t startedMs = 1, bool leaving = false) -> listed_server
{
    auto server = listed_server();
    server.id = std::move(id);
    server.service = "desk";
    server.address = "10.0.0.1:80";
    server.startedMs = startedMs;
    server.leaving = leaving;
    return server;
}

struct directory_fixture
{
    server_directory directory{ [](const listed_server &, std::string_view) {
    } };
    time_point now{ 100s };

    auto usable() const -> std::size_t
    {
        return directory.usable("desk").size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_directory_test, directory_fixture)

BOOST_AUTO_TEST_CASE(a_leaving_or_removed_server_gets_nothing_new_at_once)
{
    directory.replaceAll({ serverOf("a"), serverOf("b"), serverOf("c") }, now);
    BOOST_TEST(usable() == 3U);
    const auto chosen = directory.usable("desk").front();
    directory.put(serverOf("a", 1, true), now);
    directory.remove("b", now);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST(!directory.isUsable(*chosen));
    // An older entry of the same run that comes late does not bring it back; a new run does.
    directory.put(serverOf("a"), now);
    BOOST_TEST(usable() == 1U);
    directory.put(serverOf("a", 2), now);
    BOOST_TEST(usable() == 2U);
    BOOST_TEST(!directory.isUsable(*chosen));
}

BOOST_AUTO_TEST_CASE(entries_that_lapse_around_an_outage_stay_in_use_until_renewal_is_over)
{
    directory.replaceAll({ serverOf("a"), serverOf("b"), serverOf("c") }, now);
    directory.onStoreLost();
    directory.remove("a", now);
    now += 60s;
    directory.tick(now);
    BOOST_TEST(usable() == 3U);
    directory.onStoreRegained(now);
    directory.replaceAll({ serverOf("c") }, now);
    BOOST_TEST(usable() == 3U);
    directory.put(serverOf("a"), now + 1s);
    directory.tick(now + server_directory::RENEWAL_TIME);
    BOOST_TEST(usable() == 2U);
    // Afterwards a removal counts at once again.
    directory.remove("a", now + server_directory::RENEWAL_TIME);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_said_to_leave_does_not_count_as_lapsed)
{
    directory.replaceAll({ serverOf("a", 1, true) }, now);
    directory.onStoreLost();
    directory.remove("a", now);
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(an_address_that_answers_for_another_server_is_not_used_again)
{
    directory.replaceAll({ serverOf("a") }, now);
    const auto before = directory.usable("desk").front();
    directory.noteMisdirected(*before);
    BOOST_TEST(usable() == 0U);
    directory.put(serverOf("a"), now);
    BOOST_TEST(usable() == 0U);
    directory.put(serverOf("a", 2), now);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
