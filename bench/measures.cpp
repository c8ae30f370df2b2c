#include "measures.h"

#include <functional>

#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/fairness_bound.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace marjoramloom::bench {

namespace {

using outcome_filter = std::function<bool(const request_outcome &, const request_class &)>;

auto collect(const deployment &where, const run_results &run, const outcome_filter &included,
             double request_outcome::*field) -> std::vector<double>
{
    auto values = std::vector<double>();
    for (const auto &outcome : run.requests) {
        if (outcome.arrivedSeconds >= 0 && outcome.started && included(outcome, where.classes[outcome.kind])) {
            values.push_back(outcome.*field);
        }
    }
    return values;
}

auto ofModel(const request_outcome &, const request_class &kind) -> bool
{
    return kind.target == service_index::model;
}

auto shortModel(const request_outcome &outcome, const request_class &kind) -> bool
{
    return ofModel(outcome, kind) && kind.length == work_length::shortWork;
}

auto utilisationWhileWaiting(const run_results &run) -> double
{
    auto busy = 0.0;
    auto moments = 0.0;
    for (const auto &sample : run.load) {
        busy += sample.workWaits ? sample.busyPart : 0;
        moments += sample.workWaits ? 1 : 0;
    }
    return moments > 0 ? busy / moments : 1;
}

/// Weighted tokens a second, over all accounts.
auto serviceRate(const run_results &run) -> double
{
    const auto &first = run.service.front();
    const auto &last = run.service.back();
    const auto sum = [](const service_sample &sample) {
        return std::accumulate(sample.received.begin(), sample.received.end(), 0.0);
    };
    return (sum(last) - sum(first)) / (last.seconds - first.seconds);
}

auto gapBound(const deployment &where, const run_results &run) -> double
{
    constexpr auto controlStaleness = 0.2 + 0.5; // Seconds: report period and digest period.
    constexpr auto pullMessages = 4; // Two each way, as a ticket travels and is granted.
    auto inputs = fairness_inputs();
    inputs.slots = where.engines * where.engine.slots;
    inputs.largestRequestCost = run.largestRequestCost;
    inputs.serviceRate = serviceRate(run);
    inputs.stalenessSeconds = controlStaleness + pullMessages * where.oneWaySeconds;
    inputs.threshold = dispatcher_settings().pullThreshold;
    return fairnessBound(inputs);
}

auto measureCrest(const deployment &where, const run_results &run, measure_set &measured) -> void
{
    const auto withinShare = [&](const request_outcome &outcome, const request_class &kind) {
        return kind.target == service_index::model && where.accounts[outcome.account].weight == 1;
    };
    measured.crestFirstToken = quantile(collect(where, run, withinShare, &request_outcome::firstTokenSeconds), 0.95);
    for (const auto &outcome : run.requests) {
        const auto counted = outcome.arrivedSeconds >= 0 && withinShare(outcome, where.classes[outcome.kind]);
        measured.crestRefused += counted && outcome.refused ? 1 : 0;
    }
}

auto measureFairness(const deployment &where, const run_results &run, measure_set &measured) -> void
{
    for (const auto &sample : run.service) {
        measured.gapHighest = std::max(measured.gapHighest, fairnessGap(where, sample));
    }
    measured.gapAtEnd = fairnessGap(where, run.service.back());
    measured.gapBound = gapBound(where, run);
    measured.utilisation = utilisationWhileWaiting(run);
    const auto routers = where.dataCentres * where.routersPerDataCentre;
    measured.controlMessages = static_cast<double>(run.control.messages) / run.seconds / routers;
    for (const auto bytes : run.control.bytesByRouter) {
        measured.controlBytes = std::max(measured.controlBytes, static_cast<double>(bytes) / run.seconds);
    }
}

auto measureShortBehindLong(const deployment &where, const run_results &mixed, const run_results &alone,
                            measure_set &measured) -> void
{
    measured.shortWait = quantile(collect(where, mixed, shortModel, &request_outcome::waitSeconds), 0.99);
    measured.shortWaitAlone = quantile(collect(where, alone, shortModel, &request_outcome::waitSeconds), 0.99);
    measured.longTokens = mixed.longTokens / mixed.seconds;
    measured.suspensions = static_cast<double>(mixed.suspensions) / mixed.seconds;
    measured.repeatedPrefill = mixed.repeatedPrefillTokens / mixed.seconds;
}

auto measureSlowed(const deployment &where, const run_results &slowed, const run_results &unslowed,
                   measure_set &measured) -> void
{
    const auto firstToken = &request_outcome::firstTokenSeconds;
    measured.slowedFirstToken = quantile(collect(where, slowed, ofModel, firstToken), 0.99);
    measured.unslowedFirstToken = quantile(collect(where, unslowed, ofModel, firstToken), 0.99);
    measured.hedges = static_cast<double>(slowed.hedges) / static_cast<double>(slowed.requests.size());
}

} // namespace

auto quantile(std::vector<double> values, double part) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto place = std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place), values.end());
    return values[place];
}

auto fairnessGap(const deployment &where, const service_sample &sample) -> double
{
    auto lowest = std::numeric_limits<double>::infinity();
    auto highest = 0.0;
    for (auto account = std::size_t(0); account < sample.received.size(); ++account) {
        const auto received = sample.received[account] / where.accounts[account].weight;
        lowest = std::min(lowest, received);
        highest = std::max(highest, received);
    }
    return highest - lowest;
}

auto measure(const deployment &where, const run_set &runs) -> measure_set
{
    auto measured = measure_set();
    if (runs.contains("backlogged")) {
        measureFairness(where, runs.at("backlogged"), measured);
    }
    if (runs.contains("uneven")) {
        measured.utilisationUneven = utilisationWhileWaiting(runs.at("uneven"));
    }
    if (runs.contains("crest")) {
        measureCrest(where, runs.at("crest"), measured);
    }
    if (runs.contains("short_and_long")) {
        measureShortBehindLong(where, runs.at("short_and_long"), runs.at("short_only"), measured);
    }
    if (runs.contains("slowed")) {
        measureSlowed(where, runs.at("slowed"), runs.at("not_slowed"), measured);
    }
    return measured;
}

} // namespace marjoramloom::bench
