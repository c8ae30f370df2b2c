#pragma once

#include "workload.h"

#include <string>
#include <vector>

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
