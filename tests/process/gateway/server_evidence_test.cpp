#include "support/gateway_fleet.h"
#include "support/scripted_server.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom::test;

namespace json = boost::json;

namespace {

/// Time for a change in the store to reach all routers.
constexpr auto changeMs = 500;
constexpr auto callCount = 24;

/// A process that is no backend server and answers 200 to everything.
auto answerAsStranger(const std::string &) -> scripted_answer
{
    return { "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nalive\n", connection_end::keep };
}

auto entryAt(const std::string &address) -> json::object
{
    return json::object{
        { "service", "desk" }, { "address", address }, { "zone", "north" },
        { "version", "v1" },   { "slots", 8 },         { "state", "ready" },
        { "cold_left_ms", 0 }, { "sequence", 1 },      { "born", 1'700'000'000'000 },
    };
}

auto callWithVersion(const router_handle &router, const std::string &id, const std::string &version,
                     const std::string &path = "/read/x") -> http_answer
{
    auto request = http_request();
    request.target = path;
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", id },
                        { "X-Deadline-Ms", "4000" },
                        { "Authorization", "Bearer key-alpha" },
                        { "X-Expect-Version", version } };
    return httpCall(router.callers, request);
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_evidence_test)

/// Guards against requests to the address of an entry that another writer left (review/2).
BOOST_AUTO_TEST_CASE(an_entry_without_a_field_or_with_one_of_another_type_names_no_server)
{
    auto stranger = scripted_server(answerAsStranger);
    auto fleet = gateway_fleet({ .routers = 2, .servers = 1 });
    const auto address = stranger.address();
    for (const auto &field : entryAt(address)) {
        for (const auto *kind : { "missing", "list" }) {
            auto entry = entryAt(address);
            entry[field.key()] = json::array();
            if (std::string(kind) == "missing") {
                entry.erase(field.key());
            }
            fleet.writeObject("servers", "odd-" + std::string(field.key()) + "-" + kind, entry);
        }
    }
    auto fraction = entryAt(address);
    fraction["born"] = 1.5;
    fleet.writeObject("servers", "odd-born-fraction", fraction);
    sleepMs(changeMs);
    for (auto number = 0; number < callCount; ++number) {
        const auto &router = fleet.routers()[static_cast<std::size_t>(number) % 2];
        BOOST_TEST(fleet.call(router, "/post/x", "order-" + std::to_string(number), "GET").status == 200U);
    }
    BOOST_TEST(stranger.requests == 0);
}

/// Guards against a leaving server that gets requests again as the store executes a write of an earlier boot
/// (review/4).
BOOST_AUTO_TEST_CASE(a_late_entry_of_an_earlier_boot_does_not_bring_a_server_back)
{
    auto fleet = gateway_fleet({ .routers = 2 });
    const auto reached = [&](const std::string &name) {
        const auto before = fleet.servers().front()->record().size();
        for (auto number = 0; number < callCount; ++number) {
            const auto &router = fleet.routers()[static_cast<std::size_t>(number) % 2];
            BOOST_TEST(fleet.call(router, "/read/x", name + std::to_string(number)).status == 200U);
        }
        return fleet.servers().front()->record().size() - before;
    };
    const auto write = [&](const std::string &state, int incarnation) {
        fleet.writeServer(0, state, incarnation);
        sleepMs(changeMs);
    };
    write("ready", 1);
    BOOST_TEST(reached("restarted-") > 0U);
    write("draining", 1);
    write("ready", 0);
    BOOST_TEST(reached("late-") == 0U);
    fleet.removeObject("servers", "server-0");
    sleepMs(changeMs);
    write("ready", 0);
    BOOST_TEST(reached("late-after-removal-") == 0U);
    write("ready", 2);
    BOOST_TEST(reached("restarted-again-") > 0U);
}

/// Guards against one client's requests that take all servers from the others (review/5).
BOOST_AUTO_TEST_CASE(a_421_of_the_expected_server_concerns_only_its_request)
{
    auto fleet = gateway_fleet({ .routers = 1, .retryReserve = 20 });
    const auto &router = fleet.routers().front();
    for (const auto *path : { "/read/x", "/post/x", "/talk/stream" }) {
        const auto id = std::string("other-version-") + path[1];
        BOOST_TEST(callWithVersion(router, id, "2", path).status == 421U);
        BOOST_TEST(fleet.countExecutions(id) == 0);
    }
    for (auto number = 0; number < callCount; ++number) {
        const auto id = "mixed-" + std::to_string(number);
        BOOST_TEST(callWithVersion(router, id + "-odd", "2").status == 421U);
        BOOST_TEST(callWithVersion(router, id, "1").status == 200U);
        BOOST_TEST(fleet.call(router, "/post/x", id + "-order", "POST").status == 200U);
    }
    for (const auto &server : fleet.servers()) {
        BOOST_TEST(!server->record().empty());
    }
    BOOST_TEST(fleet.readLog(router).find("misdirected") == std::string::npos);
    BOOST_TEST(fleet.readLog(router).find("server_failed") == std::string::npos);
}

/// Guards against requests that keep going to an address at which another server answers.
BOOST_AUTO_TEST_CASE(a_421_of_another_server_takes_the_entry_out_of_use)
{
    auto first = std::string();
    auto plan = gateway_plan();
    plan.routers = 1;
    plan.retryReserve = 20;
    plan.listedServerAddress = [&](const std::string &address) {
        first = first.empty() ? address : first;
        return first; // Both entries name the first server's address.
    };
    auto fleet = gateway_fleet(std::move(plan));
    const auto &router = fleet.routers().front();
    for (auto number = 0; number < callCount; ++number) {
        BOOST_TEST(fleet.call(router, "/read/x", "r-" + std::to_string(number)).status == 200U);
    }
    const auto log = fleet.readLog(router);
    const auto mark = log.find("misdirected");
    BOOST_TEST(mark != std::string::npos);
    BOOST_TEST(log.find("misdirected", mark + 1) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
