// What the callers of a run send.
#include "soak_run.h"
#include "support/keep_alive_client.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace marjoramloom::soak {

namespace {

/// Time that a caller waits for an answer.
constexpr auto callTimeout = milliseconds(4'000);
constexpr auto pauseBetweenCalls = milliseconds(100);
/// Paths of the routes that the callers request; those that end with a slash are completed by the request id.
constexpr std::array paths{ "/read/", "/post/", "/talk/stream", "/once/stream" };

auto makeRequest(const outcome &call, bool posts) -> test::http_request
{
    auto request = test::http_request();
    request.method = posts ? "POST" : "GET";
    request.target = call.path;
    request.headers = { { "Host", "desk.example" },
                        { "X-Attempt-Id", call.id },
                        { "X-Deadline-Ms", std::to_string(callTimeout.count()) },
                        { "Authorization", "Bearer " + call.key } };
    request.body = posts ? "order " + call.id : "";
    request.timeout = callTimeout;
    return request;
}

} // namespace

/// Body of a caller's thread: sends one request after the other, each to a random path, through one router.
auto soak_run::sendRequests(int caller) -> void
{
    auto random = boost::random::mt19937_64(m_options.seed * 1'000 + static_cast<std::uint64_t>(caller));
    const auto draw = [&](std::size_t count) {
        return boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(random);
    };
    const auto router = static_cast<std::size_t>(caller) % m_fleet->routers().size();
    const auto address = m_fleet->routers()[router].callers;
    auto connection = test::keep_alive_client(address);
    for (auto number = 0; !m_finished; ++number) {
        auto call = outcome();
        call.id = "c" + std::to_string(caller) + "-" + std::to_string(number);
        call.path = paths[draw(paths.size())];
        call.path += call.path.ends_with("/") ? call.id : "";
        call.router = router;
        {
            const auto lock = std::lock_guard(m_mutex);
            // One caller in four keeps using the initial key, also after it is revoked.
            call.key = caller % 4 == 0 ? "key-alpha" : (caller % 4 == 1 ? "key-beta" : m_alphaKey);
        }
        call.sentAt = elapsed();
        const auto answer = connection.call(makeRequest(call, call.path.starts_with("/post/")));
        call.endedAt = elapsed();
        call.status = answer.status;
        call.complete = answer.complete;
        call.body = answer.body;
        if (call.path == "/talk/stream" && call.status == 200) {
            takeUp(call, draw(m_fleet->routers().size()));
        }
        {
            const auto lock = std::lock_guard(m_mutex);
            m_history.outcomes.push_back(std::move(call));
        }
        std::this_thread::sleep_for(pauseBetweenCalls);
    }
}

auto soak_run::takeUp(const outcome &first, std::size_t router) -> void
{
    auto next = take_up{ .call = first, .resumed = first.id };
    next.call.id += "-taken-up";
    next.call.router = router;
    next.call.sentAt = elapsed();
    auto request = makeRequest(next.call, false);
    request.headers["Last-Event-Id"] = std::to_string(takenUpAfter);
    request.headers["Resumes"] = first.id;
    const auto answer = test::httpCall(m_fleet->routers()[router].callers, request);
    next.call.endedAt = elapsed();
    next.call.status = answer.status;
    next.call.complete = answer.complete;
    next.call.body = answer.body;
    const auto lock = std::lock_guard(m_mutex);
    m_history.takeUps.push_back(std::move(next));
}

} // namespace marjoramloom::soak
