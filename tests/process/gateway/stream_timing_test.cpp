#include "marjoramloom/core/endpoint.h"
#include "support/gateway_fleet.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace marjoramloom::test;

namespace {

/// A stream of the stand-ins has 12 events.
constexpr auto eventMs = 100;
constexpr auto outputTokens = 60;

auto streamRequest(const std::string &id, int deadlineMs, int tokens) -> http_request
{
    auto request = http_request();
    request.target = "/talk/stream";
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", id },
                        { "X-Deadline-Ms", std::to_string(deadlineMs) },
                        { "X-Token-Usage", "20," + std::to_string(tokens) },
                        { "Authorization", "Bearer key-alpha" } };
    return request;
}

/// Reads from \p socket until \p text has arrived. Returns the time that passed since \p start.
auto timeUntil(boost::asio::ip::tcp::socket &socket, std::string &received, const std::string &text,
               std::chrono::steady_clock::time_point start) -> std::chrono::milliseconds
{
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(received), text);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_timing_test)

BOOST_AUTO_TEST_CASE(a_stream_that_reaches_its_deadline_is_cut_there_and_ends_at_its_server)
{
    auto fleet = gateway_fleet({ .routers = 1, .eventMs = eventMs });
    const auto &address = fleet.routers().front().callers;
    BOOST_TEST(httpCall(address, streamRequest("short", 4'000, outputTokens)).complete);
    const auto start = std::chrono::steady_clock::now();
    const auto answer = httpCall(address, streamRequest("long", 800, 4 * outputTokens));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST(answer.status == 200U);
    BOOST_TEST(!answer.complete);
    BOOST_TEST((elapsed > std::chrono::milliseconds(600) && elapsed < std::chrono::milliseconds(1'100)));
    sleepMs(500);
    BOOST_TEST(fleet.countExecutions("long") == 1);
    BOOST_TEST(fleet.countExecutions("long", "cancelled") == 1);
    BOOST_TEST(fleet.countExecutions("long", "finished") == 0);
}

BOOST_AUTO_TEST_CASE(an_event_is_not_held_back_until_the_next_one)
{
    auto fleet = gateway_fleet({ .routers = 1, .eventMs = eventMs });
    BOOST_TEST(httpCall(fleet.routers().front().callers, streamRequest("first", 4'000, outputTokens)).complete);
    auto why = marjoramloom::last_reason();
    auto context = boost::asio::io_context();
    auto socket = boost::asio::ip::tcp::socket(context);
    socket.connect(*marjoramloom::parseEndpoint(fleet.routers().front().callers, why));
    const auto request = std::string("GET /talk/stream HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: timed\r\n"
                                     "X-Deadline-Ms: 4000\r\nAuthorization: Bearer key-alpha\r\n\r\n");
    const auto start = std::chrono::steady_clock::now();
    boost::asio::write(socket, boost::asio::buffer(request));
    auto received = std::string();
    auto previous = timeUntil(socket, received, "piece 1\n\n", start);
    for (auto event = 2; event <= 6; ++event) {
        const auto now = timeUntil(socket, received, "piece " + std::to_string(event) + "\n\n", start);
        // Two events in one read would arrive at the same moment.
        BOOST_TEST((now - previous).count() > eventMs / 2);
        previous = now;
    }
    BOOST_TEST(previous.count() < 6 * eventMs + eventMs / 2);
}

BOOST_AUTO_TEST_SUITE_END()
