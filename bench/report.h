#pragma once

#include "measures.h"

#include <string>
#include <vector>

namespace marjoramloom::bench {

/// Runs and measures of one system on one deployment.
struct system_result
{
    std::string name;
    run_set runs;
    measure_set measures;
};

/// Compares a measure with its target.
struct target_check
{
    measure_group group = measure_group::fairness;
    std::string measure;
    double value = 0;
    double target = 0;
    std::string unit;
    bool isMet = false;
};

/// Results of all systems on one deployment. The first system is the one compared with the targets.
struct deployment_result
{
    deployment_settings deployment;
    std::vector<system_result> systems;
    std::vector<target_check> targetChecks;
};

/// Compares the measures of \p system with the targets. Some targets depend on the baseline \p leastOutstanding.
auto checkTargets(const measure_set &system, const measure_set &leastOutstanding) -> std::vector<target_check>;

/// Formats the measures of all systems and the target checks as a text table.
auto tableText(const deployment_result &result) -> std::string;

/// Writes decision.json and the data series of the plots into \p folder.
auto writeFiles(const std::vector<deployment_result> &results, const std::string &folder) -> void;

} // namespace marjoramloom::bench
