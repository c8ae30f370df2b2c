#include "marjoramloom/gateway/traffic/connection_tunnel.h"

#include "connection_tunnel_fixture.h"

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

constexpr std::size_t megabyte = std::size_t(1) << 20U;

/// Bytes that differ at every place and between seeds.
auto makeBody(std::size_t size, std::uint32_t seed) -> std::string
{
    auto body = std::string(size, '\0');
    for (auto &byte : body) {
        seed = seed * 1'664'525U + 1'013'904'223U;
        byte = static_cast<char>(seed >> 24U);
    }
    return body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_tunnel_test)

BOOST_AUTO_TEST_CASE(a_request_and_its_answer_arrive_unchanged)
{
    auto rig = tunnel_rig();
    rig.caller->send("GET / HTTP/1.1\r\n\r\n");
    rig.open();
    BOOST_TEST(rig.tunnel->router() == 7U);
    BOOST_TEST(rig.pumpUntil([&] {
        rig.router->read();
        return rig.router->received == "GET / HTTP/1.1\r\n\r\n";
    }));
    BOOST_TEST(rig.tunnel->hasRequest());
    rig.router->send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    BOOST_TEST(rig.pumpUntil([&] {
        rig.caller->read();
        return rig.caller->received == "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na";
    }));
    BOOST_TEST(!rig.tunnel->hasEnded());
    BOOST_TEST(rig.tunnel->takeProgress());
    BOOST_TEST(!rig.tunnel->takeProgress());
}

// Bytes that one side does not take yet were lost, repeated or kept without a limit.
BOOST_AUTO_TEST_CASE(large_bodies_in_both_directions_at_once_arrive_unchanged_at_slow_readers)
{
    for (const auto readBytes : { std::size_t(3'001), connection_tunnel::READ_BYTES, megabyte }) {
        BOOST_TEST_CONTEXT("readers take " << readBytes << " bytes at once")
        {
            auto counters = counter_registry();
            constexpr auto limit = 16 * megabyte;
            auto budget = memory_budget(limit, counters);
            auto probe = connection_memory(&budget, "probe");
            auto rig = tunnel_rig(&budget, 64 << 10);
            BOOST_REQUIRE(rig.tunnel->hasMemory());
            rig.open();
            const auto request = makeBody(5 * megabyte + 17, 1);
            const auto answer = makeBody(6 * megabyte + 1, 2);
            auto sentRequest = std::size_t(0);
            auto sentAnswer = std::size_t(0);
            auto isBounded = true;
            constexpr auto mostHeld = connection_memory::CONNECTION_BYTES + 2 * connection_tunnel::READ_BYTES;
            const auto areComplete = [&] {
                rig.caller->send(request, sentRequest);
                rig.router->send(answer, sentAnswer);
                rig.caller->read(readBytes);
                rig.router->read(readBytes);
                isBounded = isBounded && probe.hold(memory_use::request, limit - mostHeld);
                probe.hold(memory_use::request, 0);
                return rig.caller->received.size() >= answer.size() && rig.router->received.size() >= request.size();
            };
            const auto deadline = std::chrono::steady_clock::now() + 4 * patience;
            while (!areComplete() && std::chrono::steady_clock::now() < deadline) {
                rig.pump();
            }
            BOOST_TEST((rig.router->received == request));
            BOOST_TEST((rig.caller->received == answer));
            BOOST_TEST(isBounded);
        }
    }
}

// A caller that does not read would fill the memory of the router with its answer.
BOOST_AUTO_TEST_CASE(nothing_more_is_read_for_a_caller_that_does_not_read)
{
    auto counters = counter_registry();
    constexpr auto limit = 64 * megabyte;
    auto budget = memory_budget(limit, counters);
    auto probe = connection_memory(&budget, "probe");
    auto rig = tunnel_rig(&budget, 64 << 10);
    BOOST_REQUIRE(rig.tunnel->hasMemory());
    rig.open();
    const auto answer = makeBody(48 * megabyte, 3);
    auto sent = std::size_t(0);
    auto lastSent = std::size_t(0);
    auto unchanged = 0;
    // What the system's own buffers take is less than the answer.
    for (; unchanged < 100 && sent < answer.size(); unchanged = sent == lastSent ? unchanged + 1 : 0) {
        lastSent = sent;
        rig.router->send(answer, sent);
        rig.pump(1);
    }
    BOOST_TEST(sent < answer.size());
    constexpr auto mostHeld = connection_memory::CONNECTION_BYTES + connection_tunnel::READ_BYTES;
    BOOST_TEST(probe.hold(memory_use::request, limit - mostHeld));
    BOOST_TEST(!probe.hold(memory_use::request, limit - connection_memory::CONNECTION_BYTES));
    BOOST_TEST(rig.pumpUntil([&] {
        rig.router->send(answer, sent);
        rig.caller->read();
        return rig.caller->received.size() == answer.size();
    }));
    BOOST_TEST((rig.caller->received == answer));
}

BOOST_AUTO_TEST_CASE(the_end_of_the_callers_bytes_reaches_the_router_which_still_answers)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->send("request");
    rig.caller->closeSending();
    BOOST_TEST(rig.pumpUntil([&] { return rig.router->readUntilEnd(); }));
    BOOST_TEST(rig.router->received == "request");
    BOOST_TEST(rig.tunnel->hasEnded());
    rig.router->send("answer");
    rig.router->close();
    BOOST_TEST(rig.pumpUntil([&] { return rig.caller->readUntilEnd(); }));
    BOOST_TEST(rig.caller->received == "answer");
    BOOST_TEST(!rig.caller->isReset);
    BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::closed));
}

BOOST_AUTO_TEST_CASE(a_caller_that_closes_ends_its_request_at_the_router)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->close();
    BOOST_TEST(rig.pumpUntil([&] { return rig.router->readUntilEnd(); }));
    rig.router->close();
    BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::closed; }));
}

// With many tunnels, bytes and the end that follows them are handled 25 ms later, and arrive as one event.
BOOST_AUTO_TEST_CASE(an_end_that_arrives_together_with_the_last_bytes_is_passed_on)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->send("request");
    rig.caller->closeSendingAndWait();
    BOOST_TEST(rig.pumpUntil([&] { return rig.router->readUntilEnd(); }));
    BOOST_TEST(rig.router->received == "request");
    rig.router->send("answer");
    rig.router->closeSendingAndWait();
    BOOST_TEST(rig.pumpUntil([&] { return rig.caller->readUntilEnd(); }));
    BOOST_TEST(rig.caller->received == "answer");
    BOOST_TEST(!rig.caller->isReset);
}

// The end must neither overtake the bytes that a slow caller has not taken, nor be forgotten.
BOOST_AUTO_TEST_CASE(a_routers_end_reaches_a_slow_caller_after_all_bytes)
{
    for (const auto size : { connection_tunnel::READ_BYTES, 3 * megabyte, 4 * megabyte + 1'234 }) {
        BOOST_TEST_CONTEXT(size << " bytes")
        {
            auto rig = tunnel_rig(nullptr, 16 << 10);
            rig.open();
            const auto answer = makeBody(size, 4);
            auto sent = std::size_t(0);
            auto isClosed = false;
            BOOST_TEST(rig.pumpUntil([&] {
                rig.router->send(answer, sent);
                if (!isClosed && sent == answer.size()) {
                    rig.router->close();
                    isClosed = true;
                }
                rig.caller->read(20'000);
                return rig.caller->ended || rig.caller->isReset;
            }));
            BOOST_TEST((rig.caller->received == answer));
            BOOST_TEST(!rig.caller->isReset);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_reset_of_one_side_closes_both)
{
    for (const auto isOfCaller : { true, false }) {
        BOOST_TEST_CONTEXT((isOfCaller ? "caller" : "router"))
        {
            auto rig = tunnel_rig();
            rig.open();
            rig.caller->send("request");
            BOOST_REQUIRE(rig.pumpUntil([&] {
                rig.router->read();
                return rig.router->received == "request";
            }));
            auto &other = isOfCaller ? *rig.router : *rig.caller;
            (isOfCaller ? rig.caller : rig.router)->reset();
            BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::closed; }));
            BOOST_TEST(waitFor([&] { return other.readUntilEnd(); }));
        }
    }
}

// A connection of which something was read cannot go to another router any more.
BOOST_AUTO_TEST_CASE(nothing_is_read_from_the_caller_before_the_router_has_accepted)
{
    auto rig = tunnel_rig();
    rig.caller->send("request");
    rig.refuseConnections();
    for (auto id = std::uint64_t(1); id <= 3; ++id) {
        if (rig.connectToRefusing(id)) {
            BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::connecting));
            BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::idle; }));
        }
        BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::idle));
        BOOST_TEST(!rig.tunnel->hasRequest());
        BOOST_TEST(!rig.tunnel->takeProgress());
    }
    rig.listenAgain();
    rig.open();
    BOOST_TEST(rig.pumpUntil([&] {
        rig.router->read();
        return rig.router->received == "request";
    }));
    BOOST_TEST(rig.tunnel->hasRequest());
}

// A router that stands still does not accept, while its system completes the connection only later.
BOOST_AUTO_TEST_CASE(a_connect_that_takes_too_long_is_given_up_and_another_router_is_tried)
{
    auto rig = tunnel_rig();
    rig.caller->send("request");
    BOOST_REQUIRE(rig.connect(1));
    rig.tunnel->disconnect();
    BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::idle));
    rig.accept();
    rig.open();
    BOOST_TEST(rig.pumpUntil([&] {
        rig.router->read();
        return rig.router->received == "request";
    }));
    rig.router->send("answer");
    BOOST_TEST(rig.pumpUntil([&] {
        rig.caller->read();
        return rig.caller->received == "answer";
    }));
}

// The request of a caller was read and lost where the other router accepted and closed.
BOOST_AUTO_TEST_CASE(a_router_that_closes_without_an_opening_leaves_the_caller_for_another_one)
{
    auto rig = tunnel_rig();
    rig.caller->send("request");
    BOOST_REQUIRE(rig.connect(1));
    rig.acceptOnly();
    rig.router->closeSendingAndWait();
    BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::idle; }));
    BOOST_TEST(!rig.tunnel->hasRequest());
    rig.open();
    BOOST_TEST(rig.pumpUntil([&] {
        rig.router->read();
        return rig.router->received == "request";
    }));
}

// The system of a router that stands still accepts for it; what is sent there waits for nobody.
BOOST_AUTO_TEST_CASE(nothing_is_read_before_the_process_of_the_router_takes_the_tunnel)
{
    auto rig = tunnel_rig();
    rig.caller->send("request");
    BOOST_REQUIRE(rig.connect());
    rig.acceptOnly();
    for (auto round = 0; round < 20; ++round) {
        rig.pump(1);
    }
    BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::connecting));
    BOOST_TEST(!rig.tunnel->hasRequest());
}

// A request would be handled as an older configuration says at the router that it is tunnelled to.
BOOST_AUTO_TEST_CASE(a_router_with_an_older_configuration_is_not_used)
{
    auto rig = tunnel_rig();
    BOOST_REQUIRE(rig.connect(1));
    rig.accept(tunnel_rig::VERSION - 1);
    BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::idle; }));
    BOOST_REQUIRE(rig.connect(2));
    rig.accept(tunnel_rig::VERSION + 1);
    BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::open; }));
}

// The request of a caller that left while it waited ran at an engine, although nobody wanted its answer.
BOOST_AUTO_TEST_CASE(the_request_of_a_caller_that_left_before_the_tunnel_was_open_is_not_passed_on)
{
    auto rig = tunnel_rig();
    rig.caller->send("request");
    rig.caller->closeSendingAndWait();
    BOOST_REQUIRE(rig.connect());
    rig.accept();
    BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::closed; }));
    BOOST_TEST(waitFor([&] { return rig.router->readUntilEnd(); }));
    BOOST_TEST(rig.router->received.empty());
}

// A caller that sent its request slowly lost the answer that a router had given before the end of the request.
BOOST_AUTO_TEST_CASE(an_answer_before_the_end_of_the_request_reaches_the_caller)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->send("the first part of a request");
    BOOST_REQUIRE(rig.pumpUntil([&] {
        rig.router->read();
        return !rig.router->received.empty();
    }));
    rig.router->send("answer");
    rig.router->close();
    rig.caller->send("the second part");
    rig.pump(5);
    rig.caller->send("the third part");
    BOOST_TEST(rig.pumpUntil([&] { return rig.caller->readUntilEnd(); }));
    BOOST_TEST(rig.caller->received == "answer");
    BOOST_TEST(!rig.caller->isReset);
}

BOOST_AUTO_TEST_CASE(closing_a_tunnel_closes_both_connections)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.tunnel->close();
    BOOST_TEST(waitFor([&] { return rig.caller->readUntilEnd() && rig.router->readUntilEnd(); }));
    rig.pump();
    BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::closed));
}

BOOST_AUTO_TEST_CASE(a_tunnel_without_memory_is_not_opened)
{
    auto counters = counter_registry();
    auto budget = memory_budget(connection_memory::CONNECTION_BYTES - 1, counters);
    auto rig = tunnel_rig(&budget);
    BOOST_TEST(!rig.tunnel->hasMemory());
    budget.setLimit(connection_memory::CONNECTION_BYTES);
    BOOST_TEST(rig.tunnel->hasMemory());
}

BOOST_AUTO_TEST_SUITE_END()
