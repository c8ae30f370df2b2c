#include "marjoramloom/store/store_client.h"

#include "store_fixture.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom;

namespace {

/// A client with short timeouts.
struct platform_fixture : test::store_fixture
{
    store_client client{ context.get_executor(), options(), counters };

    auto options() const -> store_options
    {
        return { .addresses = { platform.address() },
                 .timeout = std::chrono::milliseconds(400),
                 .watchTimeout = std::chrono::milliseconds(1'500),
                 .retryFirst = std::chrono::milliseconds(5),
                 .retryLimit = std::chrono::milliseconds(20) };
    }

    auto create(const std::string &name) -> write_result
    {
        auto why = last_reason();
        return run(client.create("kind", name, "value", why)).result;
    }

    auto revisionOf(const std::string &name) -> std::uint64_t
    {
        auto why = last_reason();
        const auto object = run(client.get("kind", name, why));
        return object ? object->revision : 0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(store_client_test, platform_fixture)

BOOST_AUTO_TEST_CASE(writes_are_conditional)
{
    auto why = last_reason();
    BOOST_TEST(revisionOf("a") == 0U);
    BOOST_TEST((create("a") == write_result::written));
    BOOST_TEST((create("a") == write_result::conflict));
    const auto revision = revisionOf("a");
    const auto stale = run(client.update("kind", "a", "x", revision + 7, why));
    BOOST_TEST((stale.result == write_result::conflict));
    BOOST_TEST(stale.current.revision == revision);
    BOOST_TEST(stale.current.value == "value");
    BOOST_TEST((run(client.update("kind", "a", "x", revision, why)).result == write_result::written));
    BOOST_TEST((run(client.remove("kind", "a", revisionOf("a"), why)).result == write_result::written));
    BOOST_TEST(run(client.list("kind", why))->objects.empty());
}

// Guards against a write reported as failed that took effect, or the reverse.
BOOST_AUTO_TEST_CASE(the_result_of_a_write_says_whether_it_may_have_taken_effect)
{
    platform.setFaults(R"([{"kind":"outage"}])");
    BOOST_TEST((create("refused") == write_result::notSent));
    platform.setFaults(R"([{"kind":"lose_answer","silent":true}])");
    BOOST_TEST((create("lost") == write_result::unknown));
    platform.setFaults(R"([{"kind":"close"}])");
    BOOST_TEST((create("closed") == write_result::unknown));
    platform.setFaults("[]");
    BOOST_TEST(revisionOf("refused") == 0U);
    BOOST_TEST(revisionOf("lost") > 0U);
    auto unreachable = store_client(context.get_executor(), { .addresses = { "127.0.0.1:1" } }, counters);
    auto why = last_reason();
    BOOST_TEST((run(unreachable.create("kind", "b", "v", why)).result == write_result::notSent));
    BOOST_TEST((why.kind == failure_kind::notSent));
}

// Guards against failed calls when an idle connection no longer responds or one of the addresses refuses connections.
BOOST_AUTO_TEST_CASE(calls_succeed_despite_a_frozen_connection_and_a_dead_address)
{
    BOOST_TEST((create("a") == write_result::written));
    platform.setFaults(R"([{"kind":"freeze_open"}])");
    platform.setFaults("[]");
    BOOST_TEST(revisionOf("a") > 0U);
    auto twoAddresses =
        store_client(context.get_executor(), { .addresses = { "127.0.0.1:1", platform.address() } }, counters);
    auto why = last_reason();
    BOOST_TEST((run(twoAddresses.create("kind", "b", "v", why)).result == write_result::written));
}

// Guards against a watch that hangs, or misses or repeats changes, when its connection stops responding.
BOOST_AUTO_TEST_CASE(a_watch_resumes_at_its_revision_after_its_connection_froze)
{
    auto seen = std::vector<std::string>();
    const auto onEvent = [&](const watch_event &event) {
        if (event.kind == watch_event_kind::bookmark && seen.size() == 1) {
            platform.setFaults(R"([{"kind":"freeze_open"}])");
            platform.setFaults("[]");
            const auto body = std::string(R"({"metadata":{"name":"b"},"spec":"v"})");
            test::httpCall(platform.address(), { "POST", "/v1/objects/kind", {}, body });
            seen.emplace_back("frozen");
        }
        if (event.kind == watch_event_kind::put) {
            seen.push_back(event.object.name);
        }
        return seen.size() < 3;
    };
    BOOST_TEST((create("a") == write_result::written));
    const auto end = run(client.watch({ "kind" }, 0, onEvent));
    BOOST_TEST((end == watch_end::stopped));
    const auto expected = std::vector<std::string>{ "a", "frozen", "b" };
    BOOST_TEST(seen == expected, boost::test_tools::per_element());
    BOOST_TEST(counters.at("marjoramloom_platform_watch_redials_total").value() >= 1U);
}

BOOST_AUTO_TEST_CASE(an_endless_answer_of_the_store_does_not_fill_the_memory)
{
    using tcp = boost::asio::ip::tcp;
    // The memory that a whole router may use for control.
    constexpr auto maxBytes = std::size_t(64) << 20U;
    auto serverContext = boost::asio::io_context();
    auto acceptor = tcp::acceptor(serverContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    auto sent = std::size_t(0);
    auto server = std::thread([&] {
        auto error = boost::system::error_code();
        auto socket = acceptor.accept(error);
        const auto head = std::string("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"entries\":[");
        boost::asio::write(socket, boost::asio::buffer(head), error);
        const auto part = std::string(std::size_t(64) << 10U, ' ');
        while (!error && sent < 4 * maxBytes) {
            sent += boost::asio::write(socket, boost::asio::buffer(part), error);
        }
    });
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto reader = store_client(context.get_executor(), { .addresses = { address } }, counters);
    auto why = last_reason();
    BOOST_TEST(!run(reader.list("kind", why)).has_value());
    server.join();
    BOOST_TEST(sent < maxBytes);
}

// The frame of a chunk, and the trailers, of the store's answers were buffered without a limit.
BOOST_AUTO_TEST_CASE(endless_frames_of_the_store_do_not_fill_the_memory)
{
    using tcp = boost::asio::ip::tcp;
    constexpr auto maxBytes = std::size_t(8) << 20U; // Of one connection, with the buffers of its sockets.
    const auto ok = std::string("HTTP/1.1 200 OK\r\n");
    const auto chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    for (const auto &start : { ok + "X-Filler: ", chunked + "1;", chunked + "0\r\nX-Filler: ", std::string() }) {
        BOOST_TEST_CONTEXT("answer that begins with " << start)
        {
            auto serverContext = boost::asio::io_context();
            auto acceptor = tcp::acceptor(serverContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            auto sent = std::size_t(0);
            auto server = std::thread([&] {
                auto error = boost::system::error_code();
                auto socket = acceptor.accept(error);
                boost::asio::write(socket, boost::asio::buffer(start), error);
                const auto part = std::string(std::size_t(64) << 10U, 'a');
                while (!error && sent < 4 * maxBytes) {
                    sent += boost::asio::write(socket, boost::asio::buffer(part), error);
                }
            });
            const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            auto reader = store_client(context.get_executor(), { .addresses = { address } }, counters);
            auto why = last_reason();
            BOOST_TEST(!run(reader.list("kind", why)).has_value());
            server.join();
            BOOST_TEST(sent < maxBytes);
        }
    }
}

BOOST_AUTO_TEST_CASE(changes_in_quick_succession_are_fetched_together)
{
    auto throttled = options();
    throttled.throttle.minInterval = std::chrono::milliseconds(300);
    auto watching = store_client(context.get_executor(), throttled, counters);
    constexpr auto changes = 10;
    auto writer = std::thread([this] {
        for (auto number = 0; number < changes; ++number) {
            const auto name = std::to_string(number);
            const auto body = R"({"metadata":{"name":")" + name + R"("},"spec":"v"})";
            test::httpCall(platform.address(), { "POST", "/v1/objects/kind", {}, body });
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    });
    auto seen = 0;
    const auto end = run(watching.watch({ "kind" }, 0, [&](const watch_event &event) {
        seen += event.kind == watch_event_kind::put ? 1 : 0;
        return seen < changes;
    }));
    writer.join();
    BOOST_TEST((end == watch_end::stopped));
    // The changes take 200 ms: one request returns the first, one 300 ms later the others, and one more is tolerated.
    BOOST_TEST(counters.at("marjoramloom_platform_calls_total").value() <= 3U);
}

// A list of which the end is missing would count the servers there as removed.
BOOST_AUTO_TEST_CASE(a_list_whose_pages_do_not_continue_fails_instead_of_ending_early_or_never)
{
    using tcp = boost::asio::ip::tcp;
    const auto entry = std::string(R"({"metadata":{"name":"a","revision":3},"spec":{}})");
    for (const auto &entries : { entry, std::string(), std::string("7") }) {
        BOOST_TEST_CONTEXT("pages with the entries " << entries)
        {
            constexpr auto maxCalls = 10;
            auto serverContext = boost::asio::io_context();
            auto acceptor = tcp::acceptor(serverContext, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
            const auto body = R"({"entries":[)" + entries + R"(],"truncated":true,"at":5})";
            auto calls = 0;
            auto server = std::thread([&] {
                auto error = boost::system::error_code();
                auto socket = acceptor.accept(error);
                auto received = std::string();
                while (!error && calls < maxCalls) {
                    const auto size =
                        boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", error);
                    if (!error) {
                        ++calls;
                        received.erase(0, size);
                        const auto head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size());
                        boost::asio::write(socket, boost::asio::buffer(head + "\r\n\r\n" + body), error);
                    }
                }
            });
            const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
            auto why = last_reason();
            {
                auto reader = store_client(context.get_executor(), { .addresses = { address } }, counters);
                BOOST_TEST(!run(reader.list("kind", why)).has_value());
            }
            server.join();
            BOOST_TEST(calls < maxCalls);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
