#pragma once

#include "workload.h"

#include <string>
#include <vector>

namespace marjoramloom::bench {

/// Groups of measures. Each is computed from the runs of its own scenarios.
enum class measure_group {
    fairness,
    control, ///< Computed from the fairness scenario.
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

/// Rate at which requests of some classes arrive. The load rises periodically to a crest.
struct arrival_rule
{
    std::string requestClass; ///< Not evaluated.
    work_length length = work_length::shortWork; ///< The only length that arrives, where filtersByLength is set.
    bool filtersByLength = false;
    double load = 0; ///< Demand between crests, as a fraction of the engines' capacity.
    double crestFactor = 1; ///< Factor of the load during a crest.
    bool onlyLargeAccountsCrest = false; ///< Only the load of large accounts rises.
    double callsPerSecond = 0; ///< Used instead of load for calls of the order service, where not 0.
};

/// Parameters of one run: its demand and its slowed engines.
struct scenario_settings
{
    std::string name;
    measure_group group = measure_group::fairness;
    double seconds = 120; ///< Simulated, after the warm-up.
    double warmUpSeconds = 10;
    bool backlogged = false; ///< Every account always has its backlog of requests outstanding.
    double longBacklog = 0; ///< Long requests always outstanding, as a multiple of the engines' slots.
    std::vector<arrival_rule> arrivals;
    double crestPeriodSeconds = 40;
    double crestSeconds = 10;
    double firstDataCentreShare = 0; ///< Fraction of requests that enter there; others use their account's routers.
    std::uint32_t slowedEngines = 0; ///< Engines slowed at the same time.
    double slowdown = 5;
    double slowPeriodSeconds = 20;
    double slowSeconds = 8;
    std::uint64_t seed = 1;
};

/// All accounts are backlogged and spread unevenly over the data centres.
auto backloggedScenario(double seconds) -> scenario_settings;

/// Nearly all requests enter one data centre; at the crest they exceed the capacity of the fleet.
auto unevenScenario(double seconds) -> scenario_settings;

/// The load of large accounts periodically rises to five times; small accounts stay within their share.
auto crestScenario(double seconds) -> scenario_settings;

/// Short work with crests, while long work is always waiting.
auto shortAndLongScenario(double seconds) -> scenario_settings;

/// The short work of shortAndLongScenario alone.
auto shortOnlyScenario(double seconds) -> scenario_settings;

/// Moderate load while \p slowedEngines engines at a time are slowed; 0 gives the run to compare with.
auto slowedScenario(double seconds, std::uint32_t slowedEngines) -> scenario_settings;

} // namespace marjoramloom::bench
