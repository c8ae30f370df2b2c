#include "marjoramloom/gateway/server_directory.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

auto makeServer(std::string id, std::int64_t startUnixMs = 1, bool draining = false) -> listed_server
{
    auto server = listed_server();
    server.id = std::move(id);
    server.service = "desk";
    server.address = "10.0.0.1:80";
    server.startUnixMs = startUnixMs;
    server.draining = draining;
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

BOOST_AUTO_TEST_CASE(a_draining_or_removed_server_is_unusable_at_once)
{
    directory.replaceAll({ makeServer("a"), makeServer("b"), makeServer("c") }, now);
    BOOST_TEST(usable() == 3U);
    const auto chosen = directory.usable("desk").front();
    directory.put(makeServer("a", 1, true), now);
    directory.remove("b", now);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST(!directory.isUsable(*chosen));
    // A late, older entry of the same incarnation does not make it usable again; a new incarnation does.
    directory.put(makeServer("a"), now);
    BOOST_TEST(usable() == 1U);
    directory.put(makeServer("a", 2), now);
    BOOST_TEST(usable() == 2U);
    BOOST_TEST(!directory.isUsable(*chosen));
}

BOOST_AUTO_TEST_CASE(entries_that_expire_around_an_outage_stay_usable_until_the_renewal_period_ends)
{
    directory.replaceAll({ makeServer("a"), makeServer("b"), makeServer("c") }, now);
    directory.onStoreLost();
    directory.remove("a", now);
    now += 60s;
    directory.tick(now);
    BOOST_TEST(usable() == 3U);
    directory.onStoreRegained(now);
    directory.replaceAll({ makeServer("c") }, now);
    BOOST_TEST(usable() == 3U);
    directory.put(makeServer("a"), now + 1s);
    directory.tick(now + server_directory::RENEWAL_TIME);
    BOOST_TEST(usable() == 2U);
    // After the renewal period, a removal takes effect at once.
    directory.remove("a", now + server_directory::RENEWAL_TIME);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_removed_while_only_this_router_lost_the_store_is_not_kept_for_a_renewal)
{
    directory.replaceAll({ makeServer("a"), makeServer("b"), makeServer("c") }, now);
    directory.onStoreLost();
    directory.remove("a", now);
    now += 5s;
    directory.onStoreRegained(now);
    directory.remove("b", now);
    BOOST_TEST(usable() == 3U);
    // Another router shows that the store was available all the time.
    directory.limitRenewals(now - 5s);
    directory.tick(now);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST(directory.renewalLeft(now) == 0ms);
    directory.remove("c", now);
    BOOST_TEST(usable() == 0U);
}

BOOST_AUTO_TEST_CASE(a_draining_server_is_removed_at_once_during_an_outage)
{
    directory.replaceAll({ makeServer("a", 1, true) }, now);
    directory.onStoreLost();
    directory.remove("a", now);
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_misdirected_server_is_unusable_until_a_new_incarnation_is_listed)
{
    directory.replaceAll({ makeServer("a") }, now);
    const auto before = directory.usable("desk").front();
    directory.noteMisdirected(*before);
    BOOST_TEST(usable() == 0U);
    directory.put(makeServer("a"), now);
    BOOST_TEST(usable() == 0U);
    directory.put(makeServer("a", 2), now);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
