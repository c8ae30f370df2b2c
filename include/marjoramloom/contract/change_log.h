#pragma once

#include "marjoramloom/contract/configuration_watcher.h"

namespace marjoramloom {

/// How a proposed change ended.
enum class commit_result {
    accepted,
    conflict, ///< Another change came first, or the proposer had not seen the latest ones.
    invalid, ///< The resulting configuration is wrong; nothing was written.
    refused, ///< Proved: not accepted, as nothing could be written.
    unknown, ///< It may be accepted, or may yet be; proposing it again with the same id settles it.
};

/// A change as an operator asks for it.
struct proposed_change
{
    std::string id; ///< Chosen by the proposer; the same in each repeat.
    std::string author;
    std::uint64_t baseSequence = 0; ///< Last change that the operator had seen.
    std::vector<configuration_operation> operations;
};

struct commit_outcome
{
    commit_result result = commit_result::refused;
    std::uint64_t sequence = 0; ///< Of the accepted change; else the last one known.
    std::vector<change_summary> others; ///< On a conflict: what was changed since the proposal's base.
    configuration_problems problems; ///< Where invalid.
};

/// Largest text of a change; the platform holds values up to 1 MiB.
constexpr auto changeLimitBytes = std::size_t(1'000'000);

/// The change that \p proposal asks for, as number \p sequence, made now. Thread safe.
auto makeChange(proposed_change proposal, std::uint64_t sequence) -> configuration_change;

/// Everything wrong with \p change itself and with the configuration it would make of \p before. Thread safe.
auto checkChange(const configuration &before, const configuration_change &change) -> configuration_problems;

/// Commits changes to the configuration: the conditional create of the next sequence is the commit.
///
/// Thread safe where the platform is.
template<watched_store Platform>
class change_log
{
public:
    /// Precondition: all outlive it. \p limit bounds one commit with its retries.
    change_log(Platform &platform, configuration_store &store, configuration_watcher<Platform> &watcher,
               std::chrono::milliseconds limit);

    /// Checks the whole resulting configuration and commits the change. \p why is set unless accepted.
    auto commit(proposed_change proposal, last_reason &why) -> boost::asio::awaitable<commit_outcome>;

private:
    auto write(std::uint64_t sequence, std::string id, std::string text, last_reason &why)
        -> boost::asio::awaitable<commit_outcome>;
    auto writeOnce(std::uint64_t sequence, const std::string &id, const std::string &text, last_reason &why)
        -> boost::asio::awaitable<commit_result>;
    auto liesAboveFloor(std::uint64_t sequence, last_reason &why) -> boost::asio::awaitable<std::optional<bool>>;
    auto conflictAfter(std::uint64_t baseSequence, last_reason &why) const -> commit_outcome;

    Platform &m_platform;
    configuration_store &m_store;
    configuration_watcher<Platform> &m_watcher;
    snapshot_store<Platform> m_snapshots;
    std::chrono::milliseconds m_limit;
};

} // namespace marjoramloom

#include "marjoramloom/contract/change_log.inl"
