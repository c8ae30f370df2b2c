#include "support/gateway_fleet.h"

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

} // namespace

BOOST_AUTO_TEST_SUITE(stream_deadline_test)

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

BOOST_AUTO_TEST_SUITE_END()
