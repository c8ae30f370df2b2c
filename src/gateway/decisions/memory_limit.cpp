#include "marjoramloom/gateway/decisions/memory_limit.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

auto memory_limit::ofDispatcher(std::uint64_t kvTokens, double knownFraction) -> std::uint64_t
{
    const auto usable = static_cast<double>(kvTokens) * (1 - RESERVE_FRACTION);
    return static_cast<std::uint64_t>(usable * std::clamp(knownFraction, 0.0, 1.0));
}

auto memory_limit::canEverFit(std::uint64_t kvTokens, std::uint64_t tokens) -> bool
{
    return kvTokens == 0 || tokens <= ofDispatcher(kvTokens, 1);
}

auto memory_limit::ofRouter(std::uint64_t kvTokens, std::string_view server, std::uint64_t router,
                            const std::vector<std::uint64_t> &others) -> std::uint64_t
{
    const auto own = hash64(server, router);
    const auto isOwner =
        std::none_of(others.begin(), others.end(), [&](std::uint64_t other) { return hash64(server, other) > own; });
    return isOwner ? static_cast<std::uint64_t>(static_cast<double>(kvTokens) * RESERVE_FRACTION) : 0;
}

} // namespace marjoramloom
