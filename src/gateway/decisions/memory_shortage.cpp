#include "marjoramloom/gateway/decisions/memory_shortage.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Sessions come back within about this time.
constexpr auto retentionTime = std::chrono::seconds(10);
/// Memory is fully short where the prompts of that time exceed it by this factor.
constexpr double fullShortage = 1.5;

} // namespace

auto memoryShortage(std::uint64_t sentTokens, duration window, std::uint64_t kvTokens) -> double
{
    assert(window > duration::zero());
    if (kvTokens == 0) {
        return 0;
    }
    const auto turnover = static_cast<double>(sentTokens) * (toSeconds(retentionTime) / toSeconds(window))
        / static_cast<double>(kvTokens);
    return std::clamp((turnover - 1) / (fullShortage - 1), 0.0, 1.0);
}

} // namespace marjoramloom
