#include "scenario.h"

namespace marjoramloom::bench {

namespace {

auto plainCalls(double callsPerSecond) -> arrival_rule
{
    auto rule = arrival_rule();
    rule.callsPerSecond = callsPerSecond;
    return rule;
}

auto modelLoad(double load, double crestFactor) -> arrival_rule
{
    auto rule = arrival_rule();
    rule.load = load;
    rule.crestFactor = crestFactor;
    return rule;
}

auto shortLoad() -> arrival_rule
{
    auto rule = modelLoad(0.22, 5);
    rule.filtersByLength = true;
    return rule;
}

} // namespace

auto backloggedScenario(double seconds) -> scenario_settings
{
    auto scenario = scenario_settings();
    scenario.name = "backlogged";
    scenario.seconds = seconds;
    scenario.backlogged = true;
    scenario.arrivals = { plainCalls(5) };
    return scenario;
}

auto unevenScenario(double seconds) -> scenario_settings
{
    auto scenario = scenario_settings();
    scenario.name = "uneven";
    scenario.group = measure_group::uneven;
    scenario.seconds = seconds;
    scenario.arrivals = { modelLoad(0.4, 5), plainCalls(5) };
    scenario.firstDataCentreShare = 0.9;
    return scenario;
}

auto crestScenario(double seconds) -> scenario_settings
{
    auto scenario = scenario_settings();
    scenario.name = "crest";
    scenario.group = measure_group::crest;
    scenario.seconds = seconds;
    auto rule = modelLoad(0.4, 5);
    rule.onlyLargeAccountsCrest = true;
    scenario.arrivals = { rule, plainCalls(5) };
    return scenario;
}

auto shortAndLongScenario(double seconds) -> scenario_settings
{
    auto scenario = scenario_settings();
    scenario.name = "short_and_long";
    scenario.group = measure_group::shortBehindLong;
    scenario.seconds = seconds;
    scenario.longBacklog = 2;
    scenario.warmUpSeconds =
        60; // Long work first has to pass once through the queues inside the engines of the baselines.
    scenario.arrivals = { shortLoad(), plainCalls(5) };
    return scenario;
}

auto shortOnlyScenario(double seconds) -> scenario_settings
{
    auto scenario = shortAndLongScenario(seconds);
    scenario.name = "short_only";
    scenario.longBacklog = 0;
    return scenario;
}

auto slowedScenario(double seconds, std::uint32_t slowedEngines) -> scenario_settings
{
    auto scenario = scenario_settings();
    scenario.name = slowedEngines > 0 ? "slowed" : "not_slowed";
    scenario.group = measure_group::slowedServers;
    scenario.seconds = seconds;
    scenario.arrivals = { modelLoad(0.5, 1), plainCalls(5) };
    scenario.slowedEngines = slowedEngines;
    return scenario;
}

} // namespace marjoramloom::bench
