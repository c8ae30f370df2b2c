#include "marjoramloom/call/drain_tracker.h"
#include "marjoramloom/call/stop_calendar.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

constexpr auto noon = std::int64_t(1'700'000'000'000);

auto twoServers() -> configuration
{
    auto accepted = configuration();
    accepted.backendServers["e1"].id = { 1 };
    accepted.backendServers["e1"].address = "127.0.0.1:1001";
    accepted.backendServers["e2"].id = { 2 };
    accepted.backendServers["e2"].address = "127.0.0.1:1002";
    return accepted;
}

auto phase(const stop_calendar &calendar, std::uint64_t server, std::int64_t nowMs) -> std::string_view
{
    return nameOf(calendar.phaseAt({ server }, nowMs));
}

auto listed(instance_state state) -> std::vector<listed_instance>
{
    return { { "e1", "dc", instance_role::backendServer, state, "127.0.0.1:1001" } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(stop_calendar_test)

BOOST_AUTO_TEST_CASE(a_planned_stop_first_refuses_work_and_then_moves_it)
{
    auto accepted = twoServers();
    accepted.plannedStops["s"] = { { 9 }, "s", "e1", noon, noon + 60'000 };
    auto calendar = stop_calendar();
    calendar.setConfiguration(accepted);
    BOOST_TEST(phase(calendar, 1, noon - 30'001) == "open");
    BOOST_TEST(phase(calendar, 1, noon - 30'000) == "no_new_work");
    BOOST_TEST(phase(calendar, 1, noon - 5'000) == "moving");
    BOOST_TEST(phase(calendar, 1, noon + 59'999) == "moving");
    BOOST_TEST(phase(calendar, 1, noon + 60'000) == "open");
    BOOST_TEST(phase(calendar, 2, noon) == "open");
    BOOST_TEST(calendar.stoppingAt(noon).size() == 1U);
    BOOST_TEST(*calendar.nextChange(noon - 40'000) == noon - 30'000);
    BOOST_TEST(*calendar.nextChange(noon - 30'000) == noon - 5'000);
    BOOST_TEST(*calendar.nextChange(noon) == noon + 60'000);
    BOOST_TEST(!calendar.nextChange(noon + 60'000).has_value());
}

BOOST_AUTO_TEST_CASE(overlapping_planned_stops_all_apply)
{
    auto accepted = twoServers();
    accepted.plannedStops["s"] = { { 9 }, "s", "e1", noon, noon + 10'000 };
    accepted.plannedStops["t"] = { { 10 }, "t", "e1", noon + 5'000, noon + 20'000 };
    accepted.plannedStops["u"] = { { 11 }, "u", "e2", noon, noon + 5'000 };
    auto calendar = stop_calendar();
    calendar.setConfiguration(accepted);
    BOOST_TEST(phase(calendar, 1, noon + 15'000) == "moving");
    BOOST_TEST(phase(calendar, 2, noon + 1) == "moving");
    BOOST_TEST(phase(calendar, 2, noon + 5'000) == "open");
}

BOOST_AUTO_TEST_CASE(a_listed_leaving_server_keeps_its_streams_for_a_grace_period)
{
    auto calendar = stop_calendar();
    calendar.setConfiguration(twoServers());
    calendar.setInstances(listed(instance_state::leaving), noon);
    calendar.setInstances(listed(instance_state::leaving), noon + 10'000);
    BOOST_TEST(phase(calendar, 1, noon) == "no_new_work");
    BOOST_TEST(phase(calendar, 1, noon + 20'000) == "moving");
    calendar.setInstances(listed(instance_state::live), noon + 21'000);
    BOOST_TEST(phase(calendar, 1, noon + 21'000) == "open");
}

BOOST_AUTO_TEST_CASE(a_configuration_change_keeps_the_instance_list_state)
{
    auto calendar = stop_calendar();
    calendar.setConfiguration(twoServers());
    calendar.setInstances(listed(instance_state::leaving), noon);
    calendar.setConfiguration(twoServers());
    BOOST_TEST(phase(calendar, 1, noon) == "no_new_work");
}

BOOST_AUTO_TEST_CASE(a_server_notice_expires_and_the_newest_one_applies)
{
    auto calendar = stop_calendar();
    calendar.setConfiguration(twoServers());
    BOOST_TEST(calendar.absorb({ { 1 }, server_state::leaving, noon }, noon));
    BOOST_TEST(!calendar.absorb({ { 1 }, server_state::leaving, noon }, noon + 1));
    BOOST_TEST(!calendar.absorb({ { 1 }, server_state::available, noon - 1 }, noon + 1));
    BOOST_TEST(!calendar.absorb({ { 7 }, server_state::leaving, noon }, noon));
    BOOST_TEST(phase(calendar, 1, noon + 14'999) == "no_new_work");
    BOOST_TEST(phase(calendar, 1, noon + 15'000) == "open");
    BOOST_TEST(calendar.absorb({ { 1 }, server_state::leaving, noon + 16'000 }, noon + 16'000));
    BOOST_TEST(calendar.notices(noon + 16'000).size() == 1U);
    BOOST_TEST(calendar.absorb({ { 1 }, server_state::available, noon + 17'000 }, noon + 17'000));
    BOOST_TEST(phase(calendar, 1, noon + 17'000) == "open");
}

BOOST_AUTO_TEST_CASE(a_drain_completes_when_the_last_work_ends)
{
    auto tracker = drain_tracker();
    auto drained = 0;
    {
        auto first = tracker.beginWork();
        const auto moved = std::move(first);
        tracker.drain([&] { ++drained; });
        {
            const auto late = tracker.beginWork();
            BOOST_TEST(tracker.activeCount() == 2U);
        }
        BOOST_TEST(drained == 0);
        BOOST_TEST(tracker.draining());
    }
    BOOST_TEST(drained == 1);
    auto idle = drain_tracker();
    idle.drain([&] { ++drained; });
    BOOST_TEST(drained == 2);
}

BOOST_AUTO_TEST_SUITE_END()
