#include "marjoramloom/gateway/admission_policy.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// Longest wait of an account that got nothing lately, as a multiple of the objective.
constexpr double fullPatience = 1.0;
/// Shortest, of an account that got everything.
constexpr double leastPatience = 0.25;
/// How much an account's patience falls as its part of the work grows by one.
constexpr double slope = 2.0;

} // namespace

auto admission_policy::longestWait(duration objective, double fraction) const -> duration
{
    const auto patience = std::max(fullPatience - slope * fraction, leastPatience);
    return std::chrono::duration_cast<duration>(objective * patience);
}

} // namespace marjoramloom
