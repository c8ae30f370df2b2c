#include "marjoramloom/gateway/decisions/plain_placement.h"

#include <algorithm>
#include <cassert>
#include <tuple>

namespace marjoramloom {

namespace {

/// Fraction of the latency objective within which an answer is planned. The rest covers the network, new connections
/// and servers that turn slower under load.
constexpr double plannedFraction = 0.5;
/// Assumed service time of a server that has not answered yet, as a fraction of the objective.
constexpr double unknownServiceFraction = 0.25;
/// From this fraction on, the known load is taken for that of the whole fleet: some routers may have left or be idle.
constexpr double sufficientFraction = 0.5;

auto serviceTimeOf(const plain_candidate &candidate, const plain_demand &demand) -> duration
{
    const auto assumed = std::chrono::duration_cast<duration>(demand.objective * unknownServiceFraction);
    const auto known = candidate.serviceTime > duration::zero() ? candidate.serviceTime : assumed;
    return std::max<duration>(known, std::chrono::microseconds(100));
}

auto expectedWait(const plain_candidate &candidate, duration serviceTime) -> duration
{
    const auto waiting = candidate.running < candidate.slots ? 0U : candidate.running + 1 - candidate.slots;
    return std::chrono::duration_cast<duration>(serviceTime * waiting / candidate.slots);
}

} // namespace

auto plain_placement::choose(std::span<const plain_candidate> candidates, const plain_demand &demand) const
    -> std::optional<plain_choice>
{
    using rank = std::tuple<bool, bool, duration, double, bool, std::uint64_t>;
    auto best = std::optional<std::size_t>();
    auto bestRank = rank();
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        assert(candidate.slots > 0);
        // A server that refuses a request though no other is known to be there may accept the next one.
        const auto isKnownFull = candidate.full && candidate.running > 0;
        if (isKnownFull || candidate.running >= maxRunning(candidate, demand)) {
            continue;
        }
        const auto wait = expectedWait(candidate, serviceTimeOf(candidate, demand));
        const auto usage = static_cast<double>(candidate.running) / candidate.slots;
        const auto candidateRank =
            rank(candidate.full, candidate.avoided, wait, usage, candidate.remote, candidate.tieBreak);
        if (!best || candidateRank < bestRank) {
            best = index;
            bestRank = candidateRank;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return plain_choice{ .index = *best, .wait = std::get<duration>(bestRank) };
}

auto plain_placement::maxRunning(const plain_candidate &candidate, const plain_demand &demand) const -> std::uint32_t
{
    const auto serviceTime = serviceTimeOf(candidate, demand);
    const auto planned = std::chrono::duration_cast<duration>(demand.objective * plannedFraction);
    const auto maxWait = m_admission.maxWait(planned, serviceTime, demand.accountShare, 0);
    const auto queued = static_cast<std::uint32_t>(maxWait * candidate.slots / serviceTime);
    const auto accepted = std::min(candidate.slots + queued, candidate.acceptedRequests);
    if (demand.knownFraction >= sufficientFraction) {
        return accepted;
    }
    return std::max(1U, static_cast<std::uint32_t>(accepted * demand.knownFraction));
}

} // namespace marjoramloom
