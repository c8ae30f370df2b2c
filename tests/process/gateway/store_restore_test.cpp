#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom::test;

namespace {

constexpr auto routerCount = 4; // Two watch the store, and the other two follow them.
/// A change is in force at all routers at this time after its acknowledgement, and a leaving server gets nothing more.
constexpr auto changeBoundMs = 2'000;

/// A fleet, and what it does after its store returned from an older copy.
struct restored_fleet
{
    explicit restored_fleet(bool statesEra)
        : fleet({ .routers = routerCount, .servers = 3, .storeStatesEra = statesEra })
    {
    }

    gateway_fleet fleet;
    int requests = 0;

    /// Writes that the store then loses, as many as routers would take long to make up for by new ones.
    auto writeUnrelatedObjects() -> void
    {
        constexpr auto writes = 60;
        for (auto number = 0; number < writes; ++number) {
            BOOST_REQUIRE(fleet.writeObject("notes", "note-" + std::to_string(number), boost::json::object()));
        }
    }

    /// Statuses of requests with \p key through all routers.
    auto statusesWith(const std::string &key) -> std::vector<unsigned>
    {
        auto statuses = std::vector<unsigned>();
        for (const auto &router : fleet.routers()) {
            const auto id = "restore-" + std::to_string(++requests);
            statuses.push_back(fleet.call(router, "/read/x", id, "GET", key).status);
        }
        return statuses;
    }

    auto countStatus(const std::string &key, unsigned status) -> int
    {
        const auto statuses = statusesWith(key);
        return static_cast<int>(std::count(statuses.begin(), statuses.end(), status));
    }

    /// Number of requests that reach \p server, of ten through each router.
    auto requestsReaching(std::size_t server) -> std::size_t
    {
        constexpr auto requestsPerRouter = 10;
        const auto before = startedAt(server);
        for (auto number = 0; number < requestsPerRouter; ++number) {
            for (const auto &router : fleet.routers()) {
                fleet.call(router, "/open/x", "reach-" + std::to_string(++requests), "GET", "");
            }
        }
        return startedAt(server) - before;
    }

    auto startedAt(std::size_t server) -> std::size_t
    {
        const auto entries = fleet.servers()[server]->record();
        return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const auto &entry) {
            return entry.at("state").as_string() == "started";
        }));
    }

    auto checkChangesAfterRestore() -> void
    {
        const auto copy = fleet.storeStatistic("revision");
        writeUnrelatedObjects();
        BOOST_REQUIRE(fleet.writeConfiguration({ "key-lost" }));
        sleepMs(changeBoundMs);
        fleet.restoreStore(copy);
        BOOST_REQUIRE(fleet.writeConfigurationAgain());
        sleepMs(changeBoundMs);
        BOOST_REQUIRE(fleet.writeConfiguration({ "key-new" }));
        fleet.writeServer(0, "draining");
        BOOST_REQUIRE(fleet.removeObject("servers", fleet.servers()[1]->name()));
        sleepMs(changeBoundMs);
        BOOST_TEST(countStatus("key-new", 200) == routerCount);
        BOOST_TEST(countStatus("key-lost", 401) == routerCount);
        BOOST_TEST(requestsReaching(0) == 0U);
        BOOST_TEST(requestsReaching(1) == 0U);
    }

    auto checkReadsAfterRestore() -> void
    {
        const auto copy = fleet.storeStatistic("revision");
        writeUnrelatedObjects();
        sleepMs(changeBoundMs);
        fleet.restoreStore(copy);
        const auto before = fleet.storeStatistic("reads");
        sleepMs(changeBoundMs);
        // Each router lists the configuration, the servers and the routers at most a few times.
        constexpr auto maxReads = routerCount * 3 * 4;
        BOOST_TEST(fleet.storeStatistic("reads") - before <= maxReads);
    }
};

struct store_restore_fixture : restored_fleet
{
    store_restore_fixture()
        : restored_fleet(true)
    {
    }
};

struct silent_restore_fixture : restored_fleet
{
    silent_restore_fixture()
        : restored_fleet(false)
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_restore_test)

BOOST_FIXTURE_TEST_CASE(changes_after_the_store_returned_from_an_older_copy_are_in_force_in_time, store_restore_fixture)
{
    checkChangesAfterRestore();
}

BOOST_FIXTURE_TEST_CASE(changes_after_such_a_return_that_the_store_does_not_state_are_in_force_in_time,
                        silent_restore_fixture)
{
    checkChangesAfterRestore();
}

BOOST_FIXTURE_TEST_CASE(a_store_that_returned_from_an_older_copy_is_not_read_without_end, store_restore_fixture)
{
    checkReadsAfterRestore();
}

BOOST_FIXTURE_TEST_CASE(a_store_that_does_not_state_such_a_return_is_not_read_without_end, silent_restore_fixture)
{
    checkReadsAfterRestore();
}

BOOST_FIXTURE_TEST_CASE(what_was_in_force_stays_so_while_the_store_shows_an_older_copy, store_restore_fixture)
{
    BOOST_REQUIRE(fleet.removeObject("servers", fleet.servers()[2]->name()));
    sleepMs(changeBoundMs);
    fleet.writeServer(2, "ready", 1);
    BOOST_REQUIRE(fleet.removeObject("servers", fleet.servers()[0]->name()));
    fleet.writeServer(0, "ready", 1);
    const auto copy = fleet.storeStatistic("revision");
    // Lost by the store: a key that is taken away, a server that is removed, one that leaves, one that starts again.
    BOOST_REQUIRE(fleet.writeConfiguration({ "key-new" }));
    BOOST_REQUIRE(fleet.removeObject("servers", fleet.servers()[0]->name()));
    fleet.writeServer(1, "draining");
    sleepMs(changeBoundMs);
    BOOST_TEST(countStatus("key-new", 200) == routerCount);
    fleet.restoreStore(copy);
    constexpr auto beforeRewriteMs = 1'000;
    sleepMs(beforeRewriteMs);
    BOOST_TEST(countStatus("key-alpha", 200) == 0);
    BOOST_TEST(requestsReaching(0) == 0U);
    BOOST_TEST(requestsReaching(1) == 0U);
    fleet.writeConfigurationAgain();
    fleet.writeServer(1, "draining");
    sleepMs(changeBoundMs);
    BOOST_TEST(countStatus("key-alpha", 401) == routerCount);
    BOOST_TEST(countStatus("key-new", 200) == routerCount);
    BOOST_TEST(requestsReaching(1) == 0U);
}

BOOST_FIXTURE_TEST_CASE(a_server_that_an_older_copy_lacks_stays_in_use_until_it_has_registered_again,
                        store_restore_fixture)
{
    BOOST_REQUIRE(fleet.removeObject("servers", fleet.servers()[0]->name()));
    BOOST_REQUIRE(fleet.removeObject("servers", fleet.servers()[1]->name()));
    sleepMs(changeBoundMs);
    const auto copy = fleet.storeStatistic("revision");
    fleet.writeServer(0, "ready", 1);
    sleepMs(changeBoundMs);
    BOOST_TEST(requestsReaching(0) > 0U);
    fleet.restoreStore(copy);
    constexpr auto beforeRewriteMs = 1'000;
    sleepMs(beforeRewriteMs);
    BOOST_TEST(requestsReaching(0) > 0U);
    fleet.writeServer(0, "ready", 1);
    constexpr auto afterRenewalsMs = 4'000;
    sleepMs(afterRenewalsMs);
    BOOST_TEST(requestsReaching(0) > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
