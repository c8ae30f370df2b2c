#pragma once

#include "workload.h"

#include <string>
#include <vector>

namespace marjoramloom::bench {

/// What a run is for. Each group of measures needs its own runs only.
enum class measure_group {
    fairness,
    control, ///< Measured in the run for fairness.
    uneven,
    crest,
    shortBehindLong,
    slowedServers,
};

} // namespace marjoramloom::bench

template<>
struct marjoramloom::enum_names<marjoramloom::bench::measure_group>
{
    using group = bench::measure_group;
    static constexpr std::array table{
        enum_name<group>{ group::fairness, "fairness" },
        enum_name<group>{ group::control, "control" },
        enum_name<group>{ group::uneven, "uneven" },
        enum_name<group>{ group::crest, "crest" },
        enum_name<group>{ group::shortBehindLong, "short_behind_long" },
        enum_name<group>{ group::slowedServers, "slowed_servers" },
    };
};

namespace marjoramloom::bench {

/// How requests of some classes arrive.
struct arrival_rule
{
    std::string requestClass; ///< Empty: all classes of the model, by their shares.
    work_length length = work_length::shortWork; ///< With `byLength`: classes of that length only.
    bool byLength = false;
    double load = 0; ///< Part of the engines' capacity that it asks for between swings.
    double swing = 1; ///< Factor of the load at the crest.
    bool swingLargeOnly = false; ///< Only large accounts swing.
    double callsPerSecond = 0; ///< Instead of load, for plain services.
};

/// One run: who asks for how much when, and which engines are slowed.
struct scenario
{
    std::string name;
    measure_group group = measure_group::fairness;
    double seconds = 120; ///< Simulated, after the warm-up.
    double warmUpSeconds = 10;
    bool backlogged = false; ///< Every account keeps its backlog outstanding.
    double longBacklog = 0; ///< Long requests kept outstanding, as a multiple of the engines' slots.
    std::vector<arrival_rule> arrivals;
    double swingPeriodSeconds = 40;
    double swingLengthSeconds = 10;
    double firstDataCentreShare =
        0; ///< Part of all requests that enters there, whatever the account; 0: as accounts do.
    std::uint32_t slowedEngines = 0; ///< At a time.
    double slowdown = 5;
    double slowPeriodSeconds = 20;
    double slowLengthSeconds = 8;
    std::uint64_t seed = 1;
};

/// All accounts backlogged, spread unevenly over the data centres.
auto backloggedScenario(double seconds) -> scenario;

/// Nearly all work enters one data centre, more of it at times than the fleet can do.
auto unevenScenario(double seconds) -> scenario;

/// Large accounts ask for five times as much for some seconds; small ones stay within their share.
auto crestScenario(double seconds) -> scenario;

/// Short work that swings, beside long work that always waits.
auto shortAndLongScenario(double seconds) -> scenario;

/// The same short work alone.
auto shortOnlyScenario(double seconds) -> scenario;

/// Moderate load while two engines at a time are slowed, and the same without.
auto slowedScenario(double seconds, std::uint32_t slowedEngines) -> scenario;

} // namespace marjoramloom::bench
