#include "call_bench.h"
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

BOOST_AUTO_TEST_CASE(a_pause_closes_the_gate_until_news_asked_for_after_it)
{
    auto gate = start_gate();
    BOOST_TEST((gate.permission(server, at(0)) == start_permission::allowed));
    gate.touch(at(0));
    gate.touch(at(1'000));
    BOOST_TEST((gate.permission(server, at(2'000)) == start_permission::allowed));
    // A call may run before the first tick after a pause.
    BOOST_TEST((gate.permission(server, at(9'000)) == start_permission::unknown));
    gate.touch(at(9'000));
    BOOST_TEST((gate.permission(server, at(9'000)) == start_permission::unknown));
    // An answer from before the pause is no news.
    gate.refreshed(at(1'000));
    BOOST_TEST((gate.permission(server, at(9'000)) == start_permission::unknown));
    gate.refreshed(at(9'001));
    BOOST_TEST((gate.permission(server, at(9'002)) == start_permission::allowed));
}

BOOST_AUTO_TEST_CASE(a_leaving_server_is_refused_whatever_else_is_known)
{
    auto gate = start_gate();
    gate.setLeaving({ server });
    BOOST_TEST((gate.permission(server, at(0)) == start_permission::leaving));
    BOOST_TEST((gate.permission({ 2 }, at(0)) == start_permission::allowed));
    gate.setLeaving({});
    BOOST_TEST((gate.permission(server, at(0)) == start_permission::allowed));
}

BOOST_AUTO_TEST_CASE(a_grant_that_is_older_than_the_news_is_given_back_unused)
{
    auto gate = start_gate();
    gate.setLeaving({ server });
    auto bench = call_bench(2);
    bench.environment.gate = &gate;
    const auto result = bench.run(bench.ask("question"));
    BOOST_TEST(nameOf(result.state) == "complete", result.reason.text());
    BOOST_TEST(bench.engine(0).connections == 0U);
    BOOST_TEST(bench.engine(1).executed.size() == 1U);
    BOOST_TEST(bench.grants.running.empty());
}

BOOST_AUTO_TEST_SUITE_END()
