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

constexpr auto exitMissed = 1;
constexpr auto exitUsage = 2;

struct bench_options
{
    int fast = 0; ///< Short runs.
    int seed = 1;
    int jobs = 3; ///< Runs at a time.
    int repeat = 0; ///< Only checks that two runs give the same figures.
    std::string folder;
    std::string only; ///< Name of one deployment.
    std::optional<measure_group> group; ///< Only these measures.
};

using run_function = std::function<run_results(const deployment &, const scenario &)>;

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

auto scenarios(const bench_options &options) -> std::vector<scenario>
{
    constexpr auto fastSeconds = 80.0;
    constexpr auto longSeconds = 400.0;
    constexpr auto slowedEngines = 2;
    const auto seconds = options.fast != 0 ? fastSeconds : longSeconds;
    auto all = std::vector<scenario>{
        backloggedScenario(seconds),   unevenScenario(seconds),    crestScenario(seconds),
        shortAndLongScenario(seconds), shortOnlyScenario(seconds), slowedScenario(seconds, slowedEngines),
        slowedScenario(seconds, 0),
    };
    const auto wanted = options.group == measure_group::control ? measure_group::fairness : options.group;
    std::erase_if(all, [&](const scenario &made) { return wanted && made.group != *wanted; });
    for (auto &made : all) {
        made.seed = static_cast<std::uint64_t>(options.seed);
    }
    return all;
}

struct planned_run
{
    const run_function *run = nullptr;
    const deployment *where = nullptr;
    const scenario *what = nullptr;
    run_results *results = nullptr;
};

/// Runs everything, several at a time; each run is independent of the others, so that its figures are too.
auto runAll(const std::vector<planned_run> &plan, int jobs) -> void
{
    auto next = std::atomic<std::size_t>(0);
    auto workers = std::vector<std::future<void>>();
    for (auto worker = 0; worker < jobs; ++worker) {
        workers.push_back(std::async(std::launch::async, [&] {
            for (auto index = next++; index < plan.size(); index = next++) {
                const auto &run = plan[index];
                *run.results = (*run.run)(*run.where, *run.what);
            }
        }));
    }
    for (auto &worker : workers) {
        worker.get();
    }
}

auto runDeployment(const deployment &where, const bench_options &options) -> deployment_result
{
    const auto compared = systems();
    const auto all = scenarios(options);
    auto result = deployment_result{ where, {}, {} };
    auto plan = std::vector<planned_run>();
    result.systems.resize(compared.size());
    for (auto index = std::size_t(0); index < compared.size(); ++index) {
        result.systems[index].name = compared[index].name;
        for (const auto &what : all) {
            auto &results = result.systems[index].runs[what.name];
            plan.push_back({ &compared[index].run, &where, &what, &results });
        }
    }
    runAll(plan, options.jobs);
    for (auto &system : result.systems) {
        system.measures = measure(where, system.runs);
    }
    constexpr auto leastOutstanding = std::size_t(2);
    result.verdicts = judge(result.systems.front().measures, result.systems[leastOutstanding].measures);
    std::erase_if(result.verdicts,
                  [&](const verdict &judged) { return options.group && judged.group != *options.group; });
    return result;
}

auto parse(int argc, const char **argv) -> std::optional<bench_options>
{
    auto parsed = bench_options();
    char *folder = nullptr;
    char *only = nullptr;
    char *measures = nullptr;
    const poptOption table[] = {
        { "fast", 'f', POPT_ARG_NONE, &parsed.fast, 0, "short runs", nullptr },
        { "seed", 's', POPT_ARG_INT, &parsed.seed, 0, "of arrivals and costs", "N" },
        { "jobs", 'j', POPT_ARG_INT, &parsed.jobs, 0, "runs at a time", "N" },
        { "repeat", 0, POPT_ARG_NONE, &parsed.repeat, 0, "only check that two runs give the same figures", nullptr },
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

/// Runs every deployment twice; 0 where both runs print the same table.
auto checkRepeats(const bench_options &options) -> int
{
    for (const auto &where : { coachworksDeployment(), franchiseDeployment() }) {
        if (!options.only.empty() && options.only != where.name) {
            continue;
        }
        const auto first = tableText(runDeployment(where, options));
        if (first != tableText(runDeployment(where, options))) {
            std::cout << where.name << ": two runs gave different figures\n";
            return exitMissed;
        }
    }
    std::cout << "two runs gave the same figures\n";
    return 0;
}

} // namespace

/// Exit codes: 0 all targets met, 1 some missed, 2 wrong usage.
auto main(int argc, const char **argv) -> int
{
    const auto options = parse(argc, argv);
    if (!options) {
        return exitUsage;
    }
    if (options->repeat != 0) {
        return checkRepeats(*options);
    }
    auto results = std::vector<deployment_result>();
    auto missed = std::ptrdiff_t(0);
    for (const auto &where : { coachworksDeployment(), franchiseDeployment() }) {
        if (options->only.empty() || options->only == where.name) {
            results.push_back(runDeployment(where, *options));
            std::cout << tableText(results.back()) << std::flush;
            missed += std::ranges::count_if(results.back().verdicts, [](const auto &judged) { return !judged.met; });
        }
    }
    if (!options->folder.empty()) {
        writeFiles(results, options->folder);
    }
    std::cout << "\n" << missed << " targets missed\n";
    return missed == 0 ? 0 : exitMissed;
}
