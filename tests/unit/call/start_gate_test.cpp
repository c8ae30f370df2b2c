#include "call_fixture.h"
#include "marjoramloom/call/start_gate.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

namespace {

constexpr auto server = object_id{ 1 };

auto at(int ms) -> time_point
{
    return time_point(std::chrono::hours(1) + std::chrono::milliseconds(ms));
}

} // namespace

BOOST_AUTO_TEST_SUITE(start_gate_test)

BOOST_AUTO_TEST_CASE(a_process_pause_closes_the_gate_until_a_later_refresh)
{
    auto gate = start_gate();
    BOOST_TEST((gate.permission(server, at(0)) == start_permission::allowed));
    gate.recordTick(at(0));
    gate.recordTick(at(1'000));
    BOOST_TEST((gate.permission(server, at(2'000)) == start_permission::allowed));
    // A call may be checked before the first tick after the pause.
    BOOST_TEST((gate.permission(server, at(9'000)) == start_permission::unknown));
    gate.recordTick(at(9'000));
    BOOST_TEST((gate.permission(server, at(9'000)) == start_permission::unknown));
    // A list that was requested before the pause is outdated.
    gate.markRefreshed(at(1'000));
    BOOST_TEST((gate.permission(server, at(9'000)) == start_permission::unknown));
    gate.markRefreshed(at(9'001));
    BOOST_TEST((gate.permission(server, at(9'002)) == start_permission::allowed));
}

BOOST_AUTO_TEST_CASE(a_leaving_server_is_refused_before_the_first_tick)
{
    auto gate = start_gate();
    gate.setLeaving({ server });
    BOOST_TEST((gate.permission(server, at(0)) == start_permission::leaving));
    BOOST_TEST((gate.permission({ 2 }, at(0)) == start_permission::allowed));
    gate.setLeaving({});
    BOOST_TEST((gate.permission(server, at(0)) == start_permission::allowed));
}

BOOST_AUTO_TEST_CASE(a_grant_for_a_leaving_server_is_returned_unused)
{
    auto gate = start_gate();
    gate.setLeaving({ server });
    auto fixture = call_fixture(2);
    fixture.environment.gate = &gate;
    const auto result = fixture.run(fixture.makeRequest("question"));
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(fixture.engine(0).connections == 0U);
    BOOST_TEST(fixture.engine(1).executed.size() == 1U);
    BOOST_TEST(fixture.grants.running.empty());
}

BOOST_AUTO_TEST_SUITE_END()
