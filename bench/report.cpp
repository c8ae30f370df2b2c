#include "report.h"

#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <sstream>

namespace marjoramloom::bench {

namespace {

struct measure_column
{
    const char *name;
    double measure_set::*field;
    int digits;
};

constexpr auto columns = std::array{
    measure_column{ "fairness gap, highest", &measure_set::gapHighest, 0 },
    measure_column{ "fairness gap, at the end", &measure_set::gapAtEnd, 0 },
    measure_column{ "fairness gap, derived bound", &measure_set::gapBound, 0 },
    measure_column{ "utilisation while work waits, backlogged", &measure_set::utilisation, 4 },
    measure_column{ "utilisation while work waits, uneven", &measure_set::utilisationUneven, 4 },
    measure_column{ "control messages per router and s", &measure_set::controlMessages, 1 },
    measure_column{ "control bytes per router and s", &measure_set::controlBytes, 0 },
    measure_column{ "crest: p95 first token within share, s", &measure_set::crestFirstToken, 3 },
    measure_column{ "crest: refused within share", &measure_set::crestRefused, 0 },
    measure_column{ "short beside long: p99 wait, s", &measure_set::shortWait, 4 },
    measure_column{ "short alone: p99 wait, s", &measure_set::shortWaitAlone, 4 },
    measure_column{ "long work, tokens/s", &measure_set::longTokens, 0 },
    measure_column{ "suspensions per s", &measure_set::suspensions, 2 },
    measure_column{ "prompt tokens read again per s", &measure_set::repeatedPrefill, 0 },
    measure_column{ "slowed: p99 first token, s", &measure_set::slowedFirstToken, 3 },
    measure_column{ "not slowed: p99 first token, s", &measure_set::unslowedFirstToken, 3 },
    measure_column{ "slowed: hedges per call", &measure_set::hedges, 4 },
};

constexpr auto nameWidth = 44;
constexpr auto valueWidth = 20;

auto number(double value, int digits) -> std::string
{
    auto text = std::ostringstream();
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

auto atMost(measure_group group, const char *measure, double value, double target, const char *unit) -> verdict
{
    return { group, measure, value, target, unit, value <= target };
}

auto atLeast(measure_group group, const char *measure, double value, double target, const char *unit) -> verdict
{
    return { group, measure, value, target, unit, value >= target };
}

auto toJson(const measure_set &measures) -> boost::json::object
{
    auto written = boost::json::object();
    for (const auto &column : columns) {
        written[column.name] = measures.*column.field;
    }
    return written;
}

auto toJson(const deployment_result &result) -> boost::json::object
{
    auto written = boost::json::object();
    written["deployment"] = result.where.name;
    auto &systems = written["systems"].emplace_object();
    for (const auto &system : result.systems) {
        systems[system.name] = toJson(system.measures);
    }
    auto &verdicts = written["verdicts"].emplace_array();
    for (const auto &judged : result.verdicts) {
        verdicts.push_back({ { "measure", judged.measure },
                             { "value", judged.value },
                             { "target", judged.target },
                             { "unit", judged.unit },
                             { "met", judged.met } });
    }
    return written;
}

auto openSeries(const std::string &folder, const std::string &deployment, const std::string &system,
                const std::string &series) -> std::ofstream
{
    return std::ofstream(folder + "/" + deployment + "." + system + "." + series + ".dat");
}

/// Quantile of the value, then the value.
auto writeQuantiles(std::ofstream file, std::vector<double> values) -> void
{
    constexpr auto points = 400;
    std::sort(values.begin(), values.end());
    for (auto point = 0; point < points && !values.empty(); ++point) {
        const auto part = (point + 0.5) / points;
        file << part << " " << values[static_cast<std::size_t>(part * static_cast<double>(values.size()))] << "\n";
    }
}

auto shortValues(const deployment &where, const run_results &run, double request_outcome::*field) -> std::vector<double>
{
    auto values = std::vector<double>();
    for (const auto &outcome : run.requests) {
        const auto &kind = where.classes[outcome.kind];
        const auto counted = kind.target == service_index::model && kind.length == work_length::shortWork;
        if (counted && outcome.started && outcome.arrivedSeconds >= 0) {
            values.push_back(outcome.*field);
        }
    }
    return values;
}

auto writeRun(const deployment &where, const std::string &system, const run_results &run, const std::string &scenario,
              const std::string &folder) -> void
{
    constexpr auto every = std::size_t(20);
    auto gap = openSeries(folder, where.name, system, scenario + ".gap");
    for (const auto &sample : run.service) {
        gap << sample.seconds << " " << fairnessGap(where, sample) << "\n";
    }
    auto load = openSeries(folder, where.name, system, scenario + ".load");
    for (auto index = std::size_t(0); index < run.load.size(); index += every) {
        load << run.load[index].seconds << " " << run.load[index].busyPart << " " << run.load[index].waiting << "\n";
    }
    const auto waits = shortValues(where, run, &request_outcome::waitSeconds);
    writeQuantiles(openSeries(folder, where.name, system, scenario + ".wait"), waits);
    const auto firstTokens = shortValues(where, run, &request_outcome::firstTokenSeconds);
    writeQuantiles(openSeries(folder, where.name, system, scenario + ".first_token"), firstTokens);
}

} // namespace

auto judge(const measure_set &system, const measure_set &leastOutstanding) -> std::vector<verdict>
{
    constexpr auto gapPart = 0.1;
    constexpr auto leastUtilisation = 0.97;
    constexpr auto mostControlBytes = 8'000.0; // Per router and second.
    constexpr auto crestFirstToken = 0.6; // Seconds.
    constexpr auto shortFactor = 2.0;
    constexpr auto longPart = 0.9;
    constexpr auto slowedFactor = 1.5;
    constexpr auto mostHedges = 0.05;
    const auto shortLimit = shortFactor * system.shortWaitAlone;
    const auto slowedLimit = slowedFactor * system.unslowedFirstToken;
    using group = measure_group;
    return {
        atMost(group::fairness, "fairness gap, highest", system.gapHighest, system.gapBound, "tokens"),
        atMost(group::fairness, "fairness gap, at the end", system.gapAtEnd, gapPart * leastOutstanding.gapAtEnd,
               "tokens"),
        atLeast(group::fairness, "utilisation, backlogged", system.utilisation, leastUtilisation, ""),
        atMost(group::control, "control bytes per router", system.controlBytes, mostControlBytes, "B/s"),
        atLeast(group::uneven, "utilisation, uneven", system.utilisationUneven, leastUtilisation, ""),
        atMost(group::crest, "crest: p95 first token", system.crestFirstToken, crestFirstToken, "s"),
        atMost(group::crest, "crest: refused within share", system.crestRefused, 0, "requests"),
        atMost(group::shortBehindLong, "short beside long: p99 wait", system.shortWait, shortLimit, "s"),
        atLeast(group::shortBehindLong, "long work beside short", system.longTokens,
                longPart * leastOutstanding.longTokens, "tokens/s"),
        atMost(group::slowedServers, "slowed: p99 first token", system.slowedFirstToken, slowedLimit, "s"),
        atMost(group::slowedServers, "slowed: hedges", system.hedges, mostHedges, "of calls"),
    };
}

auto tableText(const deployment_result &result) -> std::string
{
    auto text = std::ostringstream();
    text << "\n" << std::left << std::setw(nameWidth) << result.where.name << std::right;
    for (const auto &system : result.systems) {
        text << std::setw(valueWidth) << system.name;
    }
    text << "\n";
    for (const auto &column : columns) {
        text << std::left << std::setw(nameWidth) << column.name << std::right;
        for (const auto &system : result.systems) {
            text << std::setw(valueWidth) << number(system.measures.*column.field, column.digits);
        }
        text << "\n";
    }
    text << "\n";
    constexpr auto digits = 4;
    for (const auto &judged : result.verdicts) {
        text << (judged.met ? "  met     " : "  MISSED  ") << std::left << std::setw(nameWidth) << judged.measure
             << std::right << number(judged.value, digits) << "  target " << number(judged.target, digits) << " "
             << judged.unit << "\n";
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
            for (const auto &[scenario, run] : system.runs) {
                writeRun(result.where, system.name, run, scenario, folder);
            }
        }
    }
    std::ofstream(folder + "/decision.json") << boost::json::serialize(document) << "\n";
}

} // namespace marjoramloom::bench
