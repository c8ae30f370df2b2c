#include "call_fixture.h"
#include "fake_service.h"
#include "marjoramloom/call/plain_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

/// Two plain services, and a call that either may run.
struct plain_fixture
{
    call_fixture calls{ 0 };
    fake_service first{ calls.context };
    fake_service second{ calls.context };
    plain_work work;

    explicit plain_fixture(bool repeatable)
    {
        calls.grants.servers = { { 1 }, { 2 } };
        const auto addresses = std::map<std::uint64_t, std::string>{ { 1, first.address() }, { 2, second.address() } };
        calls.environment.addressOf = [addresses](object_id server) {
            return std::optional(addresses.at(server.value));
        };
        work.request = { "order-1", "POST", "/orders", "application/json", "coach", repeatable };
        work.treatment.retries = 2;
        work.limits.answer = std::chrono::milliseconds(100);
        work.limits.reconnectAfter = std::chrono::milliseconds(50);
        work.limits.answerBytes = 10'000;
    }

    auto run() -> plain_result
    {
        work.arrived = std::chrono::steady_clock::now();
        auto control = call_control::make(calls.context.get_executor());
        auto ended = std::optional<plain_result>();
        boost::asio::co_spawn(calls.context, runPlainCall(calls.environment, calls.grants, control, work),
                              [&](std::exception_ptr, plain_result result) { ended = std::move(result); });
        calls.context.restart();
        while (!ended) {
            calls.context.run_one();
        }
        calls.settle();
        return *ended;
    }

    [[nodiscard]] auto executions() const -> std::size_t
    {
        return first.executed.size() + second.executed.size();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(plain_call_test)

BOOST_AUTO_TEST_CASE(a_complete_answer_is_returned)
{
    auto fixture = plain_fixture(false);
    const auto result = fixture.run();
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_REQUIRE(result.answer.has_value());
    BOOST_TEST(result.answer->body == "{\"echo\":\"coach\"}");
    BOOST_TEST(fixture.executions() == 1U);
}

BOOST_AUTO_TEST_CASE(a_failed_connect_allows_another_server_to_run_the_call)
{
    auto fixture = plain_fixture(false);
    fixture.first.stopListening();
    const auto result = fixture.run();
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(fixture.executions() == 1U);
}

BOOST_AUTO_TEST_CASE(a_call_is_not_run_if_no_server_can_be_reached)
{
    auto fixture = plain_fixture(false);
    fixture.first.stopListening();
    fixture.second.stopListening();
    const auto result = fixture.run();
    BOOST_TEST(nameOf(result.state) == "not_run");
    BOOST_TEST(fixture.executions() == 0U);
}

BOOST_AUTO_TEST_CASE(a_non_repeatable_call_is_not_resent_after_its_first_byte)
{
    for (const auto behaviour :
         { service_behaviour::closeBeforeRead, service_behaviour::closeAfterRun, service_behaviour::closeInAnswer,
           service_behaviour::silentAfterRun, service_behaviour::largeAnswer }) {
        auto fixture = plain_fixture(false);
        fixture.first.plan = { behaviour };
        const auto result = fixture.run();
        BOOST_TEST(nameOf(result.state) == "unknown_outcome");
        BOOST_TEST(result.attempts == 1U);
        BOOST_TEST(fixture.executions() <= 1U);
        BOOST_TEST(fixture.second.executed.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_call_refused_by_a_leaving_server_runs_on_another)
{
    auto fixture = plain_fixture(false);
    fixture.work.treatment.retries = 0;
    fixture.first.plan = { service_behaviour::refuseLeaving };
    const auto result = fixture.run();
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(fixture.second.executed.size() == 1U);
    BOOST_TEST(fixture.calls.leaving.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_repeatable_call_is_retried_after_a_failure)
{
    for (const auto behaviour : { service_behaviour::closeBeforeRead, service_behaviour::closeAfterRun,
                                  service_behaviour::closeInAnswer, service_behaviour::silentAfterRun }) {
        auto fixture = plain_fixture(true);
        fixture.first.plan = { behaviour };
        const auto result = fixture.run();
        BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
        BOOST_TEST(fixture.calls.grants.running.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_failed_retry_does_not_hide_that_the_call_may_have_run)
{
    auto fixture = plain_fixture(true);
    fixture.first.plan = { service_behaviour::closeAfterRun };
    fixture.second.stopListening();
    const auto result = fixture.run();
    BOOST_TEST(nameOf(result.state) == "unknown_outcome");
    BOOST_TEST(fixture.executions() == 1U);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_that_went_silent_is_replaced)
{
    auto fixture = plain_fixture(true);
    fixture.calls.grants.servers.resize(1);
    fixture.work.treatment.retries = 0;
    fixture.first.plan = { service_behaviour::answerOnceThenSilent };
    BOOST_TEST(nameOf(fixture.run().state) == "complete");
    const auto result = fixture.run();
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(result.attempts == 1U);
}

BOOST_AUTO_TEST_CASE(retries_stop_when_their_budget_is_used_up)
{
    auto budget = retry_budget(0.1, 7);
    auto taken = 0;
    while (budget.take()) {
        ++taken;
    }
    for (auto call = 0; call < 1000; ++call) {
        budget.onCall();
        taken += budget.take() ? 1 : 0;
    }
    // A tenth of the 1000 calls, and the initial budget of 10.
    BOOST_TEST(taken <= 110);
    BOOST_TEST(taken >= 100);
}

BOOST_AUTO_TEST_CASE(retry_backoff_has_full_jitter_below_a_doubling_ceiling)
{
    auto budget = retry_budget(0.1, 7);
    auto longest = duration();
    auto shortest = duration::max();
    for (auto draw = 0; draw < 1000; ++draw) {
        const auto pause = budget.backoff(3);
        longest = std::max(longest, pause);
        shortest = std::min(shortest, pause);
    }
    BOOST_TEST(toSeconds(longest) <= 0.4);
    BOOST_TEST(toSeconds(longest) > 0.36);
    BOOST_TEST(toSeconds(shortest) < 0.04);
}

BOOST_AUTO_TEST_SUITE_END()
