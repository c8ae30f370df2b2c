#include "call_fixture.h"
#include "marjoramloom/call/load_watch.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace marjoramloom::test;

BOOST_AUTO_TEST_SUITE(load_watch_test)

BOOST_AUTO_TEST_CASE(a_report_counts_running_and_waiting_work)
{
    auto why = last_reason();
    const auto report = parseLoadReport({ 4 }, R"({"running":3,"waiting":2,"slots":8,"as_of_ms":1500})", why);
    BOOST_REQUIRE(report.has_value());
    BOOST_TEST(report->running == 5U);
    BOOST_TEST(toSeconds(report->age) == 1.5);
    for (const auto *malformed :
         { "", "[]", "{}", R"({"running":-1,"as_of_ms":0})", R"({"running":"3","as_of_ms":0})" }) {
        BOOST_TEST(!parseLoadReport({ 4 }, malformed, why).has_value());
        BOOST_TEST(nameOf(why.kind) == "protocol_violation");
    }
}

BOOST_AUTO_TEST_CASE(polling_reports_loads_failed_polls_and_leaving_servers)
{
    auto context = boost::asio::io_context();
    auto live = fake_engine(context);
    auto leaves = fake_engine(context);
    auto dead = fake_engine(context);
    const auto deadAddress = dead.address();
    leaves.leaving = true;
    dead.die();
    auto reports = std::map<std::uint64_t, std::size_t>();
    auto leaving = std::size_t(0);
    auto silent = std::map<std::uint64_t, std::uint32_t>();
    auto settings = load_watch_settings();
    settings.period = std::chrono::milliseconds(20);
    settings.spacing = std::chrono::milliseconds(1);
    auto handlers = load_watch::callbacks();
    handlers.onReport = [&](const load_report &report) {
        ++reports[report.server.value];
    };
    handlers.onLeaving = [&](object_id server) {
        leaving += server.value == 2 ? 1 : 100;
    };
    handlers.onPollFailed = [&](object_id server, std::uint32_t failures) {
        silent[server.value] = failures;
    };
    const auto watch = std::make_shared<load_watch>(context.get_executor(), settings, handlers);
    watch->setServers({ { { 1 }, live.address() }, { { 2 }, leaves.address() }, { { 3 }, deadAddress } });
    watch->start();
    while (reports[1] < 3 || leaving < 3 || silent[3] < 3) {
        context.run_one();
    }
    BOOST_TEST(reports.size() == 1U);
    BOOST_TEST(leaving < 100U);
    BOOST_TEST(silent.size() == 1U);
    // All polls of a server use the same connection.
    BOOST_TEST(live.connections == 1U);
    watch->setServers({});
    watch->stop();
    context.poll();
}

BOOST_AUTO_TEST_SUITE_END()
