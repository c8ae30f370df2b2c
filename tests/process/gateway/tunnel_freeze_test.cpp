// Routers that serve tunnels stand still, while the router that the callers are connected to goes on.
#include "tunnel_fixture.h"

#include "support/gateway_fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <set>

using namespace marjoramloom::test;

namespace {

constexpr auto smallCores = 0.05; ///< Far less than the load of a test needs, but enough to tunnel it.
constexpr auto largeCores = 8.0;
constexpr auto timeoutMs = 800; ///< Of the route "/post/".
constexpr auto slackMs = 500; ///< A request has its final answer this long after its route's timeout.
/// The rule is broken by this many requests without an answer, if they are over a quarter of the late ones.
constexpr auto minUnanswered = 8;

struct sent_request
{
    std::string id;
    std::string path;
    double tookMs = 0;
    http_answer answer;
};

/// Callers at one router that send request after request, each on a new connection, until the object is destroyed.
class steady_callers
{
public:
    /// Half of the \p count callers send requests to "/post/", the others to "/read/".
    steady_callers(const router_handle &router, int count)
    {
        for (auto caller = 0; caller < count; ++caller) {
            m_threads.emplace_back([this, &router, caller] {
                for (auto number = 0; !m_stopping; ++number) {
                    send(router, caller % 2 == 0 ? "/post/x" : "/read/x",
                         "c" + std::to_string(caller) + "-" + std::to_string(number));
                }
            });
        }
    }
    ~steady_callers()
    {
        stop();
    }
    steady_callers(const steady_callers &) = delete;
    auto operator=(const steady_callers &) -> steady_callers & = delete;

    /// Number of requests to \p path that have ended so far, after more than the timeout of "/post/".
    auto lateRequests(const std::string &path) -> int
    {
        const auto lock = std::lock_guard(m_mutex);
        return static_cast<int>(std::count_if(m_requests.begin(), m_requests.end(), [&](const sent_request &sent) {
            return sent.path == path && sent.tookMs >= timeoutMs;
        }));
    }

    /// Ids of the requests that have been answered with 504 so far.
    auto timedOutRequests() -> std::set<std::string>
    {
        const auto lock = std::lock_guard(m_mutex);
        auto ids = std::set<std::string>();
        for (const auto &sent : m_requests) {
            if (sent.answer.status == 504) {
                ids.insert(sent.id);
            }
        }
        return ids;
    }

    /// Waits for the last answers and returns all requests.
    auto stop() -> const std::vector<sent_request> &
    {
        m_stopping = true;
        for (auto &thread : m_threads) {
            thread.join();
        }
        m_threads.clear();
        return m_requests;
    }

private:
    auto send(const router_handle &router, const std::string &path, const std::string &id) -> void
    {
        auto request = http_request{ .method = "POST", .target = path, .headers = {}, .body = std::string(600, 'x') };
        request.headers = { { "Host", "desk.example" },
                            { "X-Attempt-Id", id },
                            { "X-Deadline-Ms", "8000" },
                            { "Authorization", "Bearer key-alpha" } };
        request.timeout = std::chrono::milliseconds(8'000);
        auto sent = sent_request{ .id = id, .path = path, .tookMs = 0, .answer = {} };
        const auto began = std::chrono::steady_clock::now();
        sent.answer = httpCall(router.callers, request);
        sent.tookMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
        // Callers whose connections were refused return a little later.
        sleepMs(sent.answer.status != 200 ? 20 : 0);
        const auto lock = std::lock_guard(m_mutex);
        m_requests.push_back(std::move(sent));
    }

    std::atomic<bool> m_stopping = false;
    std::mutex m_mutex;
    std::vector<sent_request> m_requests;
    std::vector<std::thread> m_threads;
};

auto startedRequests(gateway_fleet &fleet) -> std::set<std::string>
{
    auto ids = std::set<std::string>();
    for (const auto &server : fleet.servers()) {
        for (const auto &entry : server->record()) {
            if (entry.at("state").as_string() == "started") {
                ids.emplace(entry.at("request_id").as_string());
            }
        }
    }
    return ids;
}

auto timedOutTunnels(const router_handle &router) -> double
{
    return metric(router, "marjoramloom_tunnels_total{end=\"timed_out\"}");
}

} // namespace

BOOST_AUTO_TEST_SUITE(tunnel_freeze_test)

// CONFIG: callers of a router that was in touch had no answer after their route's timeout, as the router that their
// connections were tunnelled to stood still.
BOOST_AUTO_TEST_CASE(a_request_behind_a_router_that_stands_still_is_answered_by_the_time_limit_of_its_route)
{
    auto fleet = gateway_fleet(
        { .routers = 3, .callMs = 300, .onceTimeoutMs = timeoutMs, .cores = { smallCores, largeCores, largeCores } });
    auto &routers = fleet.routers();
    waitForTunnels(fleet);
    auto callers = steady_callers(routers.front(), 64);
    auto runLater =
        0; // Requests that ran after their callers were answered, which a router that goes on must not pass on.
    const auto areEnough = [&] {
        return callers.lateRequests("/post/x") >= minUnanswered && callers.lateRequests("/read/x") > 0;
    };
    for (auto stop = 0; stop < 2 || (stop < 8 && !areEnough()); ++stop) {
        const auto frozen = 1 + static_cast<std::size_t>(stop) % 2;
        BOOST_REQUIRE(waitUntil(10'000, [&] { return metric(routers.front(), "marjoramloom_tunnels") >= 24; }));
        routers[frozen].process->signal(SIGSTOP);
        sleepMs(2'500);
        const auto timedOut = callers.timedOutRequests();
        const auto startedBefore = startedRequests(fleet);
        routers[frozen].process->signal(SIGCONT);
        sleepMs(1'500);
        const auto startedAfter = startedRequests(fleet);
        runLater += static_cast<int>(std::count_if(timedOut.begin(), timedOut.end(), [&](const std::string &id) {
            return startedAfter.contains(id) && !startedBefore.contains(id);
        }));
    }
    const auto requests = callers.stop();
    const auto started = startedRequests(fleet);
    auto late = 0;
    auto unanswered = 0;
    auto waited = 0;
    for (const auto &sent : requests) {
        const auto status = sent.answer.status;
        const auto isPost = sent.path == "/post/x";
        late += isPost && sent.tookMs >= timeoutMs ? 1 : 0;
        unanswered += isPost && sent.tookMs >= timeoutMs + slackMs ? 1 : 0;
        // A longer time limit beside it is kept: these requests are answered once the router goes on.
        waited += !isPost && status == 200 && sent.tookMs >= timeoutMs ? 1 : 0;
        BOOST_TEST((isPost || status != 504), sent.id << " was cut off after " << sent.tookMs << " ms");
        // The statuses that promise that a request was not run, and never will be.
        BOOST_TEST(!((status == 429 || status == 503) && started.contains(sent.id)), sent.id << " was refused and ran");
    }
    BOOST_TEST_MESSAGE(requests.size() << " requests, late " << late << ", without an answer " << unanswered
                                       << ", answered after the stop " << waited);
    BOOST_TEST(late >= minUnanswered);
    BOOST_TEST(waited > 0);
    BOOST_TEST(!(unanswered >= minUnanswered && 4 * unanswered > late));
    BOOST_TEST(runLater == 0);
}

// MIXED: an answer that is broken off must not look complete.
BOOST_AUTO_TEST_CASE(a_stream_behind_a_router_that_stands_still_ends_incomplete_by_the_time_limit_of_its_route)
{
    auto fleet =
        gateway_fleet({ .routers = 2, .eventMs = 50, .onceTimeoutMs = timeoutMs, .cores = { 0.01, largeCores } });
    auto &routers = fleet.routers();
    waitForTunnels(fleet);
    const auto timedOutBefore = timedOutTunnels(routers.front());
    auto broken = std::atomic<int>(0);
    auto late = std::atomic<int>(0);
    auto stopper = std::thread([&] {
        sleepMs(250);
        routers[1].process->signal(SIGSTOP);
        sleepMs(2'000);
        routers[1].process->signal(SIGCONT);
    });
    runInThreads(12, [&](int thread) {
        const auto began = std::chrono::steady_clock::now();
        const auto answer = fleet.call(routers.front(), "/once/stream", "stream-" + std::to_string(thread));
        const auto took = std::chrono::steady_clock::now() - began;
        broken += answer.status == 200 && !answer.complete ? 1 : 0;
        late += took >= std::chrono::milliseconds(timeoutMs + slackMs) ? 1 : 0;
    });
    stopper.join();
    BOOST_TEST(late == 0);
    BOOST_TEST(broken > 0);
    BOOST_TEST(timedOutTunnels(routers.front()) - timedOutBefore == broken);
}

// The time limit of a tunnel must not cut off work that takes long at a router that is sound.
BOOST_AUTO_TEST_CASE(requests_that_take_long_are_answered_while_all_routers_go_on)
{
    auto fleet = gateway_fleet({ .routers = 3, .callMs = 1'600, .cores = { 0.01, largeCores, largeCores } });
    const auto &small = fleet.routers().front();
    waitForTunnels(fleet);
    auto answered = std::atomic<int>(0);
    runInThreads(16, [&](int thread) {
        const auto id = "long-" + std::to_string(thread);
        answered += fleet.call(small, "/post/x", id, "POST", "key-alpha", "body").status == 200 ? 1 : 0;
    });
    BOOST_TEST(answered == 16);
    BOOST_TEST(timedOutTunnels(small) == 0);
}

// Stops that are shorter than the time limits lose no request.
BOOST_AUTO_TEST_CASE(short_stops_of_the_serving_routers_lose_nothing)
{
    auto fleet = gateway_fleet(
        { .routers = 3, .callMs = 30, .onceTimeoutMs = timeoutMs, .cores = { smallCores, largeCores, largeCores } });
    auto &routers = fleet.routers();
    waitForTunnels(fleet);
    auto callers = steady_callers(routers.front(), 16);
    for (auto stop = 0; stop < 4; ++stop) {
        sleepMs(400);
        auto &process = *routers[1 + static_cast<std::size_t>(stop) % 2].process;
        process.signal(SIGSTOP);
        sleepMs(400);
        process.signal(SIGCONT);
    }
    sleepMs(400);
    for (const auto &sent : callers.stop()) {
        const auto status = sent.answer.status;
        BOOST_TEST((status == 200 || status == 429 || status == 503),
                   sent.id << ": status " << status << " after " << sent.tookMs << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()
