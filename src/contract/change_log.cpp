#include "marjoramloom/contract/change_log.h"

namespace marjoramloom {

auto makeChange(proposed_change proposal, std::uint64_t sequence) -> configuration_change
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return { .sequence = sequence,
             .id = std::move(proposal.id),
             .author = std::move(proposal.author),
             .unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count(),
             .operations = std::move(proposal.operations) };
}

auto checkChange(const configuration &before, const configuration_change &change) -> configuration_problems
{
    auto problems = checkOperations(before, change.operations);
    const auto resulting = checkConfiguration(applyOperations(before, change));
    problems.insert(problems.end(), resulting.begin(), resulting.end());
    if (changeToText(change).size() > maxChangeBytes) {
        problems.push_back({ {}, 0, {}, "operations", "the change is larger than 1 MB; split it" });
    }
    return problems;
}

} // namespace marjoramloom
