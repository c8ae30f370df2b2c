#pragma once

#include <cassert>
#include <cstdint>

namespace marjoramloom {

/// Parameters of the bound on the fairness gap. Costs are in weighted tokens.
struct fairness_inputs
{
    std::uint32_t slots = 0; ///< Slots of the service in the whole fleet.
    double largestRequestCost = 0;
    double serviceRate = 0; ///< Weighted tokens per second of all slots together.
    double stalenessSeconds = 0; ///< Report period + digest period + round trip of a pull.
    double threshold = 0; ///< Larger of the pull threshold and the lead allowed to short work.
    double smallestWeight = 1;
};

/// Upper bound on the difference of received service, each divided by its weight, between two accounts that have been
/// backlogged since their received service was equal: in-flight cost + staleness x rate + threshold. Between any two
/// points in time the gap changes by at most twice as much. docs/design/fair-share.md derives the bound. Precondition:
/// the weight is positive. Thread safe.
inline auto fairnessBound(const fairness_inputs &inputs) -> double
{
    assert(inputs.smallestWeight > 0);
    const auto inFlightCost = inputs.slots * inputs.largestRequestCost;
    const auto unreportedCost = 2 * inputs.stalenessSeconds * inputs.serviceRate;
    return inputs.threshold + (inFlightCost + unreportedCost) / inputs.smallestWeight;
}

} // namespace marjoramloom
