#include "share_fixtures.h"

#include <boost/test/unit_test.hpp>
#include <set>

using namespace marjoramloom;
using namespace marjoramloom::share_test;

namespace {

constexpr auto usualFirstTokenSeconds = 0.1;

/// A pool whose servers have all been observed with their usual latency.
auto observedPool(std::uint32_t count, std::uint32_t slots) -> std::unique_ptr<server_placement>
{
    auto pool = std::make_unique<server_placement>();
    pool->setServers(serversOf(count, slots), at(0));
    for (const auto &server : serversOf(count, slots)) {
        pool->observe(pace_sample{ server.id, usualFirstTokenSeconds, usualFirstTokenSeconds / 5, false }, at(0));
    }
    return pool;
}

auto slowDown(server_placement &pool, object_id server, double seconds) -> void
{
    for (auto call = 0; call < 3; ++call) {
        pool.observe(pace_sample{ server, 5 * usualFirstTokenSeconds, usualFirstTokenSeconds, false }, at(seconds));
    }
}

/// Servers that are chosen for \p calls concurrent short requests.
auto chosenServers(server_placement &pool, int calls, double seconds, double queueSeconds = 0) -> std::set<object_id>
{
    auto servers = std::set<object_id>();
    auto running = std::vector<object_id>();
    for (auto call = 0; call < calls; ++call) {
        if (const auto choice = pool.choose(ticketOf(accountA, 1), at(seconds), queueSeconds)) {
            servers.insert(choice->server);
            running.push_back(choice->server);
            pool.start(choice->server, work_length::shortWork, at(seconds));
        }
    }
    for (const auto server : running) {
        pool.finish(server, work_length::shortWork, at(seconds));
    }
    return servers;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_placement_test)

BOOST_AUTO_TEST_CASE(short_work_avoids_slow_servers_before_any_load_report)
{
    auto pool = observedPool(12, 8);
    slowDown(*pool, { 500 }, 1);
    slowDown(*pool, { 501 }, 1);
    const auto servers = chosenServers(*pool, 80, 1.1);
    BOOST_TEST(servers.size() == 10U);
    BOOST_TEST(!servers.contains({ 500 }));
    BOOST_TEST(!servers.contains({ 501 }));
}

BOOST_AUTO_TEST_CASE(short_work_uses_a_slow_server_if_waiting_for_another_takes_longer)
{
    auto pool = observedPool(3, 1);
    slowDown(*pool, { 500 }, 1);
    BOOST_TEST(chosenServers(*pool, 3, 1.1, 0.2).size() == 2U);
    BOOST_TEST(chosenServers(*pool, 3, 1.1, 5).size() == 3U);
}

BOOST_AUTO_TEST_CASE(long_work_uses_slow_servers_if_no_other_is_free)
{
    auto pool = observedPool(3, 1);
    slowDown(*pool, { 500 }, 1);
    auto granted = 0;
    for (auto serial = std::uint64_t(1); serial <= 3; ++serial) {
        const auto choice = pool->choose(ticketOf(accountA, serial, 0, work_length::longWork), at(1.1));
        BOOST_REQUIRE(choice);
        pool->start(choice->server, work_length::longWork, at(1.1));
        ++granted;
    }
    BOOST_TEST(granted == 3);
}

BOOST_AUTO_TEST_CASE(at_most_a_third_of_the_servers_is_avoided)
{
    auto pool = observedPool(12, 1);
    for (auto index = std::uint64_t(0); index < 5; ++index) {
        slowDown(*pool, { 500 + index }, 1);
    }
    BOOST_TEST(chosenServers(*pool, 12, 1.1).size() >= 8U);
}

BOOST_AUTO_TEST_CASE(a_slow_server_is_probed_rarely_and_used_again_after_one_fast_call)
{
    auto pool = observedPool(6, 8);
    slowDown(*pool, { 500 }, 1);
    auto probes = 0;
    for (auto tick = 0; tick < 100; ++tick) {
        const auto seconds = 1.1 + tick * 0.1;
        probes += chosenServers(*pool, 5, seconds).contains({ 500 }) ? 1 : 0;
        for (auto index = std::uint64_t(1); index < 6; ++index) {
            pool->observe(pace_sample{ { 500 + index }, usualFirstTokenSeconds, usualFirstTokenSeconds / 5, false },
                          at(seconds));
        }
    }
    BOOST_TEST(probes >= 1);
    BOOST_TEST(probes <= 3); // 500 calls were made in 10 s.
    pool->observe(pace_sample{ { 500 }, usualFirstTokenSeconds, usualFirstTokenSeconds / 5, false }, at(11.2));
    BOOST_TEST(chosenServers(*pool, 48, 11.3).contains({ 500 }));
}

/// The server's load report includes the requests that this dispatcher granted: counting them twice would waste slots.
BOOST_AUTO_TEST_CASE(a_load_report_takes_slots_only_for_requests_granted_by_another_dispatcher)
{
    auto pool = observedPool(1, 8);
    for (auto started = 0; started < 3; ++started) {
        pool->start({ 500 }, work_length::shortWork, at(1));
    }
    const auto ownReport = load_report{ { 500 }, 3, std::chrono::seconds(2) };
    pool->observe(ownReport, at(4));
    pool->observe(ownReport, at(5));
    BOOST_TEST(pool->freeSlots(at(5)) == 5U);
    const auto combinedReport = load_report{ { 500 }, 7, std::chrono::seconds(2) };
    pool->observe(combinedReport, at(6));
    pool->observe(combinedReport, at(7));
    BOOST_TEST(pool->freeSlots(at(7)) == 1U);
    BOOST_TEST(pool->freeSlots(at(14)) == 5U);
}

BOOST_AUTO_TEST_CASE(a_late_report_takes_no_slots_for_own_requests_that_have_ended_since)
{
    auto pool = observedPool(1, 8);
    for (auto started = 0; started < 6; ++started) {
        pool->start({ 500 }, work_length::shortWork, at(1));
    }
    for (auto ended = 0; ended < 6; ++ended) {
        pool->finish({ 500 }, work_length::shortWork, at(4));
    }
    const auto lateReport = load_report{ { 500 }, 6, std::chrono::seconds(2) };
    pool->observe(lateReport, at(5));
    pool->observe(lateReport, at(5.5));
    BOOST_TEST(pool->freeSlots(at(5.5)) == 8U);
}

BOOST_AUTO_TEST_CASE(a_prefix_keeps_its_server_until_the_load_exceeds_the_mean)
{
    auto pool = observedPool(4, 8);
    auto counts = std::map<object_id, int>();
    for (auto call = std::uint64_t(0); call < 16; ++call) {
        auto waiting = ticketOf(accountA, call + 1);
        waiting.prefixHash = 77;
        const auto choice = pool->choose(waiting, at(1));
        BOOST_REQUIRE(choice);
        pool->start(choice->server, work_length::shortWork, at(1));
        ++counts[choice->server];
    }
    auto highest = 0;
    for (const auto &[server, count] : counts) {
        highest = std::max(highest, count);
    }
    BOOST_TEST(highest >= 5);
    BOOST_TEST(highest <= 6); // 1.25 times the mean of 4, plus one.
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_no_requests_and_a_failing_one_gets_none_during_its_cooldown)
{
    auto pool = observedPool(3, 2);
    pool->setState({ 500 }, server_state::leaving, at(1));
    for (auto call = 0; call < 3; ++call) {
        pool->observe(pace_sample{ { 501 }, 0, 0, true }, at(1));
    }
    BOOST_TEST(chosenServers(*pool, 6, 1.1).size() == 1U);
    BOOST_TEST(chosenServers(*pool, 6, 3).size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
