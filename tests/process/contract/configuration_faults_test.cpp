#include "support/fleet.h"

#include <atomic>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace marjoramloom::test;

namespace {

constexpr auto inForceMs = 5'000; ///< The users' bound for an accepted configuration at today's sizes.
constexpr auto startMs = 20'000;

auto profileText(const std::string &name, int retries = 2) -> std::string
{
    return "[[profile]]\nname = \"" + name + "\"\nretries = " + std::to_string(retries) + "\n";
}

struct configured_fleet
{
    explicit configured_fleet(int routersEach = 1)
        : all(plan(routersEach))
    {
    }

    static auto plan(int routersEach) -> fleet_plan
    {
        auto made = fleet_plan();
        made.routersEach = routersEach;
        made.enginesEach = 0;
        made.orderServersEach = 0;
        return made;
    }

    auto has(std::size_t router, const std::string &profile) -> bool
    {
        return all.command(all.routers()[router], { "get", "profile", profile }) == 0;
    }

    auto everywhere(const std::string &profile, bool present = true) -> bool
    {
        return waitUntil(inForceMs, [&] {
            for (auto router = std::size_t(0); router < all.routers().size(); ++router) {
                if (has(router, profile) != present) {
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

BOOST_AUTO_TEST_CASE(racing_operators_are_all_in_force_or_told_of_the_conflict)
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
    BOOST_TEST_MESSAGE(accepted.size() << " accepted, " << refused.size() << " told of a conflict");
    BOOST_TEST(accepted.size() >= std::size_t(rounds));
    for (const auto &name : accepted) {
        BOOST_TEST(fleet.everywhere(name), name);
    }
    for (const auto &name : refused) {
        BOOST_TEST(!fleet.has(0, name), name);
    }
}

BOOST_AUTO_TEST_CASE(a_lost_answer_is_accepted_once)
{
    auto fleet = configured_fleet();
    const auto before = fleet.all.sequenceAt(fleet.all.routers()[0]);
    fleet.all.platform().setFaults(R"([{"kind":"lose_answer","match":"configuration_change/","count":1}])");
    BOOST_TEST(fleet.all.apply(fleet.all.routers()[0], profileText("lost")) == 0);
    fleet.all.platform().setFaults(R"([{"kind":"land_late","ms":500,"match":"configuration_change/","count":1}])");
    BOOST_TEST(fleet.all.apply(fleet.all.routers()[1], profileText("late")) == 0);
    BOOST_TEST(fleet.everywhere("lost"));
    BOOST_TEST(fleet.everywhere("late"));
    BOOST_TEST(fleet.all.sequenceAt(fleet.all.routers()[0]) == before + 2);
    fleet.all.platform().setFaults(R"([{"kind":"outage"}])");
    BOOST_TEST(fleet.all.apply(fleet.all.routers()[0], profileText("refused")) == 6);
}

BOOST_AUTO_TEST_CASE(an_empty_restart_takes_the_newest_of_peers_and_platform)
{
    auto fleet = configured_fleet();
    auto &routers = fleet.all.routers();
    BOOST_TEST(fleet.all.apply(routers[0], profileText("newest")) == 0);
    BOOST_TEST(fleet.everywhere("newest"));
    BOOST_TEST(fleet.all.command(routers[0], { "delete", "profile", "newest" }) == 0);
    BOOST_TEST(fleet.all.apply(routers[0], profileText("latest")) == 0);
    BOOST_TEST(fleet.everywhere("latest"));
    const auto sequence = fleet.all.sequenceAt(routers[0]);
    for (const auto *faults : { R"([{"kind":"outage"}])", R"([{"kind":"stale_reads","behind":2}])" }) {
        fleet.all.platform().setFaults(faults);
        fleet.all.restart(routers[1], false);
        // A router that is ready works by the newest change that its peers know.
        const auto ready = waitUntil(startMs, [&] { return fleet.isReady(1); });
        BOOST_TEST(ready, faults);
        BOOST_TEST(fleet.all.sequenceAt(routers[1]) == sequence);
        BOOST_TEST(fleet.has(1, "latest"));
        BOOST_TEST(!fleet.has(1, "newest"));
        fleet.all.platform().setFaults("[]");
    }
}

BOOST_AUTO_TEST_CASE(a_silent_watch_and_old_reads_neither_delay_nor_revert_a_change)
{
    auto fleet = configured_fleet(2);
    auto &routers = fleet.all.routers();
    fleet.all.platform().setFaults(R"([{"kind":"freeze_open"}])");
    fleet.all.platform().setFaults("[]");
    BOOST_TEST(fleet.all.apply(routers[0], profileText("after-silence")) == 0);
    BOOST_TEST(fleet.everywhere("after-silence"));
    BOOST_TEST(fleet.all.command(routers[3], { "delete", "profile", "after-silence" }) == 0);
    BOOST_TEST(fleet.everywhere("after-silence", false));
    fleet.all.platform().setFaults(R"([{"kind":"stale_reads","behind":1}])");
    const auto sequence = fleet.all.sequenceAt(routers[0]);
    // Long enough for a watch to be dialled anew and to read what it can.
    const auto reverted = waitUntil(inForceMs, [&] {
        for (auto &router : routers) {
            if (fleet.all.sequenceAt(router) < sequence) {
                return true;
            }
        }
        return false;
    });
    BOOST_TEST(!reverted);
    BOOST_TEST(!fleet.has(0, "after-silence"));
}

BOOST_AUTO_TEST_CASE(a_router_that_was_paused_catches_up_and_does_not_revert_the_others)
{
    auto fleet = configured_fleet();
    auto &routers = fleet.all.routers();
    routers[1].process->signal(SIGSTOP);
    BOOST_TEST(fleet.all.apply(routers[0], profileText("meanwhile")) == 0);
    BOOST_TEST(fleet.all.command(routers[0], { "delete", "profile", "meanwhile" }) == 0);
    BOOST_TEST(fleet.all.apply(routers[0], profileText("then")) == 0);
    const auto sequence = fleet.all.sequenceAt(routers[0]);
    routers[1].process->signal(SIGCONT);
    BOOST_TEST(fleet.everywhere("then"));
    BOOST_TEST(fleet.everywhere("meanwhile", false));
    BOOST_TEST(fleet.all.sequenceAt(routers[0]) == sequence);
}

BOOST_AUTO_TEST_SUITE_END()
