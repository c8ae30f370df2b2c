#include "marjoramloom/gateway/prompt_placement.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Added for engines that failed lately, so that they are used only where all others are far behind.
constexpr auto avoidancePenalty = std::chrono::seconds(2);
/// Advantage of the home engine over others that look alike, as other routers' requests have filled it.
constexpr auto homeAdvantage = std::chrono::milliseconds(15);

auto readingTime(std::uint64_t tokens, double tokensPerMs) -> duration
{
    const auto reading = std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokensPerMs);
    return std::chrono::duration_cast<duration>(reading);
}

} // namespace

prompt_placement::prompt_placement(reading_pace pace)
    : m_pace(pace)
{
    assert(pace.tokensPerMs > 0 && pace.aheadPerMs > 0);
}

auto prompt_placement::choose(std::span<const engine_candidate> candidates, std::uint32_t promptTokens) const
    -> std::optional<engine_choice>
{
    const auto home = std::max_element(candidates.begin(), candidates.end(),
                                       [](const auto &left, const auto &right) { return left.home < right.home; });
    auto best = std::optional<std::size_t>();
    auto bestCost = duration::max();
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        if (candidate.running >= candidate.slots) {
            continue;
        }
        auto cost = expected(candidate, promptTokens);
        cost += candidate.avoided ? duration(avoidancePenalty) : duration::zero();
        cost -= &candidate == &*home ? duration(homeAdvantage) : duration::zero();
        if (cost < bestCost) {
            bestCost = cost;
            best = index;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    const auto &chosen = candidates[*best];
    const auto kept = std::min(chosen.keptTokens, promptTokens);
    return engine_choice{ .index = *best,
                          .tokensToRead = promptTokens - kept,
                          .wait = waitAt(chosen),
                          .firstEvent = expected(chosen, promptTokens) };
}

auto prompt_placement::homeScore(std::string_view server, std::uint64_t sharedPart) -> std::uint64_t
{
    return hash64(server, sharedPart);
}

auto prompt_placement::waitAt(const engine_candidate &candidate) const -> duration
{
    return readingTime(candidate.unreadTokens, m_pace.aheadPerMs);
}

auto prompt_placement::expected(const engine_candidate &candidate, std::uint32_t promptTokens) const -> duration
{
    const auto toRead = promptTokens - std::min(candidate.keptTokens, promptTokens);
    return m_pace.overhead + waitAt(candidate) + readingTime(toRead, m_pace.tokensPerMs);
}

} // namespace marjoramloom
