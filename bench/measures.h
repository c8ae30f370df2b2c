#pragma once

#include "results.h"
#include "scenario.h"

#include <map>

namespace marjoramloom::bench {

/// The runs of one system on one deployment, by name of the scenario.
using run_set = std::map<std::string, run_results>;

/// The measures of one system on one deployment; docs/design/measures.md defines each.
struct measure_set
{
    double gapHighest = 0; ///< Weighted tokens, per weight.
    double gapAtEnd = 0;
    double gapBound = 0;
    double utilisation = 0; ///< While work waits.
    double utilisationUneven = 0;
    double controlMessages = 0; ///< Per router and second.
    double controlBytes = 0; ///< Per router and second, of the router that sends most.
    double crestFirstToken = 0; ///< 95 in 100, seconds, accounts within their share.
    double crestRefused = 0; ///< Requests of accounts within their share.
    double shortWait = 0; ///< 99 in 100, seconds, beside long work.
    double shortWaitAlone = 0;
    double longTokens = 0; ///< A second.
    double slowedFirstToken = 0; ///< 99 in 100, seconds.
    double unslowedFirstToken = 0;
    double hedges = 0; ///< Part of calls.
    double suspensions = 0; ///< A second, beside long work.
    double repeatedPrefill = 0; ///< Prompt tokens read again a second, beside long work.
};

/// The value below which \p part of \p values lie; 0 where there are none.
auto quantile(std::vector<double> values, double part) -> double;

/// Highest difference of received service per weight between any two accounts.
auto fairnessGap(const deployment &where, const service_sample &sample) -> double;

/// Works out the measures of one system for which there are runs.
auto measure(const deployment &where, const run_set &runs) -> measure_set;

} // namespace marjoramloom::bench
