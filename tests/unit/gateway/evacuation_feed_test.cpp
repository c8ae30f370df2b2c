#include "marjoramloom/gateway/knowledge/evacuation_feed.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr auto evacuationLimit = 1'000ms;

/// A store with the evacuations only. It answers a watch once there is something newer, or when its wait is over.
class evacuation_store
{
public:
    explicit evacuation_store(asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        asio::co_spawn(
            context, [this] { return acceptAll(); }, asio::detached);
    }

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    auto put(const std::string &name) -> void
    {
        ++revision;
        names.insert(name);
        events.push_back(R"({"object":)" + objectText(name) + "}");
    }

    auto remove(const std::string &name) -> void
    {
        ++revision;
        names.erase(name);
        events.push_back(R"({"deleted":true,"object":)" + objectText(name) + "}");
    }

    std::uint64_t revision = 1; ///< Each event raises it by one.
    std::set<std::string> names;
    std::vector<std::string> events;
    std::uint64_t oldestRevision = 0; ///< A watch from an older one gets 410.
    bool isSilent = false; ///< Calls get no answers.
    int lists = 0;
    int watches = 0;

private:
    [[nodiscard]] auto objectText(const std::string &name) const -> std::string
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(revision) + R"(},"spec":{}})";
    }

    auto acceptAll() -> asio::awaitable<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    auto serve(tcp::socket socket) -> asio::awaitable<void>
    {
        auto received = std::string();
        try {
            while (true) {
                const auto size = co_await asio::async_read_until(socket, asio::dynamic_buffer(received), "\r\n\r\n",
                                                                  asio::use_awaitable);
                const auto path = received.substr(4, received.find(' ', 4) - 4);
                received.erase(0, size);
                const auto text = co_await answerTo(path);
                co_await asio::async_write(socket, asio::buffer(text), asio::use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            co_return; // The router closed the connection.
        }
    }

    auto answerTo(const std::string &path) -> asio::awaitable<std::string>
    {
        auto timer = asio::steady_timer(m_acceptor.get_executor());
        const auto subscription = path.find("subscription=");
        auto body = std::string();
        auto status = std::string("200 OK");
        if (subscription == std::string::npos) {
            ++lists;
            for (const auto &name : names) {
                body += (body.empty() ? "" : ",") + objectText(name);
            }
            body = R"({"entries":[)" + body + R"(],"at":)" + std::to_string(revision) + "}";
        } else {
            ++watches;
            const auto since = std::stoull(path.substr(subscription + 13));
            const auto end = std::chrono::steady_clock::now() + 400ms;
            while (revision <= since && std::chrono::steady_clock::now() < end) {
                timer.expires_after(5ms);
                co_await timer.async_wait(asio::use_awaitable);
            }
            for (auto index = since; index < revision; ++index) {
                body += (body.empty() ? "" : ",") + events[index - 1];
            }
            body = R"({"events":[)" + body + R"(],"at":)" + std::to_string(revision) + "}";
            status = since < oldestRevision ? "410 Gone" : status;
        }
        while (isSilent) {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    tcp::acceptor m_acceptor;
};

struct feed_fixture
{
    asio::io_context context{ 1 };
    counter_registry counters;
    evacuation_store store{ context };
    gateway_state state{ gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1 };
    store_client client{ context.get_executor(),
                         evacuation_feed::storeOptions({ .addresses = { store.address() } }, evacuationLimit),
                         counters };
    bool isWatching = true;
    bool isStoreLost = false;
    int notifications = 0;
    evacuation_feed feed{ context.get_executor(),
                          client,
                          state,
                          { .isWatching = [this] { return isWatching; },
                            .isStoreLost = [this] { return isStoreLost; },
                            .onStoreChange =
                                [this] {
                                    ++notifications;
                                } } };

    feed_fixture()
    {
        asio::co_spawn(
            context, [this] { return feed.follow(); }, asio::detached);
    }

    /// Runs until \p condition holds; false if it does not within \p limit.
    template<typename Condition>
    auto runUntil(Condition condition, std::chrono::milliseconds limit = 3'000ms) -> bool
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            context.run_for(5ms);
        }
        return condition();
    }

    auto isEvacuated() -> bool
    {
        return state.evacuations.contains("north");
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(evacuation_feed_test, feed_fixture)

BOOST_AUTO_TEST_CASE(an_evacuation_begins_and_ends_while_the_router_watches)
{
    BOOST_REQUIRE(runUntil([&] { return state.evacuations.isKnown(); }));
    BOOST_TEST(!isEvacuated());
    store.put("north");
    BOOST_TEST(runUntil([&] { return isEvacuated(); }, evacuationLimit));
    store.put("north"); // Written again with its deletion pending: it still holds.
    runUntil([] { return false; }, 300ms);
    BOOST_TEST(isEvacuated());
    store.remove("north");
    BOOST_TEST(runUntil([&] { return !isEvacuated(); }, evacuationLimit));
    BOOST_TEST(notifications >= 3);
    BOOST_TEST(store.lists == 1);
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_within_an_evacuation_knows_it_before_it_is_ready)
{
    store.put("north");
    state.settings.evacuationLimit = evacuationLimit;
    BOOST_TEST(!state.areEvacuationsKnown());
    BOOST_REQUIRE(runUntil([&] { return state.areEvacuationsKnown(); }));
    BOOST_TEST(isEvacuated());
}

BOOST_AUTO_TEST_CASE(a_router_that_has_missed_the_history_lists_again)
{
    BOOST_REQUIRE(runUntil([&] { return store.watches > 0; }));
    isStoreLost = true;
    runUntil([] { return false; }, 600ms);
    store.put("north");
    store.put("south");
    store.oldestRevision = store.revision;
    isStoreLost = false;
    BOOST_TEST(runUntil([&] { return isEvacuated(); }));
    BOOST_TEST(store.lists == 2);
}

BOOST_AUTO_TEST_CASE(a_silent_connection_is_noticed_within_the_limit)
{
    BOOST_REQUIRE(runUntil([&] { return store.watches > 0; }));
    store.isSilent = true;
    runUntil([] { return false; }, 300ms);
    store.put("north");
    BOOST_TEST(!runUntil([&] { return isEvacuated(); }, 1'200ms));
    store.isSilent = false;
    BOOST_TEST(runUntil([&] { return isEvacuated(); }));
}

BOOST_AUTO_TEST_CASE(a_router_that_does_not_watch_makes_no_calls_while_others_relay)
{
    isWatching = false;
    for (auto revision = std::uint64_t(1); revision <= 30; ++revision) {
        feed.applyRelayed({ .revision = revision, .names = { "north" } });
        runUntil([] { return false; }, 100ms);
    }
    BOOST_TEST(isEvacuated());
    BOOST_TEST(store.lists + store.watches == 0);
    // Routers of an older version do not relay the set.
    BOOST_TEST(runUntil([&] { return store.watches > 0; }, 4'000ms));
}

BOOST_AUTO_TEST_CASE(the_last_set_is_kept_while_the_store_and_its_watchers_are_lost)
{
    store.put("north");
    BOOST_REQUIRE(runUntil([&] { return isEvacuated(); }));
    isStoreLost = true;
    runUntil([] { return false; }, 600ms);
    const auto calls = store.watches + store.lists;
    runUntil([] { return false; }, 1'000ms);
    BOOST_TEST(isEvacuated());
    BOOST_TEST(store.watches + store.lists == calls);
}

BOOST_AUTO_TEST_CASE(unknown_names_are_reported_once_and_change_nothing)
{
    store.put("typo");
    BOOST_REQUIRE(runUntil([&] { return state.evacuations.contains("typo"); }));
    state.hasServers = true;
    state.roster.noteComplete();
    feed.tick();
    feed.tick();
    BOOST_TEST(counters.at("marjoramloom_evacuations_unknown_total").value() == 1U);
    BOOST_TEST(!isEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()
