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
    double gapHighest = 0; ///< Weighted tokens per account weight.
    double gapAtEnd = 0;
    double gapBound = 0;
    double utilisation = 0; ///< Mean over load samples in which a request is delayed.
    double utilisationUneven = 0;
    double controlMessages = 0; ///< Envelopes per router and second.
    double controlBytes = 0; ///< Per second, of the router that sends most.
    double crestFirstToken = 0; ///< 95th percentile, seconds, accounts within their share.
    double crestRefused = 0; ///< Requests of accounts within their share.
    double shortWait = 0; ///< 99th percentile, seconds, with concurrent long work.
    double shortWaitAlone = 0;
    double longTokens = 0; ///< Per second.
    double slowedFirstToken = 0; ///< 99th percentile, seconds.
    double unslowedFirstToken = 0;
    double hedges = 0; ///< Fraction of calls.
    double suspensions = 0; ///< Per second, with concurrent long work.
    double repeatedPrefill = 0; ///< Prompt tokens prefilled again per second, with concurrent long work.
};

/// The value below which \p fraction of \p values lie; 0 where there are no values.
auto quantile(std::vector<double> values, double fraction) -> double;

/// Largest difference of received service per weight between any two accounts.
auto fairnessGap(const deployment_settings &deployment, const service_sample &sample) -> double;

/// Computes the measures of one system whose scenarios are in \p runs; the others stay 0.
auto measure(const deployment_settings &deployment, const run_set &runs) -> measure_set;

} // namespace marjoramloom::bench
