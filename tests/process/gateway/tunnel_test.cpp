#include "support/gateway_fleet.h"
#include "tunnel_fixture.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>
#include <thread>

using namespace marjoramloom::test;
using marjoramloom::hash64;

namespace {

/// Processor time that lets a router serve about 11 requests a second, and 4 at once, while others have room.
constexpr auto tinyCores = 0.01;
constexpr auto largeCores = 8.0;
constexpr auto deadlineMs = 4'000; ///< Of the requests of gateway_fleet::call().

auto makeBody(const std::string &id) -> std::string
{
    return id + std::string(20'000 + hash64(id) % 20'000, id.back());
}

/// Whether \p answer is that to the request with the body \p body.
auto isOwnAnswer(const http_answer &answer, const std::string &body) -> bool
{
    auto error = boost::system::error_code();
    const auto parsed = boost::json::parse(answer.body, error);
    return answer.complete && answer.status == 200 && !error
        && parsed.at("body_hash").as_string() == std::to_string(hash64(body));
}

/// What the callers of one test have got. Thread safe.
struct tally
{
    std::atomic<int> own = 0; ///< Answers that are whole and the caller's own.
    std::atomic<int> late = 0; ///< Attempts that took longer than the deadline of the request.
    std::atomic<int> retries = 0;
    std::atomic<int> longestMs = 0; ///< Longest attempt.
};

struct call_result
{
    http_answer answer;
    int attempts = 0;
    double seconds = 0; ///< Of the longest attempt.
};

/// Sends a request, on a new connection each time, until it has an answer. A connection that is closed without one is
/// no failure: its caller may retry at once.
auto callWithRetries(gateway_fleet &fleet, const router_handle &router, const std::string &path, const std::string &id,
                     const std::string &body, int maxAttempts) -> call_result
{
    auto result = call_result();
    while (result.attempts < maxAttempts && result.answer.status != 200) {
        ++result.attempts;
        const auto began = std::chrono::steady_clock::now();
        result.answer = fleet.call(router, path, id, "POST", "key-alpha", body);
        const auto taken = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        result.seconds = std::max(result.seconds, taken);
    }
    return result;
}

/// Sends requests from \p threads threads at once, and retries where connections are closed.
auto callInThreads(gateway_fleet &fleet, const router_handle &router, const std::string &phase, int threads,
                   int callsPerThread, tally &result) -> void
{
    runInThreads(threads, [&](int thread) {
        for (auto call = 0; call < callsPerThread; ++call) {
            const auto id = phase + "-" + std::to_string(thread) + "-" + std::to_string(call);
            const auto body = makeBody(id);
            const auto called = callWithRetries(fleet, router, "/read/x", id, body, 10);
            const auto milliseconds = static_cast<int>(called.seconds * 1'000);
            result.own += isOwnAnswer(called.answer, body) ? 1 : 0;
            result.late += milliseconds > deadlineMs ? 1 : 0;
            result.retries += called.attempts - 1;
            for (auto longest = result.longestMs.load();
                 milliseconds > longest && !result.longestMs.compare_exchange_weak(longest, milliseconds);) {}
        }
    });
    BOOST_TEST_MESSAGE(phase << ": " << result.retries << " retries, longest attempt " << result.longestMs << " ms");
}

} // namespace

BOOST_AUTO_TEST_SUITE(tunnel_test)

// An account whose connections reach a small router got only what that router had processor time for.
BOOST_AUTO_TEST_CASE(a_tiny_router_answers_far_more_than_it_may_serve_and_each_caller_gets_its_own_answer)
{
    constexpr auto threads = 16;
    constexpr auto callsPerThread = 20;
    auto fleet = gateway_fleet({ .routers = 3, .cores = { tinyCores, largeCores, largeCores } });
    const auto &tiny = fleet.routers().front();
    waitForTunnels(fleet);
    const auto openedBefore = openedTunnels(tiny);
    const auto began = std::chrono::steady_clock::now();
    auto own = std::atomic<int>(0);
    auto refused = std::atomic<int>(0);
    runInThreads(threads, [&](int thread) {
        for (auto call = 0; call < callsPerThread; ++call) {
            const auto id = "call-" + std::to_string(thread) + "-" + std::to_string(call);
            const auto body = makeBody(id);
            const auto result = callWithRetries(fleet, tiny, "/post/x", id, body, 10);
            own += isOwnAnswer(result.answer, body) ? 1 : 0;
            refused += result.attempts - 1;
        }
    });
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    BOOST_TEST_MESSAGE("in " << seconds << " s, with " << refused << " refused connections");
    BOOST_TEST(own == threads * callsPerThread);
    // All but the served fraction of its processor time, for as long as the calls took.
    const auto mayServe = 4 + 0.4 * tinyCores / 0.35e-3 * seconds;
    BOOST_TEST(openedTunnels(tiny) - openedBefore >= threads * callsPerThread - mayServe - 1);
    for (auto thread = 0; thread < threads; ++thread) {
        for (auto call = 0; call < callsPerThread; call += 5) {
            BOOST_TEST(fleet.countExecutions("call-" + std::to_string(thread) + "-" + std::to_string(call)) == 1);
        }
    }
}

// With the setting switched off, a router works as before.
BOOST_AUTO_TEST_CASE(without_the_setting_no_connection_is_tunnelled)
{
    auto fleet =
        gateway_fleet({ .routers = 2, .gatewaySettings = "tunnels = false\n", .cores = { tinyCores, largeCores } });
    const auto &tiny = fleet.routers().front();
    auto own = std::atomic<int>(0);
    runInThreads(8, [&](int thread) {
        for (auto call = 0; call < 15; ++call) {
            const auto id = "plain-" + std::to_string(thread) + "-" + std::to_string(call);
            const auto body = makeBody(id);
            own += isOwnAnswer(callWithRetries(fleet, tiny, "/post/x", id, body, 10).answer, body) ? 1 : 0;
        }
    });
    BOOST_TEST(own == 8 * 15);
    BOOST_TEST(openedTunnels(tiny) == 0);
}

// A router that stops waited for its own requests only, and cut those that it had tunnelled or was sent.
BOOST_AUTO_TEST_CASE(requests_in_tunnels_are_answered_while_one_of_the_two_routers_stops)
{
    constexpr auto calls = 12;
    for (const auto stopped : { std::size_t(0), std::size_t(1) }) {
        BOOST_TEST_CONTEXT((stopped == 0 ? "the router that tunnels" : "the router that serves"))
        {
            auto fleet = gateway_fleet({ .routers = 2, .callMs = 1'500, .cores = { tinyCores, largeCores } });
            auto &tiny = fleet.routers().front();
            waitForTunnels(fleet);
            BOOST_REQUIRE(waitUntil(5'000, [&] { return metric(tiny, "marjoramloom_tunnels") == 0; }));
            const auto openedBefore = openedTunnels(tiny);
            auto own = std::atomic<int>(0);
            auto stopper = std::thread([&] {
                const auto areRunning = [&] {
                    auto running = 0;
                    for (auto index = 0; index < calls; ++index) {
                        running += fleet.countExecutions("stop-" + std::to_string(index));
                    }
                    return running == calls;
                };
                BOOST_TEST(waitUntil(1'400, areRunning));
                BOOST_TEST(openedTunnels(tiny) - openedBefore >= calls / 2);
                fleet.routers()[stopped].process->signal(SIGTERM);
            });
            runInThreads(calls, [&](int index) {
                const auto id = "stop-" + std::to_string(index);
                const auto answer = fleet.call(tiny, "/post/x", id, "POST", "key-alpha", makeBody(id));
                own += isOwnAnswer(answer, makeBody(id)) ? 1 : 0;
            });
            stopper.join();
            BOOST_TEST(own == calls);
            BOOST_TEST(fleet.routers()[stopped].process->waitForExit(8'000).value_or(-1) == 0);
        }
    }
}

// What a router has sent to a backend server must be answered, whichever of the two routers of a tunnel stops.
BOOST_AUTO_TEST_CASE(no_request_that_runs_is_lost_while_connections_go_on_arriving_at_a_router_that_stops)
{
    constexpr auto threads = 12;
    for (const auto stopped : { std::size_t(0), std::size_t(1) }) {
        BOOST_TEST_CONTEXT((stopped == 0 ? "the router that tunnels" : "the router that serves"))
        {
            auto fleet = gateway_fleet({ .routers = 3, .callMs = 100, .cores = { tinyCores, largeCores, largeCores } });
            auto &tiny = fleet.routers().front();
            waitForTunnels(fleet);
            auto hasStopped = std::atomic<bool>(false);
            auto unanswered = std::array<std::vector<std::string>, threads>();
            auto own = std::atomic<int>(0);
            auto stopper = std::thread([&] {
                waitUntil(5'000, [&] { return own >= 100; });
                auto &process = *fleet.routers()[stopped].process;
                process.signal(SIGTERM);
                BOOST_TEST(process.waitForExit(9'000).value_or(-1) == 0);
                hasStopped = true;
            });
            runInThreads(threads, [&](int thread) {
                for (auto call = 0; !hasStopped; ++call) {
                    const auto id = "flow-" + std::to_string(thread) + "-" + std::to_string(call);
                    const auto answer = fleet.call(tiny, "/post/x", id, "POST", "key-alpha", makeBody(id));
                    if (isOwnAnswer(answer, makeBody(id))) {
                        ++own;
                    } else {
                        unanswered.at(static_cast<std::size_t>(thread)).push_back(id);
                        // The router that tunnels takes no connections any more.
                        sleepMs(answer.status == 0 ? 20 : 0);
                    }
                }
            });
            stopper.join();
            BOOST_TEST(own >= 100);
            auto executed = std::map<std::string, int>();
            for (const auto &server : fleet.servers()) {
                for (const auto &entry : server->record()) {
                    executed[std::string(entry.at("request_id").as_string())] += entry.at("state") == "started" ? 1 : 0;
                }
            }
            for (const auto &ids : unanswered) {
                for (const auto &id : ids) {
                    BOOST_TEST(executed[id] == 0, id << " ran and was not answered");
                }
            }
        }
    }
}

// Events of a stream that are copied late, twice or not at all would break it for its caller only in a tunnel.
BOOST_AUTO_TEST_CASE(streams_in_tunnels_are_whole)
{
    auto fleet = gateway_fleet({ .routers = 2, .cores = { tinyCores, largeCores } });
    const auto &tiny = fleet.routers().front();
    waitForTunnels(fleet);
    auto expected = std::string();
    for (auto number = 1; number <= 12; ++number) {
        expected += "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n";
    }
    const auto openedBefore = openedTunnels(tiny);
    auto whole = std::atomic<int>(0);
    runInThreads(12, [&](int thread) {
        for (auto call = 0; call < 5; ++call) {
            const auto id = "stream-" + std::to_string(thread) + "-" + std::to_string(call);
            whole += fleet.call(tiny, "/talk/stream", id).body == expected ? 1 : 0;
        }
    });
    BOOST_TEST(whole == 60);
    BOOST_TEST(openedTunnels(tiny) - openedBefore >= 30);
}

// A router that is gone must cost the callers at its neighbours no more than a retry.
BOOST_AUTO_TEST_CASE(after_a_peer_was_killed_callers_get_answers_through_the_others)
{
    auto fleet = gateway_fleet({ .routers = 3, .cores = { tinyCores, largeCores, largeCores } });
    const auto &tiny = fleet.routers().front();
    waitForTunnels(fleet);
    const auto openedBefore = openedTunnels(tiny);
    fleet.routers()[1].process->signal(SIGKILL);
    auto result = tally();
    callInThreads(fleet, tiny, "killed", 8, 15, result);
    BOOST_TEST(result.own == 8 * 15);
    BOOST_TEST(result.late == 0);
    BOOST_TEST(openedTunnels(tiny) > openedBefore);
}

// The system of a suspended router accepts connections for it, but its process takes none of them.
BOOST_AUTO_TEST_CASE(a_suspended_peer_does_not_keep_new_connections_beyond_their_deadline)
{
    auto fleet = gateway_fleet({ .routers = 3, .cores = { tinyCores, largeCores, largeCores } });
    const auto &tiny = fleet.routers().front();
    waitForTunnels(fleet);
    fleet.routers()[1].process->signal(SIGSTOP);
    auto result = tally();
    callInThreads(fleet, tiny, "suspended", 8, 10, result);
    BOOST_TEST(result.own == 8 * 10);
    BOOST_TEST(result.late == 0);
    // Some connections went to it first, and to another router then.
    BOOST_TEST(metric(tiny, "marjoramloom_tunnels_total{end=\"not_taken\"}") > 0);
    fleet.routers()[1].process->signal(SIGCONT);
    callInThreads(fleet, tiny, "continued", 8, 10, result);
    BOOST_TEST(result.own == 2 * 8 * 10);
    BOOST_TEST(result.late == 0);
}

BOOST_AUTO_TEST_SUITE_END()
