#include "marjoramloom/router/http_server.h"

#include "support/fleet.h"
#include "support/http_call.h"
#include "support/kept_caller.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom;

namespace {

struct counting_handler
{
    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>
    {
        ++handled;
        auto answer = http_reply();
        answer.body = "served";
        co_await exchange.reply(std::move(answer));
    }

    std::atomic<int> handled = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_server_test)

BOOST_AUTO_TEST_CASE(connections_that_come_while_the_gate_is_closed_end_unread)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto isOpen = std::atomic<bool>(false);
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::oneThread);
    server->setGate([&] { return isOpen.load(); });
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto loop = std::thread([&] { context.run(); });
    const auto address = "127.0.0.1:" + std::to_string(*port);
    const auto began = std::chrono::steady_clock::now();
    for (auto call = 0; call < 5; ++call) {
        const auto answer = test::httpCall(address, {});
        BOOST_TEST(answer.status == 0U);
    }
    // At once, so that the caller has time left for another router.
    BOOST_TEST((std::chrono::steady_clock::now() - began < std::chrono::seconds(1)));
    BOOST_TEST(handler.handled == 0);
    isOpen = true;
    BOOST_TEST(test::httpCall(address, {}).body == "served");
    BOOST_TEST(counters.at("marjoramloom_connections_turned_away_total", "listener=\"test\"").value() == 5U);
    context.stop();
    loop.join();
}

BOOST_AUTO_TEST_CASE(a_server_that_falls_behind_keeps_few_connections_waiting)
{
    // What waits in a long queue is not seen by anybody: its callers learn too late that they should turn elsewhere.
    constexpr auto callers = 400;
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::oneThread);
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto calling = boost::asio::io_context(1);
    auto sockets = std::vector<boost::asio::ip::tcp::socket>();
    auto waiting = 0;
    for (auto index = 0; index < callers; ++index) {
        sockets.emplace_back(calling);
    }
    const auto address = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), *port);
    for (auto &socket : sockets) {
        socket.async_connect(address, [&](const boost::system::error_code &error) { waiting += error ? 0 : 1; });
    }
    calling.run_for(std::chrono::milliseconds(500)); // The server's loop does not run.
    BOOST_TEST(waiting > 0);
    BOOST_TEST(waiting < callers / 2);
}

BOOST_AUTO_TEST_CASE(connections_beyond_what_is_kept_are_closed_after_their_answers)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto limits = http_limits();
    limits.keptConnections = 3;
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", limits,
                                                                  session_concurrency::oneThread);
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto loop = std::thread([&] { context.run(); });
    const auto address = "127.0.0.1:" + std::to_string(*port);
    auto callers = std::vector<std::unique_ptr<test::kept_caller>>();
    for (auto index = 0; index < 6; ++index) {
        callers.push_back(std::make_unique<test::kept_caller>(address));
        BOOST_TEST(callers.back()->call({}).body == "served"); // Also those whose connection ends with it.
    }
    BOOST_TEST(test::waitUntil(1'000, [&] { return server->connections() == 3U; }));
    context.stop();
    loop.join();
}

BOOST_AUTO_TEST_SUITE_END()
