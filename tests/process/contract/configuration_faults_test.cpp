#include "support/fleet.h"

#include <atomic>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;

namespace {

constexpr auto propagationLimitMs = 5'000; ///< Users' limit until a change is active on all routers, at current sizes.
constexpr auto startTimeoutMs = 20'000;

auto profileText(const std::string &name, int retries = 2) -> std::string
{
    return "[[profile]]\nname = \"" + name + "\"\nretries = " + std::to_string(retries) + "\n";
}

/// A fleet without engines and order servers, for tests of the configuration.
struct configured_fleet
{
    explicit configured_fleet(int routersPerDataCentre = 1)
        : all(plan(routersPerDataCentre))
    {
    }

    static auto plan(int routersPerDataCentre) -> fleet_plan
    {
        auto result = fleet_plan();
        result.routersPerDataCentre = routersPerDataCentre;
        result.enginesPerDataCentre = 0;
        result.orderServersPerDataCentre = 0;
        return result;
    }

    auto hasProfile(std::size_t router, const std::string &profile) -> bool
    {
        return all.command(all.routers()[router], { "get", "profile", profile }) == 0;
    }

    /// Waits until the profile exists, or does not exist, on all routers. Returns false on timeout.
    auto allRoutersHave(const std::string &profile, bool present = true) -> bool
    {
        return waitUntil(propagationLimitMs, [&] {
            for (auto router = std::size_t(0); router < all.routers().size(); ++router) {
                if (hasProfile(router, profile) != present) {
                    return false;
                }
            }
            return true;
        });
    }

    auto isReady(std::size_t router) -> bool
    {
        return httpCall(all.routers()[router].callers, { "GET", "/readyz", {}, "" }).status == 200;
    }

    fleet all;
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_faults_test)

BOOST_AUTO_TEST_CASE(concurrent_changes_are_either_active_or_reported_as_conflict)
{
    constexpr auto rounds = 6;
    auto fleet = configured_fleet(2);
    const auto routers = fleet.all.routers().size();
    auto accepted = std::vector<std::string>();
    auto refused = std::vector<std::string>();
    for (auto round = 0; round < rounds; ++round) {
        auto codes = std::vector<int>(routers);
        auto operators = std::vector<std::thread>();
        const auto nameOf = [&](std::size_t router) {
            return "race-" + std::to_string(round) + "-" + std::to_string(router);
        };
        for (auto router = std::size_t(0); router < routers; ++router) {
            operators.emplace_back([&, router] {
                codes[router] = fleet.all.apply(fleet.all.routers()[router], profileText(nameOf(router)));
            });
        }
        for (auto &thread : operators) {
            thread.join();
        }
        for (auto router = std::size_t(0); router < routers; ++router) {
            BOOST_TEST((codes[router] == 0 || codes[router] == 4));
            (codes[router] == 0 ? accepted : refused).push_back(nameOf(router));
        }
    }
    BOOST_TEST_MESSAGE(accepted.size() << " accepted, " << refused.size() << " reported as conflict");
    BOOST_TEST(accepted.size() >= std::size_t(rounds));
    for (const auto &name : accepted) {
        BOOST_TEST(fleet.allRoutersHave(name), name);
    }
    for (const auto &name : refused) {
        BOOST_TEST(!fleet.hasProfile(0, name), name);
    }
}

BOOST_AUTO_TEST_CASE(a_change_with_a_lost_or_delayed_store_answer_is_accepted_once)
{
    auto fleet = configured_fleet();
    const auto before = fleet.all.configurationSequenceAt(fleet.all.routers()[0]);
    fleet.all.platform().setFaults(R"([{"kind":"lose_answer","match":"configuration_change/","count":1}])");
    BOOST_TEST(fleet.all.apply(fleet.all.routers()[0], profileText("lost")) == 0);
    fleet.all.platform().setFaults(R"([{"kind":"land_late","ms":500,"match":"configuration_change/","count":1}])");
    BOOST_TEST(fleet.all.apply(fleet.all.routers()[1], profileText("late")) == 0);
    BOOST_TEST(fleet.allRoutersHave("lost"));
    BOOST_TEST(fleet.allRoutersHave("late"));
    BOOST_TEST(fleet.all.configurationSequenceAt(fleet.all.routers()[0]) == before + 2);
    fleet.all.platform().setFaults(R"([{"kind":"outage"}])");
    BOOST_TEST(fleet.all.apply(fleet.all.routers()[0], profileText("refused")) == 6);
}

BOOST_AUTO_TEST_CASE(a_router_that_restarts_without_state_takes_the_newest_configuration)
{
    auto fleet = configured_fleet();
    auto &routers = fleet.all.routers();
    BOOST_TEST(fleet.all.apply(routers[0], profileText("newest")) == 0);
    BOOST_TEST(fleet.allRoutersHave("newest"));
    BOOST_TEST(fleet.all.command(routers[0], { "delete", "profile", "newest" }) == 0);
    BOOST_TEST(fleet.all.apply(routers[0], profileText("latest")) == 0);
    BOOST_TEST(fleet.allRoutersHave("latest"));
    const auto sequence = fleet.all.configurationSequenceAt(routers[0]);
    for (const auto *faults : { R"([{"kind":"outage"}])", R"([{"kind":"stale_reads","behind":2}])" }) {
        fleet.all.platform().setFaults(faults);
        fleet.all.restart(routers[1], false);
        // A router becomes ready only with the newest change that its peers know.
        const auto ready = waitUntil(startTimeoutMs, [&] { return fleet.isReady(1); });
        BOOST_TEST(ready, faults);
        BOOST_TEST(fleet.all.configurationSequenceAt(routers[1]) == sequence);
        BOOST_TEST(fleet.hasProfile(1, "latest"));
        BOOST_TEST(!fleet.hasProfile(1, "newest"));
        fleet.all.platform().setFaults("[]");
    }
}

BOOST_AUTO_TEST_CASE(a_silent_watch_or_stale_reads_neither_delay_nor_revert_a_change)
{
    auto fleet = configured_fleet(2);
    auto &routers = fleet.all.routers();
    fleet.all.platform().setFaults(R"([{"kind":"freeze_open"}])");
    fleet.all.platform().setFaults("[]");
    BOOST_TEST(fleet.all.apply(routers[0], profileText("after-silence")) == 0);
    BOOST_TEST(fleet.allRoutersHave("after-silence"));
    BOOST_TEST(fleet.all.command(routers[3], { "delete", "profile", "after-silence" }) == 0);
    BOOST_TEST(fleet.allRoutersHave("after-silence", false));
    fleet.all.platform().setFaults(R"([{"kind":"stale_reads","behind":1}])");
    const auto sequence = fleet.all.configurationSequenceAt(routers[0]);
    // The wait is long enough for a watch to reconnect and to get stale reads.
    const auto reverted = waitUntil(propagationLimitMs, [&] {
        for (auto &router : routers) {
            if (fleet.all.configurationSequenceAt(router) < sequence) {
                return true;
            }
        }
        return false;
    });
    BOOST_TEST(!reverted);
    BOOST_TEST(!fleet.hasProfile(0, "after-silence"));
}

BOOST_AUTO_TEST_CASE(a_router_that_was_paused_catches_up_and_does_not_revert_the_others)
{
    auto fleet = configured_fleet();
    auto &routers = fleet.all.routers();
    routers[1].process->signal(SIGSTOP);
    BOOST_TEST(fleet.all.apply(routers[0], profileText("meanwhile")) == 0);
    BOOST_TEST(fleet.all.command(routers[0], { "delete", "profile", "meanwhile" }) == 0);
    BOOST_TEST(fleet.all.apply(routers[0], profileText("then")) == 0);
    const auto sequence = fleet.all.configurationSequenceAt(routers[0]);
    routers[1].process->signal(SIGCONT);
    BOOST_TEST(fleet.allRoutersHave("then"));
    BOOST_TEST(fleet.allRoutersHave("meanwhile", false));
    BOOST_TEST(fleet.all.configurationSequenceAt(routers[0]) == sequence);
}

BOOST_AUTO_TEST_SUITE_END()
