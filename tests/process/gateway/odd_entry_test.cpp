#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom::test;

namespace json = boost::json;

namespace {

constexpr auto routerCount = 4;
/// A change of the list of servers must be in force at all routers after this time.
constexpr auto changeMs = 1'000;

auto entryWith(const char *field, json::value value) -> json::object
{
    auto entry = json::object{
        { "service", "desk" }, { "address", "127.0.0.1:9" }, { "zone", "north" }, { "version", "v1" },   { "slots", 8 },
        { "state", "ready" },  { "cold_left_ms", 0 },        { "sequence", 1 },   { "born", 1'700'000 },
    };
    entry[field] = std::move(value);
    return entry;
}

auto nested(int depth) -> json::value
{
    auto value = json::value(1);
    for (auto level = 0; level < depth; ++level) {
        auto outer = json::array();
        outer.emplace_back(std::move(value));
        value = std::move(outer);
    }
    return value;
}

/// Entries that another writer may have left; none of them names a server to use.
auto oddEntries() -> std::vector<std::pair<std::string, json::value>>
{
    constexpr auto deeperThanReadersAccept = 3'000;
    constexpr auto largerThanDatagrams = std::size_t(200'000);
    return {
        { "deep", entryWith("extra", nested(deeperThanReadersAccept)) },
        { "deep-array", nested(deeperThanReadersAccept) },
        { "large-slots", entryWith("slots", std::uint64_t(4'294'967'296)) },
        { "larger-slots", entryWith("slots", 1e300) },
        { "large-start", entryWith("born", 1e300) },
        { "large-warm-up", entryWith("cold_left_ms", 1e300) },
        { "port-zero", entryWith("address", "127.0.0.1:0") },
        { "port-large", entryWith("address", "127.0.0.1:70000") },
        { "port-larger", entryWith("address", "127.0.0.1:99999999999999999999") },
        { "port-negative", entryWith("address", "127.0.0.1:-1") },
        { "long", entryWith("extra", json::string(largerThanDatagrams, 'x')) },
    };
}

/// Names that another writer may give an entry. Each has a meaning of its own in a URI, or is no UTF-8.
auto oddNames() -> std::vector<std::string>
{
    return { "a&b=c", "a+b", "a#b", "a%41b", "a%",   "a b",      "a?b",
             "a/b",   "a=b", "a;b", "a\"b",  "a\\b", "\xc3\xa4", "a\xff" };
}

/// Creates an entry in the list of servers whose name may hold any character.
auto createServerEntry(gateway_fleet &fleet, const std::string &name) -> bool
{
    const auto body = json::serialize(json::object{ { "metadata", json::object{ { "name", name } } },
                                                    { "spec", json::object{ { "note", "of another writer" } } } });
    return httpCall(fleet.store().address(), { "POST", "/v1/objects/servers", {}, body }).status < 300U;
}

/// Sends requests through every router; returns how many were not served, or by a server other than \p expected.
auto countMisplaced(gateway_fleet &fleet, const std::string &name, std::size_t expected) -> int
{
    constexpr auto callsPerRouter = 8;
    auto misplaced = 0;
    for (const auto &router : fleet.routers()) {
        for (auto number = 0; number < callsPerRouter; ++number) {
            const auto id = name + "-" + router.name + "-" + std::to_string(number);
            const auto answer = fleet.call(router, "/read/x", id);
            const auto entries = fleet.servers()[expected]->record();
            const auto isThere = std::any_of(entries.begin(), entries.end(), [&](const auto &entry) {
                return entry.at("request_id").as_string() == id;
            });
            misplaced += answer.status == 200U && isThere ? 0 : 1;
        }
    }
    return misplaced;
}

} // namespace

BOOST_AUTO_TEST_SUITE(odd_entry_test)

BOOST_AUTO_TEST_CASE(an_odd_entry_among_those_of_the_servers_does_not_keep_routers_from_following_the_others)
{
    auto fleet = gateway_fleet({ .routers = routerCount, .servers = 2 });
    auto leaving = std::size_t(1);
    for (const auto &[name, entry] : oddEntries()) {
        BOOST_TEST_CONTEXT("entry " << name)
        {
            BOOST_TEST(fleet.writeObject("servers", name, entry));
            // The router that watches, and those that it relays changes to, still apply a change of another entry.
            static auto incarnation = 0;
            fleet.writeServer(1 - leaving, "ready", ++incarnation);
            fleet.writeServer(leaving, "draining", incarnation);
            sleepMs(changeMs);
            BOOST_TEST(countMisplaced(fleet, name, 1 - leaving) == 0);
            leaving = 1 - leaving;
        }
    }
    // So does a router that starts and reads the whole list.
    auto &restarted = fleet.routers().back();
    restarted.process->signal(SIGKILL);
    restarted.process->waitForExit(changeMs);
    fleet.start(restarted);
    BOOST_TEST(countMisplaced(fleet, "restarted", leaving) == 0);
    for (const auto &router : fleet.routers()) {
        BOOST_TEST(router.process->running());
    }
}

BOOST_AUTO_TEST_CASE(an_entry_with_an_odd_name_at_the_end_of_a_page_does_not_keep_restarted_routers_from_serving)
{
    // Each entry is the last one of a page.
    auto fleet = gateway_fleet({ .routers = 2, .servers = 1, .storePageSize = 1 });
    auto number = 0;
    for (const auto &name : oddNames()) {
        BOOST_TEST_CONTEXT("name " << name)
        {
            BOOST_REQUIRE(createServerEntry(fleet, name));
            for (auto &router : fleet.routers()) {
                router.process->signal(SIGKILL);
                router.process->waitForExit(changeMs);
                fleet.start(router, false);
            }
            constexpr auto recoveryMs = 12'000;
            for (const auto &router : fleet.routers()) {
                BOOST_REQUIRE(waitUntil(recoveryMs, [&] { return fleet.isReady(router); }));
            }
            BOOST_TEST(countMisplaced(fleet, "name-" + std::to_string(++number), 0) == 0);
            BOOST_TEST(fleet.removeObject("servers", name));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_entry_with_an_odd_name_does_not_hold_up_relayed_changes)
{
    auto fleet = gateway_fleet({ .routers = routerCount, .servers = 2 });
    auto names = oddNames();
    names.emplace_back(60'000, 'n'); // Longer than what fits into a datagram beside other changes.
    auto leaving = std::size_t(1);
    auto incarnation = 0;
    for (const auto &name : names) {
        BOOST_TEST_CONTEXT("name " << name.substr(0, 20))
        {
            BOOST_REQUIRE(createServerEntry(fleet, name));
            fleet.writeServer(1 - leaving, "ready", ++incarnation);
            fleet.writeServer(leaving, "draining", incarnation);
            sleepMs(changeMs);
            BOOST_TEST(countMisplaced(fleet, "relayed-" + std::to_string(incarnation), 1 - leaving) == 0);
            leaving = 1 - leaving;
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
