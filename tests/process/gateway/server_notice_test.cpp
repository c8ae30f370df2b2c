#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace marjoramloom::test;

namespace {

/// Time for a change in the store to reach all routers.
constexpr auto changeMs = 400;

auto countRefused(standin &server) -> std::size_t
{
    const auto entries = server.record();
    return static_cast<std::size_t>(std::count_if(
        entries.begin(), entries.end(), [](const auto &entry) { return entry.at("state").as_string() == "refused"; }));
}

/// Sends requests without a pause for \p milliseconds. Returns how many of them were not served.
auto callFor(gateway_fleet &fleet, const router_handle &router, const std::string &name, int milliseconds) -> int
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    auto failed = 0;
    for (auto number = 0; std::chrono::steady_clock::now() < end; ++number) {
        failed += fleet.call(router, "/read/x", name + "-" + std::to_string(number)).status == 200U ? 0 : 1;
        sleepMs(3);
    }
    return failed;
}

/// One router and two servers, of which a test can make each the only one in use.
struct two_servers_fixture
{
    gateway_fleet fleet{ { .routers = 1 } };
    int incarnation = 0;

    auto router() -> router_handle &
    {
        return fleet.routers().front();
    }

    auto first() -> standin &
    {
        return *fleet.servers().front();
    }

    /// Sends one request to the first server as its only choice, which says by \p faults that it leaves. Returns the
    /// requests that it gets out of \p later further ones, with the other server in use again.
    auto requestsAfterNotice(const std::string &faults, const std::string &path, int later) -> std::size_t
    {
        fleet.writeServer(1, "draining", incarnation);
        sleepMs(changeMs);
        first().setFaults(faults);
        const auto name = "notice-" + std::to_string(incarnation);
        fleet.call(router(), path, name, path == "/post/x" ? "POST" : "GET");
        first().setFaults(R"([{"kind":"leaving"}])");
        fleet.writeServer(1, "ready", ++incarnation);
        sleepMs(changeMs);
        const auto before = first().record().size();
        for (auto number = 0; number < later; ++number) {
            const auto *next = number % 2 == 0 ? "/read/x" : "/talk/stream";
            BOOST_TEST(fleet.call(router(), next, name + "-" + std::to_string(number)).status == 200U);
        }
        const auto reached = first().record().size() - before;
        first().setFaults("[]");
        fleet.writeServer(0, "ready", incarnation);
        return reached;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(server_notice_test)

BOOST_AUTO_TEST_CASE(a_server_that_says_in_any_answer_that_it_leaves_gets_no_more_requests)
{
    auto fixture = two_servers_fixture();
    const auto leaving = std::string(R"({"kind":"leaving"})");
    BOOST_TEST(fixture.requestsAfterNotice("[" + leaving + "]", "/read/x", 12) == 0U);
    BOOST_TEST(fixture.requestsAfterNotice("[" + leaving + "]", "/post/x", 12) == 0U);
    BOOST_TEST(fixture.requestsAfterNotice("[" + leaving + "]", "/talk/stream", 12) == 0U);
    BOOST_TEST(fixture.requestsAfterNotice("[" + leaving + R"(,{"kind":"refuse"}])", "/read/x", 12) == 0U);
    BOOST_TEST(fixture.requestsAfterNotice("[" + leaving + R"(,{"kind":"fail"}])", "/read/x", 12) == 0U);
    // A new incarnation of the server under the same name and address is in use again.
    fixture.fleet.writeServer(1, "draining", fixture.incarnation);
    sleepMs(changeMs);
    BOOST_TEST(fixture.fleet.call(fixture.router(), "/read/x", "new").status == 200U);
    BOOST_TEST(fixture.fleet.countExecutions("new") == 1);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_more_requests_though_the_store_is_down)
{
    auto fleet = gateway_fleet({ .routers = 2 });
    fleet.store().setFaults(R"([{"kind":"outage","match":"/v1/"},{"kind":"outage"}])");
    fleet.servers().front()->setFaults(R"([{"kind":"leaving"}])");
    const auto served = [&](const std::string &name, int count) {
        const auto before = fleet.servers().front()->record().size();
        for (auto number = 0; number < count; ++number) {
            const auto &router = fleet.routers()[static_cast<std::size_t>(number) % 2];
            BOOST_TEST(fleet.call(router, "/open/x", name + "-" + std::to_string(number)).status == 200U);
        }
        return fleet.servers().front()->record().size() - before;
    };
    BOOST_TEST(served("before", 30) > 0U);
    BOOST_TEST(served("after", 30) == 0U);
}

BOOST_AUTO_TEST_CASE(a_router_learns_of_a_leaving_server_from_the_router_that_got_its_answer)
{
    auto fleet = gateway_fleet({ .routers = 2 });
    fleet.store().setFaults(R"([{"kind":"outage","match":"/v1/"},{"kind":"outage"}])");
    auto &server = *fleet.servers().front();
    server.setFaults(R"([{"kind":"leaving"}])");
    for (auto number = 0; number < 20; ++number) {
        fleet.call(fleet.routers().front(), "/open/x", "first-" + std::to_string(number));
    }
    const auto before = server.record().size();
    BOOST_TEST(before > 0U);
    // Routers report to each other several times a second.
    sleepMs(changeMs);
    for (auto number = 0; number < 20; ++number) {
        const auto id = "second-" + std::to_string(number);
        BOOST_TEST(fleet.call(fleet.routers().back(), "/open/x", id).status == 200U);
    }
    BOOST_TEST(server.record().size() == before);
}

BOOST_AUTO_TEST_CASE(a_server_that_asks_for_a_pause_gets_at_most_two_requests_until_its_end)
{
    auto fleet = gateway_fleet({ .routers = 1 });
    auto &server = *fleet.servers().front();
    server.setFaults(R"([{"kind":"refuse","value":"3.0"}])");
    BOOST_TEST(callFor(fleet, fleet.routers().front(), "first", 500) == 0);
    const auto before = countRefused(server);
    BOOST_TEST(before >= 1U);
    BOOST_TEST(callFor(fleet, fleet.routers().front(), "paused", 1'900) == 0);
    BOOST_TEST(countRefused(server) - before <= 2U);
    // It is used again once the pause has ended.
    server.setFaults("[]");
    sleepMs(1'000);
    BOOST_TEST(callFor(fleet, fleet.routers().front(), "again", 500) == 0);
    const auto entries = server.record();
    BOOST_TEST(std::any_of(entries.begin(), entries.end(),
                           [](const auto &entry) { return entry.at("request_id").as_string().starts_with("again-"); }));
}

BOOST_AUTO_TEST_CASE(a_dispatcher_grants_no_place_at_a_server_that_asked_the_querying_router_for_a_pause)
{
    auto fleet = gateway_fleet({ .routers = 3 });
    auto &server = *fleet.servers().front();
    // The server refuses the requests of one router only.
    server.setFaults(R"([{"kind":"refuse","value":"20","match":"refused-"}])");
    for (auto index = std::size_t(0); index < fleet.routers().size(); ++index) {
        server.setFaults(R"([{"kind":"refuse","value":"20","match":"refused-)" + std::to_string(index) + R"("}])");
        const auto name = "refused-" + std::to_string(index);
        const auto before = countRefused(server);
        BOOST_TEST(callFor(fleet, fleet.routers()[index], name, 700) == 0);
        BOOST_TEST(countRefused(server) - before >= 1U);
        BOOST_TEST(countRefused(server) - before <= 3U);
        // The other routers may still use it.
        const auto other = (index + 1) % fleet.routers().size();
        if (other > index) {
            callFor(fleet, fleet.routers()[other], "other-" + std::to_string(index), 300);
            const auto entries = server.record();
            BOOST_TEST(std::any_of(entries.begin(), entries.end(), [&](const auto &entry) {
                return entry.at("request_id").as_string().starts_with("other-" + std::to_string(index));
            }));
        }
    }
}

BOOST_AUTO_TEST_CASE(requests_are_refused_at_once_with_the_shortest_pause_if_every_server_asked_for_one)
{
    auto fleet = gateway_fleet({ .routers = 2 });
    fleet.servers().front()->setFaults(R"([{"kind":"refuse","value":"5"}])");
    fleet.servers().back()->setFaults(R"([{"kind":"refuse","value":"9.5"}])");
    for (const auto &router : fleet.routers()) {
        for (auto number = 0; number < 6; ++number) {
            fleet.call(router, "/read/x", router.name + "-" + std::to_string(number));
        }
        const auto arrivals = countRefused(*fleet.servers().front()) + countRefused(*fleet.servers().back());
        const auto start = std::chrono::steady_clock::now();
        const auto answer = fleet.call(router, "/post/x", router.name + "-last", "POST");
        const auto elapsed = std::chrono::steady_clock::now() - start;
        BOOST_TEST((answer.status == 429U || answer.status == 503U));
        const auto wait = std::stod(answer.headers.at("retry-after"));
        BOOST_TEST(wait > 3.0);
        BOOST_TEST(wait < 6.0);
        BOOST_TEST((elapsed < std::chrono::milliseconds(300)));
        BOOST_TEST(countRefused(*fleet.servers().front()) + countRefused(*fleet.servers().back()) == arrivals);
    }
}

BOOST_AUTO_TEST_CASE(malformed_notices_cost_no_request_and_no_server)
{
    auto fleet = gateway_fleet({ .routers = 1, .servers = 1 });
    auto &server = *fleet.servers().front();
    const auto &router = fleet.routers().front();
    auto number = 0;
    for (const auto *value : { "0", "yes", "-1", "11", "1,1" }) {
        server.setFaults(R"([{"kind":"leaving","value":")" + std::string(value) + R"("}])");
        BOOST_TEST(fleet.call(router, "/read/x", "leaving-" + std::to_string(++number)).status == 200U, value);
    }
    for (const auto *value : { "-3", "nan", "inf", "1e999", "soon", "3s", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
        server.setFaults(R"([{"kind":"refuse","count":1,"value":")" + std::string(value) + R"("}])");
        fleet.call(router, "/read/x", "pause-" + std::to_string(++number));
        sleepMs(50);
        BOOST_TEST(fleet.call(router, "/read/x", "pause-" + std::to_string(++number)).status == 200U, value);
    }
    BOOST_TEST(fleet.readLog(router).find("event=server_notice_malformed") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
