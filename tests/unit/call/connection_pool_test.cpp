#include "marjoramloom/call/connection_pool.h"

#include "marjoramloom/call/http_connection.h"
#include "marjoramloom/router/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// Answers every request with an empty reply.
struct plain_handler_fake
{
    static auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>
    {
        auto answer = http_reply();
        co_await exchange.reply(std::move(answer));
    }
};

/// An HTTP server, and connections to it that have carried one request.
struct pool_fixture
{
    pool_fixture()
        : server(std::make_shared<http_server<plain_handler_fake>>(context, handler, counters, "test", http_limits()))
    {
        auto why = last_reason();
        const auto port = server->listen("127.0.0.1:0", why);
        BOOST_REQUIRE_MESSAGE(port.has_value(), why.text());
        address = "127.0.0.1:" + std::to_string(*port);
        loop = std::thread([this] { context.run(); });
    }

    ~pool_fixture()
    {
        context.stop();
        loop.join();
    }

    auto exchangeOnce() -> boost::asio::awaitable<std::shared_ptr<http_connection>>
    {
        auto why = last_reason();
        auto connection = std::make_shared<http_connection>(context.get_executor(), address);
        auto request = http_connection::request();
        request.version(11);
        request.method(boost::beast::http::verb::get);
        request.target("/");
        request.set(boost::beast::http::field::host, address);
        const auto isDone = co_await connection->connect(1s, why) && co_await connection->send(request, 1s, why)
            && co_await connection->readHead(1s, why) && co_await connection->readRest(1'000, 1s, why);
        BOOST_TEST(isDone, why.text());
        connection->setIdleLimit(10s);
        co_return connection;
    }

    boost::asio::io_context context{ 1 };
    counter_registry counters;
    plain_handler_fake handler;
    std::shared_ptr<http_server<plain_handler_fake>> server;
    std::string address;
    std::thread loop;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connection_pool_test, pool_fixture)

BOOST_AUTO_TEST_CASE(idle_connections_beyond_the_limit_are_closed)
{
    auto pool = connection_pool();
    for (auto number = 0; number < 10; ++number) {
        auto used = boost::asio::co_spawn(context, exchangeOnce(), boost::asio::use_future).get();
        pool.giveBack(std::move(used), 3);
    }
    for (auto wait = 0; wait < 100 && server->connections() > 3; ++wait) {
        std::this_thread::sleep_for(10ms);
    }
    BOOST_TEST(server->connections() == 3U);
    BOOST_TEST(pool.take(address, context.get_executor()) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
