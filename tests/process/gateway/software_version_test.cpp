#include "support/mixed_fleet.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace marjoramloom::test;

namespace {

/// Streams that are taken up in one test.
constexpr int takeUps = 12;
constexpr int settleMs = mixed_fleet::SETTLE_MS;

} // namespace

BOOST_AUTO_TEST_SUITE(software_version_test)

BOOST_AUTO_TEST_CASE(a_stream_goes_on_within_an_answer_only_at_the_version_that_began_it)
{
    auto mixed = mixed_fleet(1);
    // The servers of both versions break off their next stream, so that the first attempt fails.
    for (auto round = 0; round < takeUps; ++round) {
        for (auto &server : mixed.fleet().servers()) {
            server->setFaults(R"([{"kind":"die","events":4,"count":1,"match":"s-"}])");
        }
        const auto id = "s-" + std::to_string(round);
        const auto answer = mixed.send(0, id);
        BOOST_TEST(answer.status == 200U);
        auto versions = std::set<std::string>();
        for (auto index = std::size_t(0); index < mixed.fleet().servers().size(); ++index) {
            for (const auto &entry : mixed.fleet().servers()[index]->record()) {
                if (entry.at("request_id").as_string() == id && entry.at("state").as_string() == "started") {
                    versions.insert(mixed.versions()[index]);
                }
            }
        }
        BOOST_TEST(versions.size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_stream_that_a_caller_takes_up_at_another_router_goes_on_at_the_version_that_began_it)
{
    auto mixed = mixed_fleet(3);
    auto resumed = 0;
    for (auto round = 0; round < takeUps; ++round) {
        const auto id = "first-" + std::to_string(round);
        mixed.send(0, id);
        const auto takeUp = "next-" + std::to_string(round);
        const auto answer = mixed.send(1 + static_cast<std::size_t>(round) % 2, takeUp, id, 4);
        if (answer.status == 200U) {
            ++resumed;
            BOOST_TEST(answer.complete);
            BOOST_TEST(mixed.versionOf(takeUp) == mixed.versionOf(id));
        }
    }
    BOOST_TEST(resumed == takeUps);
}

BOOST_AUTO_TEST_CASE(a_stream_whose_router_was_killed_goes_on_at_the_version_that_began_it)
{
    auto mixed = mixed_fleet(4);
    for (auto round = 0; round < takeUps; ++round) {
        mixed.send(0, "first-" + std::to_string(round));
    }
    mixed.fleet().routers()[0].process->signal(SIGKILL);
    for (auto round = 0; round < takeUps; ++round) {
        const auto takeUp = "next-" + std::to_string(round);
        const auto answer =
            mixed.send(1 + static_cast<std::size_t>(round) % 3, takeUp, "first-" + std::to_string(round), 4);
        BOOST_TEST(answer.status == 200U);
        BOOST_TEST(mixed.versionOf(takeUp) == mixed.versionOf("first-" + std::to_string(round)));
    }
}

BOOST_AUTO_TEST_CASE(a_take_up_whose_version_nobody_knows_is_refused_as_not_run)
{
    auto mixed = mixed_fleet(2);
    for (auto round = 0; round < takeUps; ++round) {
        const auto takeUp = "next-" + std::to_string(round);
        const auto answer = mixed.send(static_cast<std::size_t>(round) % 2, takeUp, "unknown-" + takeUp, 4);
        BOOST_TEST(isNotRun(answer));
        BOOST_TEST(mixed.versionOf(takeUp).empty());
    }
}

BOOST_AUTO_TEST_CASE(after_the_death_of_all_routers_streams_of_two_versions_are_not_joined)
{
    auto mixed = mixed_fleet(2);
    sleepMs(settleMs);
    for (auto round = 0; round < takeUps; ++round) {
        mixed.send(0, "first-" + std::to_string(round));
    }
    for (auto &router : mixed.fleet().routers()) {
        router.process->signal(SIGKILL);
    }
    sleepMs(100);
    // The old version has left when the routers return.
    for (const auto index : { std::size_t(0), std::size_t(1) }) {
        mixed.fleet().removeObject("servers", mixed.fleet().servers()[index]->name());
    }
    for (auto &router : mixed.fleet().routers()) {
        mixed.fleet().start(router);
    }
    sleepMs(settleMs);
    for (auto round = 0; round < takeUps; ++round) {
        const auto id = "first-" + std::to_string(round);
        const auto takeUp = "next-" + std::to_string(round);
        const auto answer = mixed.send(static_cast<std::size_t>(round) % 2, takeUp, id, 4);
        BOOST_TEST((isNotRun(answer) || mixed.versionOf(takeUp) == mixed.versionOf(id)));
    }
    BOOST_TEST(mixed.send(0, "new").status == 200U);
}

BOOST_AUTO_TEST_CASE(while_one_version_serves_streams_are_taken_up_after_the_death_of_all_routers)
{
    auto mixed = mixed_fleet(2, { "v1", "v1", "v1", "v1" });
    sleepMs(settleMs);
    mixed.send(0, "first");
    BOOST_TEST(mixed.send(1, "next", "first", 4).status == 200U);
    for (auto &router : mixed.fleet().routers()) {
        router.process->signal(SIGKILL);
    }
    sleepMs(100);
    for (auto &router : mixed.fleet().routers()) {
        mixed.fleet().start(router);
    }
    sleepMs(settleMs);
    BOOST_TEST(mixed.send(0, "after", "first", 4).status == 200U);
}

BOOST_AUTO_TEST_CASE(a_record_of_versions_that_the_store_lost_is_written_again)
{
    auto mixed = mixed_fleet(2);
    const auto isWritten = [&] {
        const auto answer =
            httpCall(mixed.fleet().store().address(), { "GET", "/v1/objects/routers/software-versions", {}, {} });
        return answer.status == 200U && answer.body.find("v2") != std::string::npos;
    };
    BOOST_TEST(waitUntil(5'000, isWritten));
    BOOST_TEST(mixed.fleet().removeObject("routers", "software-versions"));
    BOOST_TEST(!isWritten());
    // The routers' objects are read every 15 s.
    BOOST_TEST(waitUntil(20'000, isWritten));
}

BOOST_AUTO_TEST_CASE(streams_begun_before_a_second_version_appeared_are_taken_up)
{
    auto mixed = mixed_fleet(3, { "v1", "v1", "v1", "v1" });
    sleepMs(settleMs);
    for (auto round = 0; round < takeUps; ++round) {
        mixed.send(0, "first-" + std::to_string(round));
    }
    mixed.replace(3, "v2");
    sleepMs(settleMs);
    for (auto round = 0; round < takeUps; ++round) {
        const auto takeUp = "next-" + std::to_string(round);
        BOOST_TEST(mixed.send(1, takeUp, "first-" + std::to_string(round), 4).status == 200U);
        BOOST_TEST(mixed.versionOf(takeUp) == "v1");
    }
}

BOOST_AUTO_TEST_SUITE_END()
