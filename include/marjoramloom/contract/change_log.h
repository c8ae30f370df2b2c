#pragma once

#include "marjoramloom/contract/configuration_watcher.h"

namespace marjoramloom {

/// Outcome of a proposed change.
enum class commit_result {
    accepted,
    conflict, ///< Another change was committed first, or the proposal was not based on the latest change.
    invalid, ///< The resulting configuration is not valid; nothing was written.
    refused, ///< Certainly not accepted: nothing was written.
    unknown, ///< May already be accepted or may still become so; retrying with the same id resolves it.
};

/// A change proposed by an operator, not yet committed.
struct proposed_change
{
    std::string id; ///< Chosen by the proposer; the same in each retry.
    std::string author;
    std::uint64_t baseSequence = 0; ///< Sequence of the configuration that the operator started from.
    std::vector<configuration_operation> operations;
};

/// Result of a commit and its details.
struct commit_outcome
{
    commit_result result = commit_result::refused;
    std::uint64_t sequence = 0; ///< Of the accepted change; otherwise the last sequence that is known.
    std::vector<change_summary> concurrentChanges; ///< On a conflict: changes after the base sequence.
    configuration_problems problems; ///< Set if the result is invalid.
};

/// Maximum size of a serialized change; the platform stores values of up to 1 MiB.
constexpr auto maxChangeBytes = std::size_t(1'000'000);

/// Makes the change for \p proposal with number \p sequence and the current time. Thread safe.
auto makeChange(proposed_change proposal, std::uint64_t sequence) -> configuration_change;

/// Returns all problems of \p change and of the configuration that results from applying it to \p before. Thread safe.
auto checkChange(const configuration &before, const configuration_change &change) -> configuration_problems;

/// Commits changes to the configuration.
///
/// A change is committed by a conditional create of the platform object named after the next sequence: only one router
/// can create it. Thread safe if the platform is.
template<watched_store Platform>
class change_log
{
public:
    /// \p limit bounds the duration of one commit including its retries. Precondition: the referenced objects outlive
    /// the log.
    change_log(Platform &platform, configuration_store &store, configuration_watcher<Platform> &watcher,
               std::chrono::milliseconds limit);

    /// Validates the resulting configuration and commits the change. Sets \p why unless the change is accepted.
    auto commit(proposed_change proposal, last_reason &why) -> boost::asio::awaitable<commit_outcome>;

private:
    /// Writes the change and retries until the outcome is final or the limit has passed.
    auto write(std::uint64_t sequence, std::string id, std::string text, last_reason &why)
        -> boost::asio::awaitable<commit_outcome>;
    /// Tries once to create the platform object of the change.
    auto writeOnce(std::uint64_t sequence, const std::string &id, const std::string &text, last_reason &why)
        -> boost::asio::awaitable<commit_result>;
    /// Whether change \p sequence cannot have been deleted by compaction. Returns nothing if the head cannot be read.
    auto isAboveSnapshotFloor(std::uint64_t sequence, last_reason &why) -> boost::asio::awaitable<std::optional<bool>>;
    /// Makes the outcome for a conflict with the changes after \p baseSequence, and sets \p why.
    auto conflictAfter(std::uint64_t baseSequence, last_reason &why) const -> commit_outcome;

    Platform &m_platform;
    configuration_store &m_store;
    configuration_watcher<Platform> &m_watcher;
    snapshot_store<Platform> m_snapshots;
    std::chrono::milliseconds m_limit;
};

} // namespace marjoramloom

#include "marjoramloom/contract/change_log.inl"
