#pragma once

#include "marjoramloom/gateway/knowledge/platform_feed.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace marjoramloom::test {

/// A router that does not watch the store, and cannot reach it.
struct follower_fixture
{
    boost::asio::io_context context{ 1 };
    counter_registry counters;
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    store_client client{ context.get_executor(), { .addresses = { "127.0.0.1:1" } }, counters };
    platform_feed feed{ context.get_executor(),
                        client,
                        state,
                        { .onRoutes = [] {},
                          .onStoreChange =
                              [] {
                              } } };

    static auto entryOf(const std::string &id, std::uint64_t revision, const std::string &serverState) -> server_change
    {
        const auto value = R"({"service":"pool","address":"10.0.0.9:80","zone":"north","version":"v1","slots":8,)"
                           R"("state":")"
            + serverState + R"(","cold_left_ms":0,"sequence":1,"born":7})";
        return { .object = { .kind = {}, .name = id, .revision = revision, .value = value }, .removed = false };
    }

    /// An update that continues the router's list of servers and has no new configuration.
    auto updateOf(std::vector<server_change> changes, std::uint64_t revision) const -> store_update
    {
        auto update = store_update();
        update.serversBaseRevision = feed.serversRevision();
        update.serversRevision = revision;
        update.changes = std::move(changes);
        return update;
    }
};

/// A store that answers each call by the first unused answer for its path, and a call without one not at all.
class scripted_store
{
public:
    struct answer
    {
        std::string path; ///< Beginning of the paths that it answers.
        std::string body;
        std::chrono::milliseconds delay{};
        bool closes = false; ///< The store then closes the connection.
        std::string status = "200 OK";
    };

    scripted_store(boost::asio::io_context &context, std::vector<answer> answers)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_answers(std::move(answers))
    {
        boost::asio::co_spawn(
            context, [this] { return acceptAll(); }, boost::asio::detached);
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    using tcp = boost::asio::ip::tcp;

    auto acceptAll() -> boost::asio::awaitable<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    auto serve(tcp::socket socket) -> boost::asio::awaitable<void>
    {
        auto received = std::string();
        auto timer = boost::asio::steady_timer(m_acceptor.get_executor());
        try {
            while (true) {
                const auto size = co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(received),
                                                                         "\r\n\r\n", boost::asio::use_awaitable);
                const auto path = received.substr(4, received.find(' ', 4) - 4);
                received.erase(0, size);
                const auto found = std::find_if(m_answers.begin(), m_answers.end(), [&](const auto &candidate) {
                    return path.starts_with(candidate.path);
                });
                auto next = answer{ "", "", std::chrono::hours(1) };
                if (found != m_answers.end()) {
                    next = *found;
                    m_answers.erase(found);
                }
                timer.expires_after(next.delay);
                co_await timer.async_wait(boost::asio::use_awaitable);
                const auto text = "HTTP/1.1 " + next.status + "\r\nContent-Length: " + std::to_string(next.body.size())
                    + "\r\n\r\n" + next.body;
                co_await boost::asio::async_write(socket, boost::asio::buffer(text), boost::asio::use_awaitable);
                if (next.closes) {
                    co_return;
                }
            }
        } catch (const boost::system::system_error &) {
            co_return; // The router closed the connection.
        }
    }

    tcp::acceptor m_acceptor;
    std::vector<answer> m_answers;
};

} // namespace marjoramloom::test
