#include "peer_relays.h"
#include "support/fleet.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

/// Limit for waiting on processes; no check depends on a shorter time.
constexpr auto timeoutMs = 30'000;

auto statusOf(const router_handle &router) -> boost::json::object
{
    const auto answer =
        httpCall(router.operators, { "GET", "/v1/status", { { "Authorization", "Bearer operator-key" } }, "" });
    auto failure = boost::system::error_code();
    const auto parsed = boost::json::parse(answer.body, failure);
    return !failure && parsed.is_object() ? parsed.get_object() : boost::json::object();
}

/// Number of live routers that \p router knows, including itself.
auto countKnownRouters(const router_handle &router) -> std::size_t
{
    const auto status = statusOf(router);
    const auto *instances = status.if_contains("instances");
    return instances ? instances->as_array().size() : 0;
}

auto allKnowRouters(fleet &all, std::size_t count) -> bool
{
    for (const auto &router : all.routers()) {
        if (router.process->running() && countKnownRouters(router) != count) {
            return false;
        }
    }
    return true;
}

/// Returns the router that dispatches the most pools of its data centre.
auto busiestDispatcher(fleet &all) -> router_handle &
{
    auto *busiest = &all.routers().front();
    auto most = std::int64_t(-1);
    for (auto &router : all.routers()) {
        const auto status = statusOf(router);
        const auto *pools = status.if_contains("pools_dispatched");
        const auto poolCount = pools ? pools->to_number<std::int64_t>() : 0;
        if (poolCount > most) {
            most = poolCount;
            busiest = &router;
        }
    }
    return *busiest;
}

auto answersCorrectly(fleet &all, const router_handle &router, const std::string &prompt) -> bool
{
    return answerText(all.chat(router, "alpha", prompt)) == expectedText(prompt);
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_faults_test)

BOOST_AUTO_TEST_CASE(partitioned_data_centres_keep_serving_and_rejoin)
{
    auto relays = peer_relays();
    auto plan = fleet_plan();
    plan.advertisedPeerAddress = [&](const std::string &address) {
        return relays.addressFor(address);
    };
    auto all = fleet(plan);
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 2); }));
    for (const auto &router : all.routers()) {
        relays.cut(router.peers);
    }
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 1); }));
    for (const auto &router : all.routers()) {
        BOOST_TEST(answersCorrectly(all, router, "cut off at " + router.name + " tokens=10"));
    }
    for (const auto &router : all.routers()) {
        relays.resume(router.peers);
    }
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 2); }));
    for (const auto &router : all.routers()) {
        BOOST_TEST(answersCorrectly(all, router, "rejoined at " + router.name + " tokens=10"));
    }
}

BOOST_AUTO_TEST_CASE(a_killed_dispatcher_is_replaced)
{
    auto plan = fleet_plan();
    plan.dataCentres = { "north" };
    plan.routersPerDataCentre = 3;
    auto all = fleet(plan);
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 3); }));
    auto &dispatcher = busiestDispatcher(all);
    dispatcher.process->signal(SIGKILL);
    BOOST_TEST(dispatcher.process->waitForExit(timeoutMs).has_value());
    for (const auto &router : all.routers()) {
        if (router.name != dispatcher.name) {
            BOOST_TEST(answersCorrectly(all, router, "after the kill at " + router.name + " tokens=10"));
        }
    }
    all.restart(dispatcher);
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 3); }));
    BOOST_TEST(answersCorrectly(all, dispatcher, "after its restart tokens=10"));
}

BOOST_AUTO_TEST_CASE(a_paused_dispatcher_that_resumes_beside_its_successor_fails_no_request)
{
    auto plan = fleet_plan();
    plan.dataCentres = { "north" };
    plan.routersPerDataCentre = 3;
    auto all = fleet(plan);
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 3); }));
    auto &dispatcher = busiestDispatcher(all);
    dispatcher.process->signal(SIGSTOP);
    for (const auto &router : all.routers()) {
        if (router.name != dispatcher.name) {
            BOOST_TEST(waitUntil(timeoutMs, [&] { return countKnownRouters(router) == 2; }));
            BOOST_TEST(answersCorrectly(all, router, "while it sleeps at " + router.name + " tokens=10"));
        }
    }
    dispatcher.process->signal(SIGCONT);
    for (auto round = 0; round < 5; ++round) {
        for (const auto &router : all.routers()) {
            BOOST_TEST(
                answersCorrectly(all, router, "awake " + std::to_string(round) + " at " + router.name + " tokens=10"));
        }
    }
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 3); }));
}

BOOST_AUTO_TEST_CASE(an_empty_restart_without_the_platform_fetches_the_configuration_from_peers)
{
    auto all = fleet();
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 2); }));
    auto &restarted = all.routers().front();
    const auto sequence = all.configurationSequenceAt(all.routers().back());
    all.platform().setFaults(R"([{"kind":"outage"}])");
    restarted.process->signal(SIGKILL);
    BOOST_TEST(restarted.process->waitForExit(timeoutMs).has_value());
    all.restart(restarted, false);
    BOOST_TEST(waitUntil(timeoutMs, [&] { return all.configurationSequenceAt(restarted) == sequence; }));
    BOOST_TEST(waitUntil(timeoutMs, [&] {
        return httpCall(restarted.operators, { "GET", "/readyz", {}, "" }).status == 200;
    }));
    BOOST_TEST(answersCorrectly(all, restarted, "without the platform tokens=10"));
}

BOOST_AUTO_TEST_CASE(invalid_data_on_the_peer_port_fails_no_request)
{
    auto all = fleet();
    BOOST_TEST(waitUntil(timeoutMs, [&] { return allKnowRouters(all, 2); }));
    auto context = boost::asio::io_context();
    auto sockets = std::vector<boost::asio::ip::tcp::socket>();
    for (const auto &router : all.routers()) {
        const auto port = static_cast<unsigned short>(std::stoi(router.peers.substr(router.peers.find(':') + 1)));
        for (const auto &bytes : { std::string("GET / HTTP/1.1\r\n\r\n"), std::string(1 << 16, '\xff'),
                                   std::string("\0SP\0\0\x50\0\0\0\0\0\0\0\0\0\x04noise", 21), std::string() }) {
            sockets.emplace_back(context);
            sockets.back().connect({ boost::asio::ip::address_v4::loopback(), port });
            auto ignored = boost::system::error_code();
            boost::asio::write(sockets.back(), boost::asio::buffer(bytes), ignored);
        }
    }
    for (const auto &router : all.routers()) {
        BOOST_TEST(answersCorrectly(all, router, "beside garbage at " + router.name + " tokens=10"));
        BOOST_TEST(waitUntil(timeoutMs, [&] {
            return all.metric(router, "marjoramloom_peer_dropped_envelopes_total{reason=\"malformed\"}") > 0;
        }));
    }
    BOOST_TEST(allKnowRouters(all, 2));
}

BOOST_AUTO_TEST_SUITE_END()
