#include "marjoramloom/gateway/decisions/plain_placement.h"
#include "marjoramloom/gateway/decisions/request_shares.h"
#include "marjoramloom/gateway/decisions/server_capacity.h"
#include "marjoramloom/gateway/decisions/slot_grants.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <vector>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

constexpr auto unlimited = std::numeric_limits<std::uint32_t>::max();

auto makeCandidate(std::uint32_t running) -> plain_candidate
{
    return { .running = running, .slots = 6, .serviceTime = 30ms, .acceptedRequests = unlimited };
}

/// Requests that are placed on one server of 6 slots and 30 ms until the first is refused.
auto countPlaced(const plain_demand &demand, std::uint32_t accepted = unlimited) -> std::uint32_t
{
    const auto placement = plain_placement();
    auto server = makeCandidate(0);
    server.acceptedRequests = accepted;
    while (placement.choose({ &server, 1 }, demand)) {
        ++server.running;
    }
    return server.running;
}

} // namespace

BOOST_AUTO_TEST_SUITE(plain_placement_test)

BOOST_AUTO_TEST_CASE(requests_are_refused_before_the_wait_makes_answers_late)
{
    const auto placed = countPlaced({ .objective = 150ms });
    BOOST_TEST(placed > 6U);
    // The last request waits for placed - 6 others at 6 slots and then runs for 30 ms.
    BOOST_TEST((placed - 6) * 30 / 6 + 30 < 150U);
    BOOST_TEST(countPlaced({ .objective = 300ms }) > placed);
    // A service time over the objective still leaves the slots in use.
    BOOST_TEST(countPlaced({ .objective = 20ms }) >= 6U);
}

BOOST_AUTO_TEST_CASE(an_account_that_sends_most_requests_gets_a_shorter_queue)
{
    BOOST_TEST(countPlaced({ .objective = 150ms, .accountShare = 0.5 }) < countPlaced({ .objective = 150ms }));
}

BOOST_AUTO_TEST_CASE(a_router_that_knows_only_its_own_requests_uses_its_share_of_a_server)
{
    constexpr auto routers = 69;
    const auto all = countPlaced({ .objective = 150ms });
    const auto own = countPlaced({ .objective = 150ms, .accountShare = 0, .knownFraction = 1.0 / routers });
    BOOST_TEST(own == 1U);
    const auto dataCentre = countPlaced({ .objective = 150ms, .accountShare = 0, .knownFraction = 1.0 / 3 });
    BOOST_TEST(dataCentre <= all / 3);
    BOOST_TEST(dataCentre >= 1U);
}

BOOST_AUTO_TEST_CASE(the_limit_learnt_from_a_refusal_counts_and_recovers)
{
    const auto start = time_point(100s);
    auto capacity = server_capacity();
    BOOST_TEST(capacity.acceptedRequests(start) == unlimited);
    capacity.noteFull(9, 30ms, start);
    BOOST_TEST(capacity.isFull(start + 10ms));
    BOOST_TEST(!capacity.isFull(start + 40ms));
    BOOST_TEST(capacity.acceptedRequests(start) == 9U);
    BOOST_TEST(countPlaced({ .objective = 1s }, capacity.acceptedRequests(start)) == 9U);
    BOOST_TEST(capacity.acceptedRequests(start + 2s) > 9U);
    BOOST_TEST(capacity.acceptedRequests(start + 60s) == unlimited);
    capacity.noteFull(0, 30ms, start);
    BOOST_TEST(capacity.acceptedRequests(start) == 1U);
}

BOOST_AUTO_TEST_CASE(a_full_server_is_passed_over_and_a_failing_one_comes_last)
{
    const auto placement = plain_placement();
    auto servers = std::vector<plain_candidate>{ makeCandidate(0), makeCandidate(8), makeCandidate(9) };
    servers[0].avoided = true;
    BOOST_TEST(placement.choose(servers, { .objective = 150ms })->index == 1U);
    servers[1].full = true;
    BOOST_TEST(placement.choose(servers, { .objective = 150ms })->index == 2U);
    servers[2].full = true;
    BOOST_TEST(placement.choose(servers, { .objective = 150ms })->index == 0U);
    servers[0].full = true;
    BOOST_TEST(placement.choose(servers, { .objective = 150ms })->index == 0U);
    servers[0].running = 1;
    BOOST_TEST(!placement.choose(servers, { .objective = 150ms }).has_value());
}

BOOST_AUTO_TEST_CASE(the_service_time_is_estimated_from_answers_of_busy_servers_too)
{
    auto capacity = server_capacity();
    for (auto answer = std::uint32_t(0); answer < 50; ++answer) {
        const auto running = answer % 18;
        capacity.noteServed(running, 6, std::max<duration>(30ms, 30ms * (running + 1) / 6));
    }
    BOOST_TEST((capacity.serviceTime() > 28ms && capacity.serviceTime() < 32ms));
}

BOOST_AUTO_TEST_CASE(a_grant_counts_until_it_is_released_or_missing_in_a_report_or_expired)
{
    const auto start = time_point(100s);
    auto grants = slot_grants();
    const auto first = grants.add(7, 1, 0, start);
    const auto second = grants.add(7, 1, 1, start);
    const auto third = grants.add(8, 1, 2, start);
    BOOST_TEST(grants.running(1) == 3U);
    BOOST_TEST(!grants.release(8, first).has_value());
    BOOST_TEST(grants.release(7, first)->running == 0U);
    BOOST_TEST(!grants.release(7, first).has_value());
    BOOST_TEST(grants.running(1) == 2U);
    // The release of the second grant was lost; a report of its router does not list it.
    BOOST_TEST(grants.reconcile(7, second, {}, start + 100ms).empty());
    BOOST_TEST(grants.running(1) == 1U);
    // A report that was sent before the third grant arrived says nothing about it.
    grants.reconcile(8, second, {}, start + 100ms);
    BOOST_TEST(grants.running(1) == 1U);
    BOOST_TEST(grants.reconcile(8, third, { third }, start + 500ms).at(1) == 1U);
    grants.expire(start + 1'000ms);
    BOOST_TEST(grants.running(1) == 1U);
    grants.expire(start + 1'300ms);
    BOOST_TEST(grants.running(1) == 0U);
    grants.add(9, 2, 0, start);
    grants.removeRouter(9);
    BOOST_TEST(grants.running(2) == 0U);
}

BOOST_AUTO_TEST_CASE(the_share_of_an_account_counts_within_its_service)
{
    const auto now = time_point(100s);
    auto shares = request_shares();
    for (auto request = 0; request < 8; ++request) {
        shares.note("orders", 1, now);
    }
    BOOST_TEST(shares.note("orders", 0, now) == 0);
    BOOST_TEST(shares.note("orders", 2, now) == 0.1);
    BOOST_TEST(shares.note("stock", 2, now) == 1.0);
    BOOST_TEST(shares.note("orders", 2, now + 10s) == 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
