#include "direct_policy.h"
#include "dispatched_policy.h"
#include "report.h"
#include "simulation.h"

#include <algorithm>
#include <future>
#include <iostream>
#include <popt.h>

namespace {

using namespace marjoramloom::bench;

constexpr auto exitTargetMissed = 1;
constexpr auto exitUsage = 2;

/// Command line options; flags are int because popt writes them.
struct bench_options
{
    int usesShortRuns = 0; ///< Simulates 80 instead of 400 seconds.
    int seed = 1;
    int concurrentRuns = 3; ///< Number of threads.
    int checksRepeatability = 0; ///< Only checks that two runs give the same figures.
    std::string folder; ///< For the results; empty: none are written.
    std::string only; ///< Name of the only deployment to run; empty: all.
    std::optional<measure_group> group; ///< The only group of measures to run; unset: all.
};

using run_function = std::function<run_results(const deployment_settings &, const scenario_settings &)>;

/// A policy for choosing engines, under the name that the reports print.
struct system_under_test
{
    std::string name;
    run_function run;
};

auto systems() -> std::vector<system_under_test>
{
    return {
        { "pool_dispatchers", simulate<dispatched_policy<pool_layout>> },
        { "router_queues", simulate<dispatched_policy<router_layout>> },
        { "least_outstanding", simulate<direct_policy<least_outstanding>> },
        { "round_robin", simulate<direct_policy<round_robin>> },
    };
}

auto scenarios(const bench_options &options) -> std::vector<scenario_settings>
{
    constexpr auto fastSeconds = 80.0;
    constexpr auto fullSeconds = 400.0;
    constexpr auto slowedEngines = 2;
    const auto seconds = options.usesShortRuns != 0 ? fastSeconds : fullSeconds;
    auto selectedScenarios = std::vector<scenario_settings>{
        backloggedScenario(seconds),   unevenScenario(seconds),    crestScenario(seconds),
        shortAndLongScenario(seconds), shortOnlyScenario(seconds), slowedScenario(seconds, slowedEngines),
        slowedScenario(seconds, 0),
    };
    const auto wantedGroup = options.group == measure_group::control ? measure_group::fairness : options.group;
    std::erase_if(selectedScenarios,
                  [&](const scenario_settings &scenario) { return wantedGroup && scenario.group != *wantedGroup; });
    for (auto &scenario : selectedScenarios) {
        scenario.seed = static_cast<std::uint64_t>(options.seed);
    }
    return selectedScenarios;
}

/// A run for runAll(), with the destination of its results.
struct scheduled_run
{
    const run_function *run = nullptr;
    const deployment_settings *deployment = nullptr;
    const scenario_settings *scenario = nullptr;
    run_results *results = nullptr;
};

/// Executes all runs on several threads. Runs share no state, so that the number of threads doesn't affect the figures.
auto runAll(const std::vector<scheduled_run> &plan, int concurrentRuns) -> void
{
    auto next = std::atomic<std::size_t>(0);
    auto workers = std::vector<std::future<void>>();
    for (auto worker = 0; worker < concurrentRuns; ++worker) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (auto index = next++; index < plan.size(); index = next++) {
                const auto &run = plan[index];
                *run.results = (*run.run)(*run.deployment, *run.scenario);
            }
        }));
    }
    for (auto &worker : workers) {
        worker.get();
    }
}

auto runDeployment(const deployment_settings &deployment, const bench_options &options) -> deployment_result
{
    const auto systemsUnderTest = systems();
    const auto selectedScenarios = scenarios(options);
    auto result = deployment_result{ deployment, {}, {} };
    auto plan = std::vector<scheduled_run>();
    result.systems.resize(systemsUnderTest.size());
    for (auto index = std::size_t(0); index < systemsUnderTest.size(); ++index) {
        result.systems[index].name = systemsUnderTest[index].name;
        for (const auto &scenario : selectedScenarios) {
            auto &results = result.systems[index].runs[scenario.name];
            plan.push_back({ &systemsUnderTest[index].run, &deployment, &scenario, &results });
        }
    }
    runAll(plan, options.concurrentRuns);
    for (auto &system : result.systems) {
        system.measures = measure(deployment, system.runs);
    }
    constexpr auto leastOutstandingIndex = std::size_t(2);
    result.targetChecks = checkTargets(result.systems.front().measures, result.systems[leastOutstandingIndex].measures);
    std::erase_if(result.targetChecks,
                  [&](const target_check &check) { return options.group && check.group != *options.group; });
    return result;
}

auto parseOptions(int argc, const char **argv) -> std::optional<bench_options>
{
    auto parsed = bench_options();
    char *folder = nullptr;
    char *only = nullptr;
    char *measures = nullptr;
    const poptOption table[] = {
        { "fast", 'f', POPT_ARG_NONE, &parsed.usesShortRuns, 0, "short runs", nullptr },
        { "seed", 's', POPT_ARG_INT, &parsed.seed, 0, "seed of the random arrivals and costs", "N" },
        { "jobs", 'j', POPT_ARG_INT, &parsed.concurrentRuns, 0, "runs at a time", "N" },
        { "repeat", 0, POPT_ARG_NONE, &parsed.checksRepeatability, 0, "only check that two runs give the same figures",
          nullptr },
        { "out", 'o', POPT_ARG_STRING, &folder, 0, "folder for the results", "FOLDER" },
        { "only", 0, POPT_ARG_STRING, &only, 0, "one deployment: coachworks or franchise", "NAME" },
        { "measures", 'm', POPT_ARG_STRING, &measures, 0,
          "one group: fairness, control, uneven, crest, short_behind_long, slowed_servers", "GROUP" },
        POPT_AUTOHELP POPT_TABLEEND,
    };
    auto *context = poptGetContext(nullptr, argc, argv, table, 0);
    auto valid = poptGetNextOpt(context) == -1;
    if (measures != nullptr) {
        parsed.group = marjoramloom::parseEnum<measure_group>(measures);
        valid = valid && parsed.group;
    }
    if (!valid) {
        poptPrintUsage(context, stderr, 0);
    }
    parsed.folder = folder == nullptr ? "" : folder;
    parsed.only = only == nullptr ? "" : only;
    free(folder);
    free(only);
    free(measures);
    poptFreeContext(context);
    return valid ? std::optional(parsed) : std::nullopt;
}

} // namespace

namespace {

/// Runs every deployment twice. Returns 0 where both runs print the same table, else exitTargetMissed.
auto checkRepeatability(const bench_options &options) -> int
{
    for (const auto &deployment : { coachworksDeployment(), franchiseDeployment() }) {
        if (!options.only.empty() && options.only != deployment.name) {
            continue;
        }
        const auto first = tableText(runDeployment(deployment, options));
        if (first != tableText(runDeployment(deployment, options))) {
            std::cout << deployment.name << ": two runs gave different figures\n";
            return exitTargetMissed;
        }
    }
    std::cout << "two runs gave the same figures\n";
    return 0;
}

} // namespace

/// Exit codes: 0 all targets met, 1 some target missed or figures not repeatable, 2 wrong usage.
auto main(int argc, const char **argv) -> int
{
    const auto options = parseOptions(argc, argv);
    if (!options) {
        return exitUsage;
    }
    if (options->checksRepeatability != 0) {
        return checkRepeatability(*options);
    }
    auto results = std::vector<deployment_result>();
    auto missedCount = std::ptrdiff_t(0);
    for (const auto &deployment : { coachworksDeployment(), franchiseDeployment() }) {
        if (options->only.empty() || options->only == deployment.name) {
            results.push_back(runDeployment(deployment, *options));
            std::cout << tableText(results.back()) << std::flush;
            missedCount +=
                std::ranges::count_if(results.back().targetChecks, [](const auto &check) { return !check.isMet; });
        }
    }
    if (!options->folder.empty()) {
        writeFiles(results, options->folder);
    }
    std::cout << "\n" << missedCount << " targets missed\n";
    return missedCount == 0 ? 0 : exitTargetMissed;
}
