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

BOOST_AUTO_TEST_CASE(a_stream_that_cannot_end_before_its_deadline_is_refused_at_once_and_not_cut_there)
{
    auto fleet = gateway_fleet({ .routers = 1, .eventMs = eventMs });
    const auto &address = fleet.routers().front().callers;
    for (auto number = 0; number < 3; ++number) {
        BOOST_TEST(httpCall(address, streamRequest("known-" + std::to_string(number), 4'000, outputTokens)).complete);
    }
    // Four times as many tokens take almost five seconds.
    const auto start = std::chrono::steady_clock::now();
    const auto answer = httpCall(address, streamRequest("long", 1'500, 4 * outputTokens));
    BOOST_TEST((answer.status == 429U || answer.status == 503U));
    BOOST_TEST((std::chrono::steady_clock::now() - start < std::chrono::milliseconds(300)));
    BOOST_TEST(fleet.countExecutions("long") == 0);
    // One that can end in time is served, and so is any once nothing is known of the speed any more.
    BOOST_TEST(httpCall(address, streamRequest("short", 2'500, outputTokens)).complete);
    sleepMs(2'500);
    httpCall(address, streamRequest("unknown", 1'500, 4 * outputTokens));
    BOOST_TEST(fleet.countExecutions("unknown") >= 1);
}

BOOST_AUTO_TEST_SUITE_END()
