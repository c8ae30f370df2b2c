#include "support/fleet.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>
#include <thread>

using namespace marjoramloom::test;

namespace {

constexpr auto maxWaitMs = 30'000;

/// A fleet of two data centres with order servers, and helpers that place and count orders.
struct order_fleet
{
    explicit order_fleet(int routersPerDataCentre = 1, int callMs = 0)
        : instances(plan(routersPerDataCentre, callMs))
    {
    }

    static auto plan(int routersPerDataCentre, int callMs) -> fleet_plan
    {
        auto result = fleet_plan();
        result.routersPerDataCentre = routersPerDataCentre;
        result.enginesPerDataCentre = 0;
        result.callMs = callMs;
        return result;
    }

    auto place(std::size_t router, const std::string &key) -> http_answer
    {
        return instances.callService(instances.routers()[router], "alpha", "orders", "/deposit/" + key, "{\"coach\":1}",
                                     key);
    }

    /// Places an order in the background; it may end without an answer.
    auto placeInBackground(std::size_t router, std::string key) -> std::thread
    {
        return std::thread([this, router, key] { place(router, key); });
    }

    /// How often the order servers executed the order, according to their own records.
    auto executions(const std::string &key) -> int
    {
        auto count = 0;
        for (const auto &server : instances.orderServers()) {
            for (const auto &entry : server->record()) {
                count += boost::json::value_to<std::string>(entry.at("path")).ends_with("/deposit/" + key) ? 1 : 0;
            }
        }
        return count;
    }

    /// Repeats the request until the outcome is final: a stored answer (200) or an unknown outcome (504).
    auto placeUntilFinal(std::size_t router, const std::string &key) -> http_answer
    {
        auto answer = http_answer();
        waitUntil(maxWaitMs, [&] {
            answer = place(router, key);
            return answer.status == 200 || answer.status == 504;
        });
        return answer;
    }

    fleet instances;
};

auto saysNotRun(const http_answer &answer) -> bool
{
    return answer.headers.contains("x-not-run");
}

auto sleepMs(int milliseconds) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

constexpr auto delayClaims = R"([{"kind":"delay","ms":600,"match":"order/","method":"POST"}])";
constexpr auto delayOutcome = R"([{"kind":"delay","ms":600,"match":"order/","method":"PUT"}])";

} // namespace

BOOST_AUTO_TEST_SUITE(order_faults_test)

// Guards against routers that each send the order when requests with one key reach them at the same time.
BOOST_AUTO_TEST_CASE(concurrent_requests_with_one_key_execute_the_order_once)
{
    constexpr auto keys = 15;
    auto orders = order_fleet(2);
    const auto routers = orders.instances.routers().size();
    for (auto number = 0; number < keys; ++number) {
        const auto key = "at-once-" + std::to_string(number);
        auto answers = std::vector<http_answer>(routers);
        auto callers = std::vector<std::thread>();
        for (auto router = std::size_t(0); router < routers; ++router) {
            callers.emplace_back([&, router] { answers[router] = orders.place(router, key); });
        }
        for (auto &caller : callers) {
            caller.join();
        }
        BOOST_TEST(orders.executions(key) == 1);
        for (const auto &answer : answers) {
            BOOST_TEST(answer.status == 200U);
            BOOST_TEST(answer.body == answers.front().body);
            BOOST_TEST(!saysNotRun(answer));
        }
    }
    BOOST_TEST(
        orders.instances
            .callService(orders.instances.routers()[0], "alpha", "orders", "/deposit/at-once-0", "{}", "at-once-0")
            .status
        == 422U);
    BOOST_TEST(
        orders.instances.callService(orders.instances.routers()[0], "alpha", "orders", "/deposit/no-key", "{}").status
        == 400U);
    BOOST_TEST(orders.executions("no-key") == 0);
}

// Guards against a second execution, or a false "not run", when the claiming router is killed and the client retries
// through another one.
BOOST_AUTO_TEST_CASE(killing_a_router_at_any_step_never_executes_an_order_twice)
{
    auto orders = order_fleet(1, 300);
    struct kill_point
    {
        const char *name;
        const char *faults;
        int afterMs;
    };
    // While the claim is in flight, while the order server executes the order, and while the outcome is being stored.
    for (const auto &point : { kill_point{ "claim", delayClaims, 250 }, kill_point{ "sent", "[]", 150 },
                               kill_point{ "outcome", delayOutcome, 600 } }) {
        orders.instances.platform().setFaults(point.faults);
        auto caller = orders.placeInBackground(0, point.name);
        sleepMs(point.afterMs);
        orders.instances.routers()[0].process->signal(SIGKILL);
        caller.join();
        const auto retry = orders.place(1, point.name);
        sleepMs(1'000);
        const auto executed = orders.executions(point.name);
        BOOST_TEST_MESSAGE(point.name << ": executed " << executed << ", retry status " << retry.status);
        BOOST_TEST(executed <= 1);
        BOOST_TEST(!(saysNotRun(retry) && executed > 0));
        BOOST_TEST((retry.status == 200 || retry.status == 409 || retry.status == 504));
        BOOST_TEST((retry.status != 200 || executed == 1));
        orders.instances.platform().setFaults("[]");
        orders.instances.restart(orders.instances.routers()[0]);
        orders.place(0, point.name);
        BOOST_TEST(orders.executions(point.name) == executed);
        auto listing = std::string();
        BOOST_TEST(orders.instances.command(orders.instances.routers()[0], { "orders", "--json" }, &listing) == 0);
        BOOST_TEST((retry.status == 200 || listing.find("\"started\"") != std::string::npos));
    }
}

// Guards against a takeover of the claim of a router that is only paused: it sends the order after it resumes.
BOOST_AUTO_TEST_CASE(the_claim_of_a_paused_router_is_not_taken_over)
{
    auto orders = order_fleet();
    orders.instances.platform().setFaults(delayClaims);
    auto caller = orders.placeInBackground(0, "paused");
    sleepMs(250);
    orders.instances.routers()[0].process->signal(SIGSTOP);
    const auto meanwhile = orders.place(1, "paused");
    BOOST_TEST((meanwhile.status == 409 || meanwhile.status == 504));
    BOOST_TEST(!saysNotRun(meanwhile));
    BOOST_TEST(orders.executions("paused") == 0);
    orders.instances.routers()[0].process->signal(SIGCONT);
    caller.join();
    orders.instances.platform().setFaults("[]");
    const auto final = orders.placeUntilFinal(1, "paused");
    BOOST_TEST(final.status == 200U);
    BOOST_TEST(orders.executions("paused") == 1);
}

// Guards against lost or repeated orders when the platform is down, loses the answer to a claim, or applies it late.
BOOST_AUTO_TEST_CASE(platform_faults_neither_lose_nor_repeat_an_order)
{
    auto orders = order_fleet();
    orders.instances.platform().setFaults(R"([{"kind":"outage"}])");
    BOOST_TEST(orders.place(0, "outage").status == 503U);
    orders.instances.platform().setFaults(R"([{"kind":"lose_answer","match":"order/","count":1}])");
    BOOST_TEST(orders.place(0, "lost").status == 200U);
    BOOST_TEST(orders.executions("lost") == 1);
    orders.instances.platform().setFaults(R"([{"kind":"land_late","ms":700,"match":"order/","count":1}])");
    BOOST_TEST(orders.place(0, "late").status == 200U);
    BOOST_TEST(orders.executions("late") == 1);
    // The claim takes effect but gets no answer, so the router gives up and releases it, and a retry can claim anew.
    orders.instances.platform().setFaults(R"([{"kind":"lose_answer","match":"order/"}])");
    BOOST_TEST(orders.place(0, "released").status == 503U);
    BOOST_TEST(orders.executions("released") == 0);
    orders.instances.platform().setFaults("[]");
    BOOST_TEST(orders.placeUntilFinal(1, "released").status == 200U);
    BOOST_TEST(orders.executions("released") == 1);
    BOOST_TEST(orders.executions("outage") == 0);
}

// Guards against the loss of an outcome when the platform refuses its write, also while the router shuts down.
BOOST_AUTO_TEST_CASE(an_outcome_is_stored_after_an_outage_or_at_shutdown)
{
    auto orders = order_fleet();
    const auto refuseOutcomes = R"([{"kind":"outage","match":"order/","method":"PUT"}])";
    orders.instances.platform().setFaults(refuseOutcomes);
    const auto first = orders.place(0, "later");
    BOOST_TEST(first.status == 200U);
    orders.instances.platform().setFaults("[]");
    BOOST_TEST(orders.placeUntilFinal(1, "later").body == first.body);
    orders.instances.platform().setFaults(refuseOutcomes);
    const auto second = orders.place(0, "at-stop");
    BOOST_TEST(second.status == 200U);
    orders.instances.routers()[0].process->signal(SIGTERM);
    sleepMs(1'500);
    orders.instances.platform().setFaults("[]");
    BOOST_TEST(orders.instances.routers()[0].process->waitForExit(maxWaitMs).value_or(-1) == 0);
    BOOST_TEST(orders.placeUntilFinal(1, "at-stop").body == second.body);
    BOOST_TEST(orders.executions("later") == 1);
    BOOST_TEST(orders.executions("at-stop") == 1);
}

// Guards against a retry that executes the order again after the order server executed it but did not answer.
BOOST_AUTO_TEST_CASE(an_order_without_an_answer_has_an_unknown_outcome)
{
    auto orders = order_fleet();
    for (auto &server : orders.instances.orderServers()) {
        server->setFaults(R"([{"kind":"lose_answer"}])");
    }
    const auto first = orders.place(0, "silent");
    BOOST_TEST(first.status == 504U);
    BOOST_TEST(!saysNotRun(first));
    const auto retry = orders.place(1, "silent");
    BOOST_TEST(retry.status == 504U);
    BOOST_TEST(orders.executions("silent") == 1);
}

BOOST_AUTO_TEST_SUITE_END()
