#include "support/gateway_fleet.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;

namespace {

/// Fraction of the arrivals that servers may refuse; callers are alerted above it.
constexpr auto maxRefusedFraction = 0.1;

/// Results of callers that send one request after the other.
struct caller_totals
{
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> untrue = 0; ///< Answers that are neither a success nor a statement that the request was not run.
};

/// Sends requests to \p path through \p router until \p stop; waits a moment after a refusal.
auto callRepeatedly(gateway_fleet &fleet, const router_handle &router, const std::string &path,
                    const std::string &method, const std::string &name, const std::atomic<bool> &stop,
                    caller_totals &totals) -> void
{
    constexpr auto pauseMs = 30;
    for (auto number = 0; !stop; ++number) {
        const auto answer = fleet.call(router, path, name + "-" + std::to_string(number), method);
        ++totals.sent;
        totals.served += answer.status == 200 ? 1 : 0;
        totals.untrue += answer.status == 200 || answer.status == 429 || answer.status == 503 ? 0 : 1;
        if (answer.status != 200) {
            sleepMs(pauseMs);
        }
    }
}

/// Plan of a service of few slots behind several routers.
auto fewSlots() -> gateway_plan
{
    auto plan = gateway_plan();
    plan.routers = 6;
    plan.servers = 2;
    plan.callMs = 40;
    plan.callSlots = 2;
    plan.callQueue = 6;
    return plan;
}

struct arrivals
{
    int executed = 0;
    int refused = 0;
};

auto countArrivals(gateway_fleet &fleet) -> arrivals
{
    auto counted = arrivals();
    for (const auto &server : fleet.servers()) {
        for (const auto &entry : server->record()) {
            counted.executed += entry.at("state").as_string() == "started" ? 1 : 0;
            counted.refused += entry.at("state").as_string() == "refused" ? 1 : 0;
        }
    }
    return counted;
}

/// Loads \p fleet with more requests than its service can hold for three seconds; \p disturb runs after one second.
template<typename Disturb>
auto overload(gateway_fleet &fleet, std::size_t routers, caller_totals &reads, caller_totals &posts, Disturb disturb)
    -> void
{
    constexpr auto callersPerRouter = 10;
    auto stop = std::atomic<bool>(false);
    auto callers = std::vector<std::thread>();
    for (auto router = std::size_t(0); router < routers; ++router) {
        for (auto caller = 0; caller < callersPerRouter; ++caller) {
            const auto isRead = caller % 2 == 0;
            const auto name = std::to_string(router) + "-" + std::to_string(caller);
            callers.emplace_back([&fleet, &stop, &reads, &posts, router, isRead, name] {
                callRepeatedly(fleet, fleet.routers()[router], isRead ? "/open/x" : "/post/x", isRead ? "GET" : "POST",
                               name, stop, isRead ? reads : posts);
            });
        }
    }
    sleepMs(1'000);
    disturb();
    sleepMs(2'000);
    stop = true;
    for (auto &caller : callers) {
        caller.join();
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(full_service_test)

BOOST_AUTO_TEST_CASE(routers_together_send_a_service_of_few_slots_no_more_than_it_accepts)
{
    auto fleet = gateway_fleet(fewSlots());
    auto reads = caller_totals();
    auto posts = caller_totals();
    overload(fleet, fleet.routers().size(), reads, posts, [] {});
    const auto counted = countArrivals(fleet);
    BOOST_TEST(counted.refused <= maxRefusedFraction * (counted.refused + counted.executed));
    BOOST_TEST(reads.untrue + posts.untrue == 0);
    // Two servers with two slots each run 100 calls a second.
    BOOST_TEST(reads.served + posts.served >= 200);
}

BOOST_AUTO_TEST_CASE(a_service_of_few_slots_is_not_overfilled_for_long_when_its_dispatcher_is_killed_or_suspended)
{
    auto fleet = gateway_fleet(fewSlots());
    auto reads = caller_totals();
    auto posts = caller_totals();
    // Callers use the first half of the routers; one of the others is killed, the rest is suspended.
    const auto used = fleet.routers().size() / 2;
    overload(fleet, used, reads, posts, [&] {
        for (auto index = used; index < fleet.routers().size(); ++index) {
            fleet.routers()[index].process->signal(index == used ? SIGKILL : SIGSTOP);
        }
    });
    for (auto index = used + 1; index < fleet.routers().size(); ++index) {
        fleet.routers()[index].process->signal(SIGCONT);
    }
    const auto counted = countArrivals(fleet);
    BOOST_TEST(counted.refused <= maxRefusedFraction * (counted.refused + counted.executed));
    BOOST_TEST(reads.untrue + posts.untrue == 0);
    BOOST_TEST(reads.served + posts.served >= 200);
}

BOOST_AUTO_TEST_CASE(a_server_that_refuses_because_it_is_full_does_not_count_as_failed)
{
    auto plan = fewSlots();
    plan.routers = 1;
    plan.servers = 1;
    plan.callSlots = 1;
    plan.callQueue = 0;
    plan.callMs = 300;
    auto fleet = gateway_fleet(std::move(plan));
    const auto &router = fleet.routers().front();
    auto statuses = std::vector<unsigned>(3);
    auto callers = std::vector<std::thread>();
    for (auto index = std::size_t(0); index < statuses.size(); ++index) {
        callers.emplace_back(
            [&, index] { statuses[index] = fleet.call(router, "/open/x", std::to_string(index)).status; });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    BOOST_TEST(std::count(statuses.begin(), statuses.end(), 200U) == 1);
    BOOST_TEST(countArrivals(fleet).refused >= 1);
    BOOST_TEST(fleet.readLog(router).find("event=server_failed") == std::string::npos);
    BOOST_TEST(fleet.call(router, "/open/x", "later").status == 200U);
}

BOOST_AUTO_TEST_SUITE_END()
