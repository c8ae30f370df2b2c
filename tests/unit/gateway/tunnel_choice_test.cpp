#include "marjoramloom/gateway/decisions/tunnel_choice.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto requestSeconds = tunnel_choice::CONNECTION_COST;
constexpr auto isKnown = [](std::uint64_t) {
    return true;
};

auto useOf(std::uint64_t router, double cores, double demand, time_point measuredAt) -> router_use
{
    return { .router = router, .cores = cores, .use = demand, .demand = demand, .measuredAt = measuredAt };
}

/// Draws \p count routers at once and counts how often each one is drawn; 0 stands for none.
auto draw(tunnel_choice &choice, int count, boost::random::mt19937_64 &random, time_point now)
    -> std::map<std::uint64_t, int>
{
    auto drawn = std::map<std::uint64_t, int>();
    for (auto index = 0; index < count; ++index) {
        ++drawn[choice.choose(isKnown, random, now).value_or(0)];
    }
    return drawn;
}

/// The same with new reports before each draw, so that no router's room is used up.
auto drawOneByOne(std::vector<router_use> reports, int count, boost::random::mt19937_64 &random, time_point now)
    -> std::map<std::uint64_t, int>
{
    auto choice = tunnel_choice();
    auto drawn = std::map<std::uint64_t, int>();
    for (auto index = 0; index < count; ++index) {
        now += 1us;
        for (auto &report : reports) {
            report.measuredAt = now;
        }
        choice.setReports(reports, now);
        ++drawn[choice.choose(isKnown, random, now).value_or(0)];
    }
    return drawn;
}

} // namespace

BOOST_AUTO_TEST_SUITE(tunnel_choice_test)

BOOST_AUTO_TEST_CASE(without_a_candidate_nothing_is_chosen)
{
    const auto now = time_point(100s);
    auto random = boost::random::mt19937_64(1);
    auto choice = tunnel_choice();
    BOOST_TEST(!choice.hasRoom(now));
    BOOST_TEST(!choice.choose(isKnown, random, now).has_value());
    choice.setReports({ useOf(1, 1, 0.1, now) }, now);
    BOOST_TEST(choice.hasRoom(now));
    BOOST_TEST(choice.choose(isKnown, random, now).value() == 1U);
    // Its reports became too old.
    choice.setReports({}, now);
    BOOST_TEST(!choice.hasRoom(now));
    BOOST_TEST(!choice.choose(isKnown, random, now).has_value());
}

// A connection that is sent to a router which stops or has no time is worse than one that is served late here.
BOOST_AUTO_TEST_CASE(an_unavailable_or_overloaded_router_is_never_chosen)
{
    const auto now = time_point(100s);
    auto random = boost::random::mt19937_64(2);
    auto stopping = useOf(1, 8, 0, now);
    stopping.reason = absence_reason::unavailable;
    const auto full = useOf(2, 8, tunnel_choice::MAX_DEMAND, now);
    auto busy = useOf(3, 8, 0, now);
    busy.use = 0.9;
    auto growing = useOf(4, 8, 0, now);
    growing.demand = 3;
    const auto tiny = useOf(5, 0.009, 0, now);
    auto choice = tunnel_choice();
    choice.setReports({ stopping, full, busy, growing, tiny }, now);
    BOOST_TEST(!choice.hasRoom(now));
    BOOST_TEST(!choice.choose(isKnown, random, now).has_value());
    const auto reports = std::vector{ stopping, full, useOf(6, 0.5, 0.4, now), busy, growing, tiny };
    for (const auto &[router, count] : drawOneByOne(reports, 1'000, random, now)) {
        BOOST_TEST(router == 6U);
    }
}

BOOST_AUTO_TEST_CASE(a_silent_router_is_never_chosen_even_if_it_has_the_most_room)
{
    const auto now = time_point(100s);
    auto random = boost::random::mt19937_64(3);
    const auto isUsable = [](std::uint64_t router) {
        return router == 2;
    };
    auto choice = tunnel_choice();
    for (auto round = 0; round < 200; ++round) {
        choice.setReports({ useOf(1, 64, 0, now), useOf(2, 0.5, 0.2, now), useOf(3, 64, 0, now) }, now);
        BOOST_REQUIRE(choice.choose(isUsable, random, now) == std::optional<std::uint64_t>(2));
    }
    choice.setReports({ useOf(1, 64, 0, now), useOf(3, 64, 0, now) }, now);
    BOOST_TEST(!choice.choose(isUsable, random, now).has_value());
}

// Each connection to a suspended router waits for the time limit of the connect.
BOOST_AUTO_TEST_CASE(an_unreachable_router_is_not_chosen_for_a_while_even_if_reports_of_it_arrive)
{
    auto now = time_point(100s);
    const auto failure = now;
    auto random = boost::random::mt19937_64(4);
    auto choice = tunnel_choice();
    const auto report = [&] {
        choice.setReports({ useOf(1, 8, 0.1, now), useOf(2, 0.2, 0.1, now) }, now);
    };
    report();
    choice.noteUnreachable(1, now);
    BOOST_TEST(draw(choice, 50, random, now)[1] == 0);
    for (; now < failure + tunnel_choice::UNREACHABLE_TIME; now += 50ms) {
        report();
        BOOST_REQUIRE(draw(choice, 50, random, now)[1] == 0);
    }
    report();
    BOOST_TEST(draw(choice, 50, random, now)[1] > 0);
    choice.noteUnreachable(1, now);
    choice.noteUnreachable(2, now);
    report();
    BOOST_TEST(!choice.hasRoom(now));
}

// Several routers that choose the one with the most room at the same time would overload it.
BOOST_AUTO_TEST_CASE(routers_are_chosen_in_proportion_to_their_room)
{
    constexpr auto draws = 100'000;
    const auto now = time_point(100s);
    auto random = boost::random::mt19937_64(5);
    // Room: 0.4, 0.2, 0.1, 0.05 and 0.25 of a core, in all 1.
    auto drawn = drawOneByOne({ useOf(1, 1, 0.1, now), useOf(2, 1, 0.3, now), useOf(3, 0.25, 0.1, now),
                                useOf(4, 0.1, 0, now), useOf(5, 0.5, 0, now) },
                              draws, random, now);
    BOOST_TEST(drawn[0] == 0);
    for (const auto &[router, share] : { std::pair(1U, 0.4), { 2U, 0.2 }, { 3U, 0.1 }, { 4U, 0.05 }, { 5U, 0.25 } }) {
        // Five standard deviations.
        const auto bound = 5 * std::sqrt(draws * share * (1 - share));
        BOOST_TEST_CONTEXT("router " << router << ": " << drawn[router])
        {
            BOOST_TEST(std::abs(drawn[router] - draws * share) <= bound);
        }
    }
}

// Between two reports of a router, a flood would go to it alone, or beyond its room.
BOOST_AUTO_TEST_CASE(what_was_sent_since_a_report_counts_as_used)
{
    constexpr auto perStep = 8;
    const auto reported = time_point(100s);
    auto random = boost::random::mt19937_64(6);
    auto choice = tunnel_choice();
    choice.setReports({ useOf(1, 1, 0, reported), useOf(2, 0.2, 0, reported) }, reported);
    auto drawn = std::map<std::uint64_t, int>();
    // 1,600 connections a second need 0.56 of a core; there is room for 0.6.
    for (auto now = reported; now < reported + 2s; now += 5ms) {
        for (const auto &[router, count] : draw(choice, perStep, random, now)) {
            drawn[router] += count;
        }
    }
    BOOST_TEST(drawn[0] == 0);
    BOOST_TEST(drawn[1] * requestSeconds / 2 <= 0.5 + requestSeconds);
    BOOST_TEST(drawn[2] * requestSeconds / 2 <= 0.1 + requestSeconds);
    BOOST_TEST(drawn[2] > 0);
}

// A router that believed in room which it had used up itself closed connections that it had the time to serve.
BOOST_AUTO_TEST_CASE(there_is_room_exactly_as_long_as_a_router_can_be_chosen)
{
    auto now = time_point(100s);
    auto random = boost::random::mt19937_64(8);
    auto choice = tunnel_choice();
    choice.setReports({ useOf(1, 0.5, 0.1, now), useOf(2, 0.5, 0.4, now) }, now);
    auto chosen = 0;
    auto withoutRoom = 0;
    for (const auto end = now + 2s; now < end; now += 5ms) {
        for (auto call = 0; call < 8; ++call) {
            const auto hasRoom = choice.hasRoom(now);
            const auto isChosen = choice.choose(isKnown, random, now).has_value();
            BOOST_REQUIRE_EQUAL(hasRoom, isChosen);
            chosen += isChosen ? 1 : 0;
            withoutRoom += isChosen ? 0 : 1;
        }
    }
    BOOST_TEST(chosen > 0);
    BOOST_TEST(withoutRoom > 0);
}

BOOST_AUTO_TEST_CASE(no_more_is_sent_than_there_is_room_for_until_a_newer_report)
{
    const auto reported = time_point(100s);
    auto random = boost::random::mt19937_64(7);
    auto choice = tunnel_choice();
    const auto first = std::vector{ useOf(1, 0.5, 0.1, reported), useOf(2, 0.5, 0.3, reported) };
    choice.setReports(first, reported);
    // Room for 0.3 of a core, over half a second.
    const auto most = 0.3 * 0.5 / requestSeconds;
    auto drawn = draw(choice, 10'000, random, reported);
    BOOST_TEST(drawn[1] + drawn[2] <= most + 2);
    BOOST_TEST(drawn[1] + drawn[2] >= most - 2);
    // The same reports again, as relayed by another router, give no new room.
    choice.setReports(first, reported + 50ms);
    drawn = draw(choice, 1'000, random, reported + 50ms);
    BOOST_TEST(drawn[0] == 1'000);
    // A newer report of one router does.
    choice.setReports({ first[0], useOf(2, 0.5, 0.3, reported + 250ms) }, reported + 300ms);
    drawn = draw(choice, 10'000, random, reported + 300ms);
    BOOST_TEST(drawn[1] == 0);
    BOOST_TEST(std::abs(drawn[2] - 0.1 * 0.5 / requestSeconds) <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
