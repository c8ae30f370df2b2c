#include "marjoramloom/gateway/decisions/prompt_placement.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <cassert>

namespace marjoramloom {

namespace {

/// Added for engines that failed recently, so that they are used only if all others have long queues.
constexpr auto avoidancePenalty = std::chrono::seconds(2);
/// Advantage of the home engine over equal ones, as requests of other routers have probably filled its prefix cache.
constexpr auto homeAdvantage = std::chrono::milliseconds(15);

/// Added to that where memory is short: routers that decide alone know too little of the engines' prefix caches.
constexpr auto homeAdvantageInShortage = std::chrono::milliseconds(45);
/// Weight of the time to prefill shared tokens again, where memory is short, and what each 100 ms of mean queue wait
/// adds to it, as more prompts wait behind. Higher weights let queues at home engines grow beyond objectives.
constexpr double rereadBaseWeight = 1;
constexpr double rereadWeightPerQueue = 0.5;
/// Weight, relative to that, with which admission counts the time to prefill shared tokens again. With 4, fewer long
/// prompts were in time in bursts than with 2.
constexpr double rereadAdmissionWeight = 2;
constexpr auto rereadQueueUnit = std::chrono::milliseconds(100);

/// Up to this number of requests, the steps of an engine hardly lengthen with each one more.
constexpr std::uint32_t shortStepRequests = 16;
/// Fraction of the slots that prompts may take beyond that. With all of them taken, the steps of an engine get so long
/// that the longest streams miss their callers' deadlines.
constexpr double usableSlotFraction = 0.75;

auto usableSlots(std::uint32_t slots) -> std::uint32_t
{
    return std::min(slots, std::max(shortStepRequests, static_cast<std::uint32_t>(slots * usableSlotFraction)));
}

auto prefillTime(std::uint64_t tokens, double tokensPerMs) -> duration
{
    const auto length = std::chrono::duration<double, std::milli>(static_cast<double>(tokens) / tokensPerMs);
    return std::chrono::duration_cast<duration>(length);
}

} // namespace

prompt_placement::prompt_placement(prefill_rate rate)
    : m_rate(rate)
{
    assert(rate.tokensPerMs > 0 && rate.queuedTokensPerMs > 0);
}

auto prompt_placement::choose(std::span<const engine_candidate> candidates, std::uint32_t promptTokens,
                              const reread_cost &reread) const -> std::optional<engine_choice>
{
    const auto home = std::max_element(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return left.homeScore < right.homeScore;
    });
    const auto weight = rereadWeight(candidates, reread.memoryShortage);
    const auto advantage =
        duration(homeAdvantage) + std::chrono::duration_cast<duration>(homeAdvantageInShortage * reread.memoryShortage);
    auto mostCached = std::uint32_t(0);
    auto best = std::optional<std::size_t>();
    auto bestCost = duration::max();
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        mostCached = std::max(mostCached, std::min(candidate.cachedTokens, reread.sharedTokens));
        if (candidate.outOfMemory || !hasFreeSlot(candidate)) {
            continue;
        }
        auto cost = expectedFirstEvent(candidate, promptTokens);
        cost += candidate.avoided ? duration(avoidancePenalty) : duration::zero();
        cost -= &candidate == &*home ? advantage : duration::zero();
        if (weight > 0 && candidate.cachedTokens < reread.sharedTokens) {
            cost += prefillTime(reread.sharedTokens - candidate.cachedTokens, m_rate.tokensPerMs / weight);
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = index;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    auto choice = estimate(candidates[*best], promptTokens);
    choice.index = *best;
    const auto cached = promptTokens - choice.prefillTokens;
    const auto rereadTokens = mostCached - std::min(cached, mostCached);
    choice.delayToOthers = weight > 0 ? prefillTime(rereadTokens, m_rate.tokensPerMs / (weight * rereadAdmissionWeight))
                                      : duration::zero();
    return choice;
}

auto prompt_placement::estimate(const engine_candidate &candidate, std::uint32_t promptTokens) const -> engine_choice
{
    const auto cached = std::min(candidate.cachedTokens, promptTokens);
    return engine_choice{ .index = 0,
                          .prefillTokens = promptTokens - cached,
                          .wait = queueWait(candidate),
                          .firstEvent = expectedFirstEvent(candidate, promptTokens),
                          .delayToOthers = {} };
}

auto prompt_placement::hasFreeSlot(const engine_candidate &candidate) const -> bool
{
    return candidate.running < usableSlots(candidate.slots);
}

auto prompt_placement::homeScore(std::string_view server, std::uint64_t sharedPrefixId) -> std::uint64_t
{
    return hash64(server, sharedPrefixId);
}

auto prompt_placement::rereadWeight(std::span<const engine_candidate> candidates, double memoryShortage) const -> double
{
    if (memoryShortage <= 0 || candidates.empty()) {
        return 0;
    }
    auto waits = duration::zero();
    for (const auto &candidate : candidates) {
        waits += queueWait(candidate);
    }
    const auto meanWait = toSeconds(waits) / static_cast<double>(candidates.size());
    return memoryShortage * (rereadBaseWeight + rereadWeightPerQueue * meanWait / toSeconds(rereadQueueUnit));
}

auto prompt_placement::queueWait(const engine_candidate &candidate) const -> duration
{
    return prefillTime(candidate.pendingPrefillTokens, m_rate.queuedTokensPerMs);
}

auto prompt_placement::expectedFirstEvent(const engine_candidate &candidate, std::uint32_t promptTokens) const
    -> duration
{
    const auto uncachedTokens = promptTokens - std::min(candidate.cachedTokens, promptTokens);
    return m_rate.overhead + queueWait(candidate) + prefillTime(uncachedTokens, m_rate.tokensPerMs);
}

} // namespace marjoramloom
