#pragma once

#include <cassert>
#include <cstdint>

namespace marjoramloom {

/// What the bound on the fairness gap depends on. Costs are in weighted tokens.
struct fairness_inputs
{
    std::uint32_t slots = 0; ///< Of the service, in the whole fleet.
    double largestPiece = 0; ///< Highest cost of one request.
    double serviceRate = 0; ///< Weighted tokens a second that all slots deliver.
    double stalenessSeconds = 0; ///< Report period + digest period + round trip of a pull.
    double threshold = 0; ///< Of the pull rule.
    double smallestWeight = 1;
};

/// Highest difference of received service, each divided by its weight, between two accounts that have been backlogged
/// since they were level: in-flight charge + staleness x rate + threshold. Between any two points in time the gap
/// changes by at most twice as much. docs/design/fair-share.md derives it. Precondition: positive weight. Thread safe.
inline auto fairnessBound(const fairness_inputs &inputs) -> double
{
    assert(inputs.smallestWeight > 0);
    const auto inFlight = inputs.slots * inputs.largestPiece;
    const auto unseen = 2 * inputs.stalenessSeconds * inputs.serviceRate;
    return inputs.threshold + (inFlight + unseen) / inputs.smallestWeight;
}

} // namespace marjoramloom
