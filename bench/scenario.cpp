#include "scenario.h"

namespace marjoramloom::bench {

namespace {

auto plainCalls(double callsPerSecond) -> arrival_rule
{
    auto rule = arrival_rule();
    rule.callsPerSecond = callsPerSecond;
    return rule;
}

auto modelLoad(double load, double swing) -> arrival_rule
{
    auto rule = arrival_rule();
    rule.load = load;
    rule.swing = swing;
    return rule;
}

auto shortLoad() -> arrival_rule
{
    auto rule = modelLoad(0.22, 5);
    rule.byLength = true;
    return rule;
}

} // namespace

auto backloggedScenario(double seconds) -> scenario
{
    auto made = scenario();
    made.name = "backlogged";
    made.seconds = seconds;
    made.backlogged = true;
    made.arrivals = { plainCalls(5) };
    return made;
}

auto unevenScenario(double seconds) -> scenario
{
    auto made = scenario();
    made.name = "uneven";
    made.group = measure_group::uneven;
    made.seconds = seconds;
    made.arrivals = { modelLoad(0.4, 5), plainCalls(5) };
    made.firstDataCentreShare = 0.9;
    return made;
}

auto crestScenario(double seconds) -> scenario
{
    auto made = scenario();
    made.name = "crest";
    made.group = measure_group::crest;
    made.seconds = seconds;
    auto rule = modelLoad(0.4, 5);
    rule.swingLargeOnly = true;
    made.arrivals = { rule, plainCalls(5) };
    return made;
}

auto shortAndLongScenario(double seconds) -> scenario
{
    auto made = scenario();
    made.name = "short_and_long";
    made.group = measure_group::shortBehindLong;
    made.seconds = seconds;
    made.longBacklog = 2;
    made.warmUpSeconds = 60; // Until the long work that waits in engines of the baselines has moved up once.
    made.arrivals = { shortLoad(), plainCalls(5) };
    return made;
}

auto shortOnlyScenario(double seconds) -> scenario
{
    auto made = shortAndLongScenario(seconds);
    made.name = "short_only";
    made.longBacklog = 0;
    return made;
}

auto slowedScenario(double seconds, std::uint32_t slowedEngines) -> scenario
{
    auto made = scenario();
    made.name = slowedEngines > 0 ? "slowed" : "not_slowed";
    made.group = measure_group::slowedServers;
    made.seconds = seconds;
    made.arrivals = { modelLoad(0.5, 1), plainCalls(5) };
    made.slowedEngines = slowedEngines;
    return made;
}

} // namespace marjoramloom::bench
