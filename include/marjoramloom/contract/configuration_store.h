#pragma once

#include "marjoramloom/contract/configuration_change.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/rcu_cell.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace marjoramloom {

/// Result of offering a change to a store.
enum class offer_result {
    applied,
    alreadyApplied, ///< Its sequence is not above that of the store.
    gap, ///< An earlier change is missing.
    malformed, ///< A snapshot that cannot be parsed or holds another sequence.
};

/// Where a store got a change from.
enum class change_source {
    platform,
    peer, ///< Another router.
    local, ///< Committed by this router.
};

template<>
struct enum_names<change_source>
{
    static constexpr std::array table{
        enum_name<change_source>{ change_source::platform, "platform" },
        enum_name<change_source>{ change_source::peer, "peer" },
        enum_name<change_source>{ change_source::local, "local" },
    };
};

/// A serialized change or a snapshot of the configuration after it, as exchanged between routers.
struct relayed_change
{
    std::uint64_t sequence = 0;
    std::string value;
};

/// Author and objects of a change.
struct change_summary
{
    std::uint64_t sequence = 0;
    std::string id;
    std::string author;
    std::int64_t unixMs = 0;
    std::vector<std::string> objects; ///< As "operation kind/name".
};

/// Holds the active configuration of a router. Its sequence only increases, by one committed change at a time or by a
/// snapshot.
///
/// A committed change that is malformed, or that leads to a configuration that is not valid for this version, is
/// skipped as a whole: the sequence advances, the objects do not change, and the event is logged and counted.
///
/// Thread safe. Listeners are called in the order of the changes, one at a time, and must not call offer().
class configuration_store
{
public:
    using listener = std::function<void(const std::shared_ptr<const configuration> &)>;

    /// Precondition: \p counters outlives the store.
    explicit configuration_store(counter_registry &counters);

    /// Returns the active configuration. Never null; its sequence is 0 until one was loaded.
    [[nodiscard]] auto read() const -> std::shared_ptr<const configuration>
    {
        return m_cell.read();
    }

    /// Returns the cell that holds the active configuration, for readers in the request path.
    [[nodiscard]] auto cell() const -> const rcu_cell<configuration> &
    {
        return m_cell;
    }

    [[nodiscard]] auto sequence() const -> std::uint64_t
    {
        return m_sequence.load(std::memory_order_acquire);
    }

    /// Applies a committed change if it is the next one, or a snapshot if it is newer than the active configuration.
    /// Precondition: \p value was committed on the platform with this sequence.
    auto offer(std::uint64_t sequence, const std::string &value, change_source source) -> offer_result;

    /// Returns at most \p limit changes after \p sequence, or a snapshot if the next change is no longer in memory.
    [[nodiscard]] auto changesAfter(std::uint64_t sequence, std::size_t limit) const -> std::vector<relayed_change>;

    /// Returns summaries of the changes after \p sequence that are still in memory.
    [[nodiscard]] auto summariesAfter(std::uint64_t sequence) const -> std::vector<change_summary>;

    /// Returns the sequence of the change with this id; nothing if it was not applied or is no longer in memory.
    [[nodiscard]] auto findChange(const std::string &id) const -> std::optional<std::uint64_t>;

    /// Serializes the active configuration as a snapshot for offer().
    [[nodiscard]] auto snapshot() const -> relayed_change;

    /// Calls \p callback after each change.
    auto addListener(listener callback) -> void;

    /// Notes that all changes on the platform were read.
    auto noteLoaded() -> void;

    /// Notes the sequence of the active configuration of a peer.
    auto notePeerSequence(std::uint64_t sequence) -> void;

    /// Whether a configuration is loaded and no peer is known to have a newer one.
    [[nodiscard]] auto isUpToDate() const -> bool;

private:
    /// A change that is kept in memory for peers and operators.
    struct recent_change
    {
        relayed_change change;
        change_summary summary;
    };

    auto applyChange(std::uint64_t sequence, const std::string &value, change_source source) -> void;
    auto applySnapshot(std::uint64_t sequence, const std::string &value, change_source source) -> offer_result;
    auto publish(configuration next, change_source source) -> void;
    /// Stores an applied change and drops the oldest ones beyond the limits of count and size.
    auto addRecentChange(relayed_change change, change_summary summary) -> void;
    /// Counts and logs a change that was not applied.
    auto reportSkippedChange(std::uint64_t sequence, const std::string &problem) -> void;

    counter &m_appliedChanges;
    counter &m_skippedChanges;
    rcu_cell<configuration> m_cell;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::atomic<std::uint64_t> m_highestPeerSequence = 0;
    std::atomic<bool> m_loaded = false; ///< The platform was read, even if it holds no changes.
    std::mutex m_applyMutex;
    std::vector<listener> m_listeners;
    mutable std::mutex m_recentChangesMutex;
    std::deque<recent_change> m_recentChanges;
};

} // namespace marjoramloom
