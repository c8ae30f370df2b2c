#include "marjoramloom/gateway/admission_policy.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// How much an account's patience falls as its part of the work grows by one, and its least value.
constexpr double slope = 2.0;
constexpr double leastPatience = 0.25;
/// Part of the objective that a prompt may wait even where its own reading takes longer: the largest prompts would
/// never be served otherwise.
constexpr double leastWait = 0.35;

} // namespace

auto admission_policy::longestWait(duration objective, duration reading, double fraction) const -> duration
{
    const auto patience = std::max(1 - slope * fraction, leastPatience);
    const auto inTime =
        std::max<duration>(objective - reading, std::chrono::duration_cast<duration>(objective * leastWait));
    return std::chrono::duration_cast<duration>(inTime * patience);
}

} // namespace marjoramloom
