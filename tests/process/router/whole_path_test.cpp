#include "support/fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;

namespace {

auto startedRequestCount(standin &engine) -> std::size_t
{
    auto count = std::size_t(0);
    for (const auto &entry : engine.record()) {
        count += entry.at("state").as_string() == "started" ? 1 : 0;
    }
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(whole_path_test)

BOOST_AUTO_TEST_CASE(every_kind_of_request_is_served_through_every_router)
{
    auto all = fleet();
    for (const auto &router : all.routers()) {
        const auto prompt = "status of coach 7 at " + router.name + " tokens=30";
        BOOST_TEST(answerText(all.chat(router, "alpha", prompt)) == expectedText(prompt));
        const auto streamed = all.chat(router, "beta", prompt, true);
        BOOST_TEST(streamed.complete);
        BOOST_TEST(streamEnded(streamed.body));
        BOOST_TEST(streamedText(streamed.body) == expectedText(prompt));
        const auto review = all.chat(router, "gamma", prompt, false, "review");
        BOOST_TEST(answerText(review) == expectedText(prompt));
        BOOST_TEST(all.callService(router, "alpha", "stock", "/check", "{}").status == 200U);
        BOOST_TEST(all.callService(router, "alpha", "orders", "/place", "{}", "key-" + router.name).status == 200U);
    }
}

BOOST_AUTO_TEST_CASE(an_operators_change_becomes_active_on_every_router)
{
    auto all = fleet();
    const auto otherKey = std::string(64, 'a');
    BOOST_TEST(
        all.apply(all.routers().back(), "[[client_account]]\nname = \"alpha\"\nkey_hashes = [\"" + otherKey + "\"]\n")
        == 0);
    const auto isActiveEverywhere = [&] {
        for (const auto &router : all.routers()) {
            if (all.chat(router, "alpha", "hello tokens=2").status != 401U) {
                return false;
            }
        }
        return true;
    };
    BOOST_TEST(waitUntil(5'000, isActiveEverywhere));
}

BOOST_AUTO_TEST_CASE(a_retried_order_gets_the_stored_answer_from_any_router)
{
    auto all = fleet();
    const auto first = all.callService(all.routers().front(), "alpha", "orders", "/place", "{\"coach\":1}", "k");
    const auto second = all.callService(all.routers().back(), "alpha", "orders", "/place", "{\"coach\":1}", "k");
    BOOST_TEST(first.status == 200U);
    BOOST_TEST(second.body == first.body);
    BOOST_TEST(second.headers.count("idempotency-replayed") == 1U);
    const auto other = all.callService(all.routers().back(), "alpha", "orders", "/place", "{\"coach\":2}", "k");
    BOOST_TEST(other.status == 422U);
    auto executed = std::size_t(0);
    for (const auto &server : all.orderServers()) {
        executed += server->record().size();
    }
    BOOST_TEST(executed == 1U);
}

BOOST_AUTO_TEST_CASE(a_stopping_router_finishes_its_streams)
{
    auto plan = fleet_plan();
    plan.tokenMs = 20;
    auto all = fleet(plan);
    auto &router = all.routers().front();
    const auto prompt = std::string("a long status tokens=150");
    auto answer = http_answer();
    auto caller = std::thread([&] { answer = all.chat(router, "alpha", prompt, true); });
    const auto hasStarted = [&] {
        return startedRequestCount(*all.engines().front()) > 0;
    };
    BOOST_TEST(waitUntil(5'000, hasStarted));
    router.process->signal(SIGTERM);
    caller.join();
    BOOST_TEST(answer.complete);
    BOOST_TEST(streamedText(answer.body) == expectedText(prompt));
    BOOST_TEST(router.process->waitForExit(15'000).value_or(-1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
