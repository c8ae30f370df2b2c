#include "report.h"

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace marjoramloom::bench {

namespace {

/// One measure: a row of the printed table and a key of the JSON report.
struct measure_row
{
    const char *name;
    double measure_set::*field;
    int digits;
};

constexpr auto measureRows = std::array{
    measure_row{ "fairness gap, highest", &measure_set::gapHighest, 0 },
    measure_row{ "fairness gap, at the end", &measure_set::gapAtEnd, 0 },
    measure_row{ "fairness gap, derived bound", &measure_set::gapBound, 0 },
    measure_row{ "utilisation while work waits, backlogged", &measure_set::utilisation, 4 },
    measure_row{ "utilisation while work waits, uneven", &measure_set::utilisationUneven, 4 },
    measure_row{ "control messages per router and s", &measure_set::controlMessages, 1 },
    measure_row{ "control bytes per router and s", &measure_set::controlBytes, 0 },
    measure_row{ "crest: p95 first token within share, s", &measure_set::crestFirstToken, 3 },
    measure_row{ "crest: refused within share", &measure_set::crestRefused, 0 },
    measure_row{ "short beside long: p99 wait, s", &measure_set::shortWait, 4 },
    measure_row{ "short alone: p99 wait, s", &measure_set::shortWaitAlone, 4 },
    measure_row{ "long work, tokens/s", &measure_set::longTokens, 0 },
    measure_row{ "suspensions per s", &measure_set::suspensions, 2 },
    measure_row{ "prompt tokens read again per s", &measure_set::repeatedPrefill, 0 },
    measure_row{ "slowed: p99 first token, s", &measure_set::slowedFirstToken, 3 },
    measure_row{ "not slowed: p99 first token, s", &measure_set::unslowedFirstToken, 3 },
    measure_row{ "slowed: hedges per call", &measure_set::hedges, 4 },
};

constexpr auto nameWidth = 44;
constexpr auto valueWidth = 20;

auto formatNumber(double value, int digits) -> std::string
{
    auto text = std::ostringstream();
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

auto atMost(measure_group group, const char *measure, double value, double target, const char *unit) -> target_check
{
    return { group, measure, value, target, unit, value <= target };
}

auto atLeast(measure_group group, const char *measure, double value, double target, const char *unit) -> target_check
{
    return { group, measure, value, target, unit, value >= target };
}

auto toJson(const measure_set &measures) -> boost::json::object
{
    auto object = boost::json::object();
    for (const auto &row : measureRows) {
        object[row.name] = measures.*row.field;
    }
    return object;
}

auto toJson(const deployment_result &result) -> boost::json::object
{
    auto object = boost::json::object();
    object["deployment"] = result.deployment.name;
    auto &systems = object["systems"].emplace_object();
    for (const auto &system : result.systems) {
        systems[system.name] = toJson(system.measures);
    }
    auto &targetChecks = object["verdicts"].emplace_array();
    for (const auto &check : result.targetChecks) {
        targetChecks.push_back({ { "measure", check.measure },
                                 { "value", check.value },
                                 { "target", check.target },
                                 { "unit", check.unit },
                                 { "met", check.isMet } });
    }
    return object;
}

auto openSeries(const std::string &folder, const std::string &deploymentName, const std::string &system,
                const std::string &series) -> std::ofstream
{
    return std::ofstream(folder + "/" + deploymentName + "." + system + "." + series + ".dat");
}

/// Writes lines with a fraction and the quantile of the values at it.
auto writeQuantiles(std::ofstream file, std::vector<double> values) -> void
{
    constexpr auto points = 400;
    std::sort(values.begin(), values.end());
    for (auto point = 0; point < points && !values.empty(); ++point) {
        const auto fraction = (point + 0.5) / points;
        file << fraction << " " << values[static_cast<std::size_t>(fraction * static_cast<double>(values.size()))]
             << "\n";
    }
}

auto collectShortRequests(const deployment_settings &deployment, const run_results &run, double request_outcome::*field)
    -> std::vector<double>
{
    auto values = std::vector<double>();
    for (const auto &outcome : run.requests) {
        const auto &requestClass = deployment.classes[outcome.classIndex];
        const auto isShortModelRequest =
            requestClass.target == service_index::model && requestClass.length == work_length::shortWork;
        if (isShortModelRequest && outcome.started && outcome.arrivedSeconds >= 0) {
            values.push_back(outcome.*field);
        }
    }
    return values;
}

auto writeRun(const deployment_settings &deployment, const std::string &system, const run_results &run,
              const std::string &scenarioName, const std::string &folder) -> void
{
    constexpr auto loadSampleStride = std::size_t(20);
    auto gap = openSeries(folder, deployment.name, system, scenarioName + ".gap");
    for (const auto &sample : run.service) {
        gap << sample.seconds << " " << fairnessGap(deployment, sample) << "\n";
    }
    auto load = openSeries(folder, deployment.name, system, scenarioName + ".load");
    for (auto index = std::size_t(0); index < run.load.size(); index += loadSampleStride) {
        load << run.load[index].seconds << " " << run.load[index].busyFraction << " " << run.load[index].waiting
             << "\n";
    }
    const auto waits = collectShortRequests(deployment, run, &request_outcome::waitSeconds);
    writeQuantiles(openSeries(folder, deployment.name, system, scenarioName + ".wait"), waits);
    const auto firstTokens = collectShortRequests(deployment, run, &request_outcome::firstTokenSeconds);
    writeQuantiles(openSeries(folder, deployment.name, system, scenarioName + ".first_token"), firstTokens);
}

} // namespace

auto checkTargets(const measure_set &system, const measure_set &leastOutstanding) -> std::vector<target_check>
{
    constexpr auto maxGapFraction = 0.1;
    constexpr auto minUtilisation = 0.97;
    constexpr auto maxControlBytesPerSecond = 8'000.0; // Per router.
    constexpr auto maxCrestFirstTokenSeconds = 0.6;
    constexpr auto maxShortWaitFactor = 2.0;
    constexpr auto minLongTokensFraction = 0.9;
    constexpr auto maxSlowedFactor = 1.5;
    constexpr auto maxHedgeFraction = 0.05;
    const auto maxShortWaitSeconds = maxShortWaitFactor * system.shortWaitAlone;
    const auto maxSlowedFirstTokenSeconds = maxSlowedFactor * system.unslowedFirstToken;
    using group = measure_group;
    return {
        atMost(group::fairness, "fairness gap, highest", system.gapHighest, system.gapBound, "tokens"),
        atMost(group::fairness, "fairness gap, at the end", system.gapAtEnd, maxGapFraction * leastOutstanding.gapAtEnd,
               "tokens"),
        atLeast(group::fairness, "utilisation, backlogged", system.utilisation, minUtilisation, ""),
        atMost(group::control, "control bytes per router", system.controlBytes, maxControlBytesPerSecond, "B/s"),
        atLeast(group::uneven, "utilisation, uneven", system.utilisationUneven, minUtilisation, ""),
        atMost(group::crest, "crest: p95 first token", system.crestFirstToken, maxCrestFirstTokenSeconds, "s"),
        atMost(group::crest, "crest: refused within share", system.crestRefused, 0, "requests"),
        atMost(group::shortBehindLong, "short beside long: p99 wait", system.shortWait, maxShortWaitSeconds, "s"),
        atLeast(group::shortBehindLong, "long work beside short", system.longTokens,
                minLongTokensFraction * leastOutstanding.longTokens, "tokens/s"),
        atMost(group::slowedServers, "slowed: p99 first token", system.slowedFirstToken, maxSlowedFirstTokenSeconds,
               "s"),
        atMost(group::slowedServers, "slowed: hedges", system.hedges, maxHedgeFraction, "of calls"),
    };
}

auto tableText(const deployment_result &result) -> std::string
{
    auto text = std::ostringstream();
    text << "\n" << std::left << std::setw(nameWidth) << result.deployment.name << std::right;
    for (const auto &system : result.systems) {
        text << std::setw(valueWidth) << system.name;
    }
    text << "\n";
    for (const auto &row : measureRows) {
        text << std::left << std::setw(nameWidth) << row.name << std::right;
        for (const auto &system : result.systems) {
            text << std::setw(valueWidth) << formatNumber(system.measures.*row.field, row.digits);
        }
        text << "\n";
    }
    text << "\n";
    constexpr auto digits = 4;
    for (const auto &check : result.targetChecks) {
        text << (check.isMet ? "  met     " : "  MISSED  ") << std::left << std::setw(nameWidth) << check.measure
             << std::right << formatNumber(check.value, digits) << "  target " << formatNumber(check.target, digits)
             << " " << check.unit << "\n";
    }
    return text.str();
}

auto writeFiles(const std::vector<deployment_result> &results, const std::string &folder) -> void
{
    std::filesystem::create_directories(folder);
    auto document = boost::json::array();
    for (const auto &result : results) {
        document.push_back(toJson(result));
        for (const auto &system : result.systems) {
            for (const auto &[scenarioName, run] : system.runs) {
                writeRun(result.deployment, system.name, run, scenarioName, folder);
            }
        }
    }
    std::ofstream(folder + "/decision.json") << boost::json::serialize(document) << "\n";
}

} // namespace marjoramloom::bench
