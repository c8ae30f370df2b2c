#pragma once

#include "measures.h"

#include <string>
#include <vector>

namespace marjoramloom::bench {

/// One system under test on one deployment.
struct system_result
{
    std::string name;
    run_set runs;
    measure_set measures;
};

/// A measure of the system against its target.
struct verdict
{
    measure_group group = measure_group::fairness;
    std::string measure;
    double value = 0;
    double target = 0;
    std::string unit;
    bool met = false;
};

/// All systems on one deployment; the routers' own system comes first.
struct deployment_result
{
    deployment where;
    std::vector<system_result> systems;
    std::vector<verdict> verdicts;
};

/// Compares the first system with the targets, of which some depend on the baseline \p leastOutstanding.
auto judge(const measure_set &system, const measure_set &leastOutstanding) -> std::vector<verdict>;

/// The table of measures of all systems and the verdicts, as text.
auto tableText(const deployment_result &result) -> std::string;

/// Writes decision.json and the series of the plots into \p folder.
auto writeFiles(const std::vector<deployment_result> &results, const std::string &folder) -> void;

} // namespace marjoramloom::bench
