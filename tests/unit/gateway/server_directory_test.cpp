#include "marjoramloom/gateway/knowledge/server_directory.h"

#include "marjoramloom/gateway/knowledge/server_loads.h"
#include "marjoramloom/store/store_revision.h"

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
    std::uint64_t revision = 0; ///< Of the last change; the store numbers them in their order.

    auto putNext(listed_server server, time_point at) -> void
    {
        server.revision = ++revision;
        directory.put(std::move(server), at);
    }

    auto removeNext(const std::string &id, time_point at) -> void
    {
        directory.remove(id, ++revision, at);
    }

    auto listNext(std::vector<listed_server> servers) -> void
    {
        for (auto &server : servers) {
            server.revision = ++revision;
        }
        directory.replaceAll(std::move(servers), ++revision, now);
    }

    auto usable() const -> std::size_t
    {
        return directory.usable("desk").size();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(server_directory_test, directory_fixture)

BOOST_AUTO_TEST_CASE(a_draining_or_removed_server_is_unusable_at_once)
{
    listNext({ makeServer("a"), makeServer("b"), makeServer("c") });
    BOOST_TEST(usable() == 3U);
    const auto chosen = directory.usable("desk").front();
    putNext(makeServer("a", 1, true), now);
    removeNext("b", now);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST(!directory.isUsable(*chosen));
    // A late, older entry of the same incarnation does not make it usable again; a new incarnation does.
    putNext(makeServer("a"), now);
    BOOST_TEST(usable() == 1U);
    putNext(makeServer("a", 2), now);
    BOOST_TEST(usable() == 2U);
    BOOST_TEST(!directory.isUsable(*chosen));
}

BOOST_AUTO_TEST_CASE(entries_that_expire_around_an_outage_stay_usable_until_the_renewal_period_ends)
{
    listNext({ makeServer("a"), makeServer("b"), makeServer("c") });
    directory.onStoreLost();
    removeNext("a", now);
    now += 60s;
    directory.tick(now);
    BOOST_TEST(usable() == 3U);
    directory.onStoreRegained(now);
    listNext({ makeServer("c") });
    BOOST_TEST(usable() == 3U);
    putNext(makeServer("a"), now + 1s);
    directory.tick(now + server_directory::RENEWAL_TIME);
    BOOST_TEST(usable() == 2U);
    // After the renewal period, a removal takes effect at once.
    removeNext("a", now + server_directory::RENEWAL_TIME);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_removed_while_only_this_router_lost_the_store_is_not_kept_for_a_renewal)
{
    listNext({ makeServer("a"), makeServer("b"), makeServer("c") });
    directory.onStoreLost();
    removeNext("a", now);
    now += 5s;
    directory.onStoreRegained(now);
    removeNext("b", now);
    BOOST_TEST(usable() == 3U);
    // Another router shows that the store was available all the time.
    directory.limitRenewals(now - 5s);
    directory.tick(now);
    BOOST_TEST(usable() == 1U);
    BOOST_TEST(directory.renewalLeft(now) == 0ms);
    removeNext("c", now);
    BOOST_TEST(usable() == 0U);
}

BOOST_AUTO_TEST_CASE(a_draining_server_is_removed_at_once_during_an_outage)
{
    listNext({ makeServer("a", 1, true) });
    directory.onStoreLost();
    removeNext("a", now);
    BOOST_TEST(directory.size() == 0U);
}

BOOST_AUTO_TEST_CASE(a_misdirected_server_is_unusable_until_a_new_incarnation_is_listed)
{
    listNext({ makeServer("a") });
    const auto before = directory.usable("desk").front();
    directory.noteMisdirected(*before, now);
    BOOST_TEST(usable() == 0U);
    putNext(makeServer("a"), now);
    BOOST_TEST(usable() == 0U);
    putNext(makeServer("a", 2), now);
    BOOST_TEST(usable() == 1U);
}

/// Guards against a server that stays out of use after it got its address back.
BOOST_AUTO_TEST_CASE(a_misdirected_server_is_tried_again_in_time)
{
    listNext({ makeServer("a"), makeServer("b") });
    const auto before = directory.usable("desk").front();
    directory.noteMisdirected(*before, now);
    directory.tick(now + server_directory::MISDIRECTED_TIME - 1ms);
    BOOST_TEST(usable() == 1U);
    directory.tick(now + server_directory::MISDIRECTED_TIME);
    BOOST_TEST(usable() == 2U);
    BOOST_TEST(directory.isUsable(*before));
}

BOOST_AUTO_TEST_CASE(a_server_that_states_that_it_leaves_is_unusable_whatever_the_list_says)
{
    listNext({ makeServer("a"), makeServer("b") });
    const auto leaving = server_loads::incarnationId(makeServer("a"));
    BOOST_TEST(directory.noteLeaving(leaving, leaving_source::answer, now));
    BOOST_TEST(!directory.noteLeaving(leaving, leaving_source::router, now));
    BOOST_TEST(usable() == 1U);
    BOOST_TEST(!directory.isUsable(makeServer("a")));
    BOOST_TEST(directory.findUsable(leaving) == nullptr);
    BOOST_TEST(directory.leavingAheadOfList(8).size() == 1U);
    // Its entry changes, expires in an outage and comes back.
    auto changed = makeServer("a");
    changed.slots = 9;
    putNext(changed, now);
    BOOST_TEST(usable() == 1U);
    removeNext("a", now);
    putNext(makeServer("a"), now + 3s);
    BOOST_TEST(usable() == 1U);
    // Once the list says so, other routers need not be told.
    putNext(makeServer("a", 1, true), now + 4s);
    BOOST_TEST(directory.leavingAheadOfList(8).empty());
    // A new incarnation at the same address, and another server there, are usable.
    putNext(makeServer("a", 2), now + 5s);
    putNext(makeServer("c"), now + 5s);
    BOOST_TEST(usable() == 3U);
}

BOOST_AUTO_TEST_CASE(a_statement_to_leave_outlasts_a_suspension_and_is_known_before_the_entry)
{
    const auto leaving = server_loads::incarnationId(makeServer("a"));
    BOOST_TEST(directory.noteLeaving(leaving, leaving_source::router, now));
    listNext({ makeServer("a"), makeServer("b") });
    BOOST_TEST(usable() == 1U);
    // While the server is listed, no time ends the statement.
    now += 10 * server_directory::LEAVING_MEMORY;
    directory.tick(now);
    BOOST_TEST(usable() == 1U);
    removeNext("a", now);
    now += server_directory::LEAVING_MEMORY;
    directory.tick(now);
    putNext(makeServer("a"), now);
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_CASE(statements_to_leave_are_forgotten_in_time_and_bounded_in_number)
{
    const auto leaving = server_loads::incarnationId(makeServer("a"));
    BOOST_TEST(directory.noteLeaving(leaving, leaving_source::answer, now));
    directory.tick(now + server_directory::LEAVING_MEMORY + 1ms);
    BOOST_TEST(directory.noteLeaving(leaving, leaving_source::answer, now));
    for (auto server = std::uint64_t(1); server <= 2 * server_directory::MAX_LEAVING_SERVERS; ++server) {
        now += 1ms;
        directory.noteLeaving(server, leaving_source::router, now);
    }
    // The oldest one made room for newer ones.
    BOOST_TEST(directory.noteLeaving(leaving, leaving_source::answer, now));
    BOOST_TEST(!directory.noteLeaving(2 * server_directory::MAX_LEAVING_SERVERS, leaving_source::answer, now));
}

BOOST_AUTO_TEST_CASE(an_entry_of_a_removed_server_in_an_older_copy_of_the_store_counts_only_once_it_is_written_again)
{
    auto restored = std::vector<listed_server>();
    for (const auto *id : { "written", "outlasting", "expiring" }) {
        putNext(makeServer(id), now);
        removeNext(id, now);
        restored.push_back(makeServer(id));
    }
    BOOST_TEST(usable() == 0U);
    revision = orderedRevision(1, 0);
    listNext(restored);
    BOOST_TEST(usable() == 0U);
    putNext(makeServer("written"), now + 1s);
    BOOST_TEST(usable() == 1U);
    removeNext("expiring", now + 4s);
    directory.tick(now + server_directory::RESTORED_TIME - 1ms);
    BOOST_TEST(usable() == 1U);
    directory.tick(now + server_directory::RESTORED_TIME);
    BOOST_TEST(usable() == 2U);
}

BOOST_AUTO_TEST_CASE(reading_an_older_copy_again_does_not_put_off_when_its_entries_count)
{
    putNext(makeServer("a"), now);
    removeNext("a", now);
    auto restored = makeServer("a");
    restored.revision = orderedRevision(1, 1);
    directory.replaceAll({ restored }, orderedRevision(1, 2), now);
    directory.replaceAll({ restored }, orderedRevision(1, 3), now + 5s);
    directory.tick(now + server_directory::RESTORED_TIME);
    BOOST_TEST(usable() == 1U);
    // A list without it shows that its lease has expired.
    removeNext("a", now);
    directory.remove("a", orderedRevision(1, 4), now);
    restored.revision = orderedRevision(2, 1);
    directory.replaceAll({ restored }, orderedRevision(2, 2), now);
    directory.replaceAll({}, orderedRevision(2, 3), now);
    directory.tick(now + 2 * server_directory::RESTORED_TIME);
    BOOST_TEST(usable() == 0U);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_stays_so_if_an_older_copy_of_the_store_lists_it_as_ready)
{
    putNext(makeServer("a"), now);
    putNext(makeServer("a", 1, true), now);
    revision = orderedRevision(1, 0);
    listNext({ makeServer("a") });
    BOOST_TEST(usable() == 0U);
    listNext({ makeServer("a", 2) });
    BOOST_TEST(usable() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
