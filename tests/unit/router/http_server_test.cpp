#include "marjoramloom/router/http_server.h"

#include "support/fleet.h"
#include "support/http_call.h"
#include "support/keep_alive_client.h"
#include "support/raw_connection.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace marjoramloom;

namespace {

/// Counts the requests and answers each with the same body.
struct counting_handler
{
    auto addToRefusal(const boost::beast::http::request_header<> &head, http_reply &refusal) -> void
    {
        refusal.headers.emplace_back("X-Refused", std::string(head["X-Id"]));
    }

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

BOOST_AUTO_TEST_CASE(connections_are_closed_unread_while_the_gate_is_closed)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto isOpen = std::atomic<bool>(false);
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    server->setConnectionGate(
        [&](int) { return isOpen ? connection_gate_result::serve : connection_gate_result::refuse; });
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
    // Refused immediately, so that the caller has time left to retry on another router.
    BOOST_TEST((std::chrono::steady_clock::now() - began < std::chrono::seconds(1)));
    BOOST_TEST(handler.handled == 0);
    isOpen = true;
    BOOST_TEST(test::httpCall(address, {}).body == "served");
    BOOST_TEST(counters.at("marjoramloom_connections_turned_away_total", "listener=\"test\"").value() == 5U);
    context.stop();
    loop.join();
}

// A caller whose request was refused without an answer cannot know when to return.
BOOST_AUTO_TEST_CASE(a_whole_request_on_a_refused_connection_gets_an_answer_and_half_a_one_does_not)
{
    const auto whole = std::string("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody");
    const auto answer = std::string("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    auto seen = std::vector<std::string>();
    server->setConnectionGate([](int) { return connection_gate_result::refuse; });
    server->setRefusalWriter([&](std::string_view request) {
        seen.emplace_back(request);
        return request.ends_with("body") ? answer : std::string();
    });
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    const auto address = "127.0.0.1:" + std::to_string(*port);
    // The event loop does not run yet, so that the requests arrive before their connections are accepted.
    auto withAll = test::raw_connection(address);
    withAll.send(whole);
    auto withHalf = test::raw_connection(address);
    withHalf.send(whole.substr(0, whole.size() - 2));
    auto withNothing = test::raw_connection(address);
    auto loop = std::thread([&] { context.run(); });
    BOOST_TEST(withAll.readAll() == answer);
    BOOST_TEST(withHalf.readAll().empty());
    BOOST_TEST(withNothing.readAll().empty());
    context.stop();
    loop.join();
    BOOST_TEST(seen == std::vector<std::string>({ whole, whole.substr(0, whole.size() - 2) }),
               boost::test_tools::per_element());
    BOOST_TEST(handler.handled == 0);
    BOOST_TEST(counters.at("marjoramloom_connections_turned_away_total", "listener=\"test\"").value() == 3U);
}

// Connections that waited in the queue while one was refused were not accepted until another one arrived.
BOOST_AUTO_TEST_CASE(connections_behind_a_refused_one_are_served_a_moment_later)
{
    constexpr auto waiting = 20;
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    auto arrived = 0;
    server->setConnectionGate(
        [&](int) { return arrived++ % 4 == 0 ? connection_gate_result::refuse : connection_gate_result::serve; });
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    const auto address = "127.0.0.1:" + std::to_string(*port);
    auto callers = std::vector<std::unique_ptr<test::raw_connection>>();
    for (auto index = 0; index < waiting; ++index) {
        callers.push_back(std::make_unique<test::raw_connection>(address));
        callers.back()->send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }
    auto loop = std::thread([&] { context.run(); });
    auto served = 0;
    auto refused = 0;
    for (auto &caller : callers) {
        const auto answer = caller->readAll();
        served += answer.ends_with("served") ? 1 : 0;
        refused += answer.empty() ? 1 : 0;
    }
    context.stop();
    loop.join();
    BOOST_TEST(served == waiting * 3 / 4);
    BOOST_TEST(refused == waiting / 4);
    BOOST_TEST(arrived == waiting);
}

// A descriptor that the gate has taken must be neither served nor closed here, and another one follows at once.
BOOST_AUTO_TEST_CASE(a_connection_that_the_gate_takes_stays_open_and_unread)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    auto taken = std::atomic<int>(-1);
    server->setConnectionGate([&](int descriptor) {
        auto expected = -1;
        return taken.compare_exchange_strong(expected, descriptor) ? connection_gate_result::taken
                                                                   : connection_gate_result::serve;
    });
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto loop = std::thread([&] { context.run(); });
    const auto address = "127.0.0.1:" + std::to_string(*port);
    auto first = test::raw_connection(address);
    first.send("request");
    BOOST_TEST(test::httpCall(address, {}).body == "served");
    context.stop();
    loop.join();
    auto bytes = std::array<char, 16>();
    BOOST_REQUIRE(taken >= 0);
    BOOST_TEST(::recv(taken, bytes.data(), bytes.size(), MSG_DONTWAIT) == 7);
    BOOST_TEST(::close(taken) == 0);
    BOOST_TEST(first.readAll().empty());
    BOOST_TEST(handler.handled == 1);
    BOOST_TEST(counters.at("marjoramloom_connections_turned_away_total", "listener=\"test\"").value() == 0U);
}

BOOST_AUTO_TEST_CASE(an_overloaded_server_keeps_a_short_accept_backlog)
{
    // In a long backlog, callers would find out too late that they should retry on another router.
    constexpr auto callers = 400;
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto clientContext = boost::asio::io_context(1);
    auto sockets = std::vector<boost::asio::ip::tcp::socket>();
    auto connected = 0;
    for (auto index = 0; index < callers; ++index) {
        sockets.emplace_back(clientContext);
    }
    const auto address = boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), *port);
    for (auto &socket : sockets) {
        socket.async_connect(address, [&](const boost::system::error_code &error) { connected += error ? 0 : 1; });
    }
    clientContext.run_for(
        std::chrono::milliseconds(500)); // The server's event loop does not run, so it accepts nothing.
    BOOST_TEST(connected > 0);
    BOOST_TEST(connected < callers / 2);
}

BOOST_AUTO_TEST_CASE(connections_above_the_keep_alive_limit_are_closed_after_their_answers)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handler = counting_handler();
    auto limits = http_limits();
    limits.maxKeepAliveConnections = 3;
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", limits,
                                                                  session_concurrency::singleThread);
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto loop = std::thread([&] { context.run(); });
    const auto address = "127.0.0.1:" + std::to_string(*port);
    auto callers = std::vector<std::unique_ptr<test::keep_alive_client>>();
    for (auto index = 0; index < 6; ++index) {
        callers.push_back(std::make_unique<test::keep_alive_client>(address));
        BOOST_TEST(callers.back()->call({}).body == "served"); // Also on connections that are closed afterwards.
    }
    BOOST_TEST(test::waitUntil(1'000, [&] { return server->connections() == 3U; }));
    context.stop();
    loop.join();
}

// A body that there is no room for is refused as not run, and others are served.
BOOST_AUTO_TEST_CASE(a_body_without_room_is_refused_with_a_time_to_retry)
{
    auto counters = counter_registry();
    auto budget = memory_budget(60'000, counters);
    auto context = boost::asio::io_context(1);
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    server->setMemoryBudget(budget);
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto loop = std::thread([&] { context.run(); });
    const auto address = "127.0.0.1:" + std::to_string(*port);
    auto request = test::http_request();
    request.method = "POST";
    request.headers["X-Id"] = "large";
    request.body = std::string(100'000, 'a');
    const auto refusal = test::httpCall(address, request);
    BOOST_TEST(refusal.status == 503U);
    BOOST_TEST(refusal.headers.contains("retry-after"));
    BOOST_TEST(refusal.headers.at("x-refused") == "large");
    BOOST_TEST(handler.handled == 0);
    request.body.resize(10'000);
    BOOST_TEST(test::httpCall(address, request).body == "served");
    context.stop();
    loop.join();
}

// Guards against a write beyond the buffer of the reader: the rest of one read, which holds the next request, may be
// larger than what a frame of a chunk may take.
BOOST_AUTO_TEST_CASE(an_endless_chunk_frame_behind_another_request_ends_its_connection_only)
{
    auto counters = counter_registry();
    auto context = boost::asio::io_context(1);
    auto handler = counting_handler();
    auto server = std::make_shared<http_server<counting_handler>>(context, handler, counters, "test", http_limits(),
                                                                  session_concurrency::singleThread);
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    BOOST_REQUIRE(port.has_value());
    auto loop = std::thread([&] { context.run(); });
    const auto address = "127.0.0.1:" + std::to_string(*port);
    const auto first = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + std::string(5'000, 'b');
    const auto second =
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(200'000, 'c');
    for (auto round = 0; round < 5; ++round) {
        auto caller = test::raw_connection(address);
        caller.sendRepeatedly(first + second, 1);
        caller.readAll();
    }
    BOOST_TEST(test::httpCall(address, {}).body == "served");
    context.stop();
    loop.join();
}

BOOST_AUTO_TEST_SUITE_END()
