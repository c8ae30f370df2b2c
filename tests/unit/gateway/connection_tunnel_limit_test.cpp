// What is done with a tunnel whose router does not answer.
#include "connection_tunnel_fixture.h"

using namespace marjoramloom;
using namespace marjoramloom::test;

BOOST_AUTO_TEST_SUITE(connection_tunnel_limit_test)

// Bytes of a request that were held up on the way must not arrive once its caller was answered.
BOOST_AUTO_TEST_CASE(the_caller_gets_the_answer_and_the_connection_to_the_router_is_reset)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->send("request");
    BOOST_REQUIRE(rig.pumpUntil([&] { return rig.tunnel->hasRequest(); }));
    BOOST_TEST(rig.tunnel->takeRequestProgress());
    BOOST_TEST(!rig.tunnel->takeRequestProgress());
    BOOST_TEST(!rig.tunnel->hasAnswer());
    rig.tunnel->answerCaller("answer");
    rig.caller->send(" and more");
    BOOST_TEST(rig.pumpUntil([&] { return rig.caller->readUntilEnd(); }));
    BOOST_TEST(rig.caller->received == "answer");
    BOOST_TEST(!rig.caller->isReset);
    BOOST_TEST(waitFor([&] { return rig.router->readUntilEnd(); }));
    BOOST_TEST(rig.router->isReset);
    BOOST_TEST(rig.router->received == "request");
    rig.caller->close();
    BOOST_TEST(rig.pumpUntil([&] { return rig.tunnel->current() == connection_tunnel::state::closed; }));
}

// The end of a large request that the router does not take must not keep the answer from the caller.
BOOST_AUTO_TEST_CASE(a_caller_that_still_sends_gets_the_answer)
{
    auto rig = tunnel_rig(nullptr, 16 << 10);
    rig.open();
    const auto request = std::string(std::size_t(8) << 20U, 'x');
    auto sent = std::size_t(0);
    for (auto round = 0; round < 50; ++round) {
        rig.caller->send(request, sent);
        rig.pump(1);
    }
    BOOST_REQUIRE(sent < request.size());
    rig.tunnel->answerCaller("answer");
    BOOST_TEST(rig.pumpUntil([&] {
        rig.caller->send(request, sent);
        return rig.caller->readUntilEnd() && sent == request.size();
    }));
    BOOST_TEST(rig.caller->received == "answer");
    BOOST_TEST(!rig.caller->isReset);
}

// An answer of the router must not follow the one that the caller was given.
BOOST_AUTO_TEST_CASE(what_the_router_sends_afterwards_does_not_reach_the_caller)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->send("request");
    BOOST_REQUIRE(rig.pumpUntil([&] { return rig.tunnel->hasRequest(); }));
    rig.router->send("late answer");
    rig.tunnel->answerCaller("answer");
    BOOST_TEST(rig.pumpUntil([&] { return rig.caller->readUntilEnd(); }));
    BOOST_TEST(rig.caller->received == "answer");
}

BOOST_AUTO_TEST_CASE(an_answer_that_has_begun_ends_without_its_rest)
{
    auto rig = tunnel_rig();
    rig.open();
    rig.caller->send("request");
    rig.router->send("begin");
    BOOST_REQUIRE(rig.pumpUntil([&] { return rig.tunnel->hasAnswer() && rig.tunnel->hasRequest(); }));
    BOOST_TEST(!rig.tunnel->isCallerBehind());
    rig.tunnel->breakOff();
    BOOST_TEST((rig.tunnel->current() == connection_tunnel::state::closed));
    BOOST_TEST(waitFor([&] { return rig.caller->readUntilEnd() && rig.router->readUntilEnd(); }));
    BOOST_TEST(rig.caller->received == "begin");
    BOOST_TEST(rig.router->isReset);
}

// A slow reader is no reason to break off its answer.
BOOST_AUTO_TEST_CASE(a_caller_that_does_not_read_is_behind)
{
    auto rig = tunnel_rig(nullptr, 16 << 10);
    rig.open();
    const auto answer = std::string(std::size_t(48) << 20U, 'x');
    auto sent = std::size_t(0);
    BOOST_TEST(rig.pumpUntil([&] {
        rig.router->send(answer, sent);
        return rig.tunnel->isCallerBehind();
    }));
}

BOOST_AUTO_TEST_SUITE_END()
