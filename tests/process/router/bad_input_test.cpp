#include "support/fleet.h"
#include "support/raw_connection.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom::test;

namespace {

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

auto failedStep(const http_answer &answer) -> std::string
{
    auto error = boost::system::error_code();
    const auto body = boost::json::parse(answer.body, error);
    const auto *step = error ? nullptr : body.find_pointer("/error/step", error);
    return step ? std::string(step->as_string()) : std::string();
}

auto servesRequests(fleet &all) -> bool
{
    const auto prompt = std::string("are you there tokens=3");
    return answerText(all.chat(all.routers().front(), "alpha", prompt)) == expectedText(prompt);
}

auto smallFleet() -> fleet_plan
{
    auto plan = fleet_plan();
    plan.dataCentres = { "north" };
    plan.settings = "[limits]\nbody_bytes = 4096\nheader_timeout_ms = 500\nidle_timeout_ms = 2000\n";
    return plan;
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_input_test)

BOOST_AUTO_TEST_CASE(invalid_requests_are_rejected_with_the_failed_step_and_not_run)
{
    auto all = fleet(smallFleet());
    auto &router = all.routers().front();
    const auto unknownAccount = all.chat(router, "nobody", "hello");
    BOOST_TEST(unknownAccount.status == 401U);
    BOOST_TEST(failedStep(unknownAccount) == "authenticate");
    const auto unknownModel = all.chat(router, "alpha", "hello", false, "no-such-model");
    BOOST_TEST(unknownModel.status == 404U);
    BOOST_TEST(failedStep(unknownModel) == "find service");
    const auto keyMissing = all.callService(router, "alpha", "orders", "/place", "{}");
    BOOST_TEST(keyMissing.status == 400U);
    BOOST_TEST(keyMissing.headers.count("x-not-run") == 1U);
    auto malformed = http_request();
    malformed.method = "POST";
    malformed.target = "/v1/chat/completions";
    malformed.headers = { { "Authorization", "Bearer key-alpha" } };
    malformed.body = "{\"model\":";
    BOOST_TEST(httpCall(router.callers, malformed).status == 400U);
    malformed.body = std::string(5'000, 'x');
    BOOST_TEST(httpCall(router.callers, malformed).status == 413U);
    for (const auto &engine : all.engines()) {
        BOOST_TEST(engine->record().empty());
    }
    BOOST_TEST(servesRequests(all));
}

BOOST_AUTO_TEST_CASE(protocol_violations_are_counted_and_do_not_affect_other_callers)
{
    auto all = fleet(smallFleet());
    auto &router = all.routers().front();
    auto garbage = raw_connection(router.callers);
    garbage.send("this is not HTTP\r\n\r\n");
    BOOST_TEST(contains(garbage.readAll(), "400"));
    auto slow = raw_connection(router.callers);
    slow.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Le");
    BOOST_TEST(servesRequests(all));
    slow.readAll();
    auto halfClosed = raw_connection(router.callers);
    halfClosed.send("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n{}");
    halfClosed.closeSending();
    halfClosed.readAll();
    BOOST_TEST(all.metric(router, "marjoramloom_bad_requests_total{listener=\"callers\"}") == 3);
    BOOST_TEST(servesRequests(all));
}

BOOST_AUTO_TEST_CASE(garbage_on_the_peer_port_does_not_affect_callers)
{
    auto all = fleet(smallFleet());
    for (auto attempt = 0; attempt < 20; ++attempt) {
        auto garbage = raw_connection(all.routers().front().peers);
        garbage.send(std::string(64, static_cast<char>(attempt)));
        garbage.closeSending();
    }
    BOOST_TEST(servesRequests(all));
}

BOOST_AUTO_TEST_CASE(operators_need_their_key_and_an_invalid_change_is_not_applied)
{
    auto all = fleet(smallFleet());
    auto &router = all.routers().front();
    BOOST_TEST(httpCall(router.operators, { "GET", "/v1/status", {}, "" }).status == 401U);
    auto output = std::string();
    BOOST_TEST(all.apply(router, "[[service]]\nname = \"x\"\nkind = \"model\"\nprofile = \"absent\"\n") != 0);
    BOOST_TEST(all.configurationSequenceAt(router) == 1);
    BOOST_TEST(servesRequests(all));
}

BOOST_AUTO_TEST_SUITE_END()
