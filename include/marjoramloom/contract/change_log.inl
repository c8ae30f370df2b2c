#include "marjoramloom/contract/configuration_check.h"

namespace marjoramloom {

namespace change_limits {
constexpr auto minRetryDelay = std::chrono::milliseconds(50);
constexpr auto maxRetryDelay = std::chrono::milliseconds(500);
} // namespace change_limits

template<watched_store Platform>
change_log<Platform>::change_log(Platform &platform, configuration_store &store,
                                 configuration_watcher<Platform> &watcher, std::chrono::milliseconds limit)
    : m_platform(platform)
    , m_store(store)
    , m_watcher(watcher)
    , m_snapshots(platform)
    , m_limit(limit)
{
}

template<watched_store Platform>
auto change_log<Platform>::commit(proposed_change proposal, last_reason &why) -> boost::asio::awaitable<commit_outcome>
{
    if (proposal.baseSequence > m_store.sequence()) {
        // The operator read the configuration from a router that is ahead of this one.
        co_await m_watcher.refresh(why);
    }
    const auto acceptedSequence = m_store.findChange(proposal.id);
    if (acceptedSequence) {
        co_return commit_outcome{
            .result = commit_result::accepted, .sequence = *acceptedSequence, .concurrentChanges = {}, .problems = {}
        };
    }
    const auto before = m_store.read();
    if (proposal.baseSequence > before->sequence) {
        why.fail(failure_kind::unavailable, "commit change", "", "this router has not heard of the latest changes yet");
        co_return commit_outcome{
            .result = commit_result::refused, .sequence = before->sequence, .concurrentChanges = {}, .problems = {}
        };
    }
    if (proposal.baseSequence < before->sequence) {
        co_return conflictAfter(proposal.baseSequence, why);
    }
    auto outcome = commit_outcome{
        .result = commit_result::invalid, .sequence = before->sequence, .concurrentChanges = {}, .problems = {}
    };
    auto change = makeChange(std::move(proposal), before->sequence + 1);
    outcome.problems = checkChange(*before, change);
    if (!outcome.problems.empty()) {
        why.fail(failure_kind::invalidInput, "check change", "", outcome.problems.front().message());
        co_return outcome;
    }
    auto text = changeToText(change);
    outcome = co_await write(change.sequence, change.id, text, why);
    if (outcome.result == commit_result::accepted) {
        m_store.offer(change.sequence, text, change_source::local);
        co_return outcome;
    }
    if (outcome.result == commit_result::conflict) {
        auto ignored = last_reason();
        co_await m_watcher.refresh(ignored);
        co_return conflictAfter(change.sequence - 1, why);
    }
    co_return outcome;
}

template<watched_store Platform>
auto change_log<Platform>::write(std::uint64_t sequence, std::string id, std::string text, last_reason &why)
    -> boost::asio::awaitable<commit_outcome>
{
    auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
    auto backoff = retry_backoff(change_limits::minRetryDelay, change_limits::maxRetryDelay, sequence);
    const auto deadline = std::chrono::steady_clock::now() + m_limit;
    auto mayBeCommitted = false;
    for (;;) {
        const auto result = co_await writeOnce(sequence, id, text, why);
        const auto isFinal = result == commit_result::accepted || result == commit_result::conflict;
        if (isFinal) {
            co_return commit_outcome{ .result = result, .sequence = sequence, .concurrentChanges = {}, .problems = {} };
        }
        mayBeCommitted = mayBeCommitted || result == commit_result::unknown;
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        timer.expires_after(backoff.next());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    const auto result = mayBeCommitted ? commit_result::unknown : commit_result::refused;
    co_return commit_outcome{ .result = result, .sequence = sequence - 1, .concurrentChanges = {}, .problems = {} };
}

template<watched_store Platform>
auto change_log<Platform>::writeOnce(std::uint64_t sequence, const std::string &id, const std::string &text,
                                     last_reason &why) -> boost::asio::awaitable<commit_result>
{
    const auto name = changeName(sequence);
    const auto outcome = co_await m_platform.create(changeKind, name, text, why);
    if (outcome.result == write_result::notSent) {
        co_return commit_result::refused;
    }
    if (outcome.result == write_result::unknown) {
        co_return commit_result::unknown;
    }
    if (outcome.result == write_result::conflict) {
        auto problems = configuration_problems();
        const auto existing = changeFromText(outcome.current.value, problems);
        if (!existing || existing->id != id) {
            co_return commit_result::conflict;
        }
    }
    // If the name was free because compaction had deleted an older change, the created object is not a commit.
    const auto aboveFloor = co_await isAboveSnapshotFloor(sequence, why);
    if (!aboveFloor) {
        co_return commit_result::unknown;
    }
    co_return *aboveFloor ? commit_result::accepted : commit_result::conflict;
}

template<watched_store Platform>
auto change_log<Platform>::isAboveSnapshotFloor(std::uint64_t sequence, last_reason &why)
    -> boost::asio::awaitable<std::optional<bool>>
{
    const auto head = co_await m_snapshots.readHead(why);
    co_return head ? std::optional(sequence > head->floor) : std::nullopt;
}

template<watched_store Platform>
auto change_log<Platform>::conflictAfter(std::uint64_t baseSequence, last_reason &why) const -> commit_outcome
{
    why.fail(failure_kind::conflict, "commit change", "",
             "the configuration was changed since sequence " + std::to_string(baseSequence));
    return { .result = commit_result::conflict,
             .sequence = m_store.sequence(),
             .concurrentChanges = m_store.summariesAfter(baseSequence),
             .problems = {} };
}

} // namespace marjoramloom
