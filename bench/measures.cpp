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

auto collect(const deployment_settings &deployment, const run_results &run, const outcome_filter &included,
             double request_outcome::*field) -> std::vector<double>
{
    auto values = std::vector<double>();
    for (const auto &outcome : run.requests) {
        if (outcome.arrivedSeconds >= 0 && outcome.started
            && included(outcome, deployment.classes[outcome.classIndex])) {
            values.push_back(outcome.*field);
        }
    }
    return values;
}

auto isModelRequest(const request_outcome &, const request_class &requestClass) -> bool
{
    return requestClass.target == service_index::model;
}

auto isShortModelRequest(const request_outcome &outcome, const request_class &requestClass) -> bool
{
    return isModelRequest(outcome, requestClass) && requestClass.length == work_length::shortWork;
}

auto utilisationWhileWaiting(const run_results &run) -> double
{
    auto busy = 0.0;
    auto sampleCount = 0.0;
    for (const auto &sample : run.load) {
        busy += sample.hasDelayedRequest ? sample.busyFraction : 0;
        sampleCount += sample.hasDelayedRequest ? 1 : 0;
    }
    return sampleCount > 0 ? busy / sampleCount : 1;
}

/// Weighted tokens per second that all accounts received together.
auto serviceRate(const run_results &run) -> double
{
    const auto &first = run.service.front();
    const auto &last = run.service.back();
    const auto sum = [](const service_sample &sample) {
        return std::accumulate(sample.received.begin(), sample.received.end(), 0.0);
    };
    return (sum(last) - sum(first)) / (last.seconds - first.seconds);
}

auto gapBound(const deployment_settings &deployment, const run_results &run) -> double
{
    constexpr auto controlStalenessSeconds = 0.2 + 0.5; // Report period plus digest period.
    constexpr auto pullMessageCount = 4; // Two in each direction until a pulled ticket is granted.
    auto inputs = fairness_inputs();
    inputs.slots = deployment.engines * deployment.engine.slots;
    inputs.largestRequestCost = run.largestRequestCost;
    inputs.serviceRate = serviceRate(run);
    inputs.stalenessSeconds = controlStalenessSeconds + pullMessageCount * deployment.oneWayLatencySeconds;
    inputs.threshold = dispatcher_settings().pullThreshold;
    return fairnessBound(inputs);
}

auto measureCrest(const deployment_settings &deployment, const run_results &run, measure_set &measures) -> void
{
    const auto isWithinShare = [&](const request_outcome &outcome, const request_class &requestClass) {
        return requestClass.target == service_index::model && deployment.accounts[outcome.account].weight == 1;
    };
    measures.crestFirstToken =
        quantile(collect(deployment, run, isWithinShare, &request_outcome::firstTokenSeconds), 0.95);
    for (const auto &outcome : run.requests) {
        const auto isCounted =
            outcome.arrivedSeconds >= 0 && isWithinShare(outcome, deployment.classes[outcome.classIndex]);
        measures.crestRefused += isCounted && outcome.refused ? 1 : 0;
    }
}

auto measureFairness(const deployment_settings &deployment, const run_results &run, measure_set &measures) -> void
{
    for (const auto &sample : run.service) {
        measures.gapHighest = std::max(measures.gapHighest, fairnessGap(deployment, sample));
    }
    measures.gapAtEnd = fairnessGap(deployment, run.service.back());
    measures.gapBound = gapBound(deployment, run);
    measures.utilisation = utilisationWhileWaiting(run);
    const auto routers = deployment.dataCentres * deployment.routersPerDataCentre;
    measures.controlMessages = static_cast<double>(run.control.envelopes) / run.seconds / routers;
    for (const auto bytes : run.control.bytesByRouter) {
        measures.controlBytes = std::max(measures.controlBytes, static_cast<double>(bytes) / run.seconds);
    }
}

auto measureShortBehindLong(const deployment_settings &deployment, const run_results &withLong,
                            const run_results &shortOnly, measure_set &measures) -> void
{
    measures.shortWait =
        quantile(collect(deployment, withLong, isShortModelRequest, &request_outcome::waitSeconds), 0.99);
    measures.shortWaitAlone =
        quantile(collect(deployment, shortOnly, isShortModelRequest, &request_outcome::waitSeconds), 0.99);
    measures.longTokens = withLong.longTokens / withLong.seconds;
    measures.suspensions = static_cast<double>(withLong.suspensions) / withLong.seconds;
    measures.repeatedPrefill = withLong.repeatedPrefillTokens / withLong.seconds;
}

auto measureSlowed(const deployment_settings &deployment, const run_results &slowed, const run_results &unslowed,
                   measure_set &measures) -> void
{
    const auto firstToken = &request_outcome::firstTokenSeconds;
    measures.slowedFirstToken = quantile(collect(deployment, slowed, isModelRequest, firstToken), 0.99);
    measures.unslowedFirstToken = quantile(collect(deployment, unslowed, isModelRequest, firstToken), 0.99);
    measures.hedges = static_cast<double>(slowed.hedges) / static_cast<double>(slowed.requests.size());
}

} // namespace

auto quantile(std::vector<double> values, double fraction) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto index =
        std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

auto fairnessGap(const deployment_settings &deployment, const service_sample &sample) -> double
{
    auto lowest = std::numeric_limits<double>::infinity();
    auto highest = 0.0;
    for (auto account = std::size_t(0); account < sample.received.size(); ++account) {
        const auto received = sample.received[account] / deployment.accounts[account].weight;
        lowest = std::min(lowest, received);
        highest = std::max(highest, received);
    }
    return highest - lowest;
}

auto measure(const deployment_settings &deployment, const run_set &runs) -> measure_set
{
    auto measures = measure_set();
    if (runs.contains("backlogged")) {
        measureFairness(deployment, runs.at("backlogged"), measures);
    }
    if (runs.contains("uneven")) {
        measures.utilisationUneven = utilisationWhileWaiting(runs.at("uneven"));
    }
    if (runs.contains("crest")) {
        measureCrest(deployment, runs.at("crest"), measures);
    }
    if (runs.contains("short_and_long")) {
        measureShortBehindLong(deployment, runs.at("short_and_long"), runs.at("short_only"), measures);
    }
    if (runs.contains("slowed")) {
        measureSlowed(deployment, runs.at("slowed"), runs.at("not_slowed"), measures);
    }
    return measures;
}

} // namespace marjoramloom::bench
