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

/// What became of a change that a store was offered.
enum class offer_result {
    applied,
    known, ///< Its sequence is not above the store's.
    gap, ///< A change before it is missing.
    malformed, ///< Nothing in it can be read, not even its sequence.
};

/// Why a store's configuration changed hands.
enum class change_source {
    platform,
    peer,
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

/// A committed change, or a snapshot of everything up to its sequence, as it travels between routers.
struct relayed_change
{
    std::uint64_t sequence = 0;
    std::string value;
};

/// Who made a change.
struct change_summary
{
    std::uint64_t sequence = 0;
    std::string id;
    std::string author;
    std::int64_t unixMs = 0;
    std::vector<std::string> objects; ///< "operation kind/name" each.
};

/// The configuration that a router works by. It only moves forward, one committed change at a time or by a snapshot.
///
/// A committed change that this version cannot carry out whole (malformed, or with a result that fails the checks) is
/// stepped over whole, with a log line and a counter: the sequence moves on, the objects stay.
/// Thread safe. Listeners are called in order of the changes, one at a time, and must not offer changes themselves.
class configuration_store
{
public:
    using listener = std::function<void(const std::shared_ptr<const configuration> &)>;

    /// Precondition: \p counters outlives the store.
    explicit configuration_store(counter_registry &counters);

    /// The configuration in force. Never null; sequence 0 before anything was loaded.
    [[nodiscard]] auto read() const -> std::shared_ptr<const configuration>
    {
        return m_cell.read();
    }

    /// The cell itself, for readers on the path of a request.
    [[nodiscard]] auto cell() const -> const rcu_cell<configuration> &
    {
        return m_cell;
    }

    [[nodiscard]] auto sequence() const -> std::uint64_t
    {
        return m_sequence.load(std::memory_order_acquire);
    }

    /// Applies a committed change or snapshot where it is the next one. Precondition: \p value was committed on the
    /// platform with this sequence.
    auto offer(std::uint64_t sequence, const std::string &value, change_source source) -> offer_result;

    /// Changes after \p sequence, at most \p limit. Begins with a snapshot where the changes are no longer kept.
    [[nodiscard]] auto changesAfter(std::uint64_t sequence, std::size_t limit) const -> std::vector<relayed_change>;

    /// Kept changes after \p sequence, for telling operators who changed what.
    [[nodiscard]] auto summariesAfter(std::uint64_t sequence) const -> std::vector<change_summary>;

    /// The sequence at which the change \p id was applied; nothing where it was not, or is no longer kept.
    [[nodiscard]] auto findChange(const std::string &id) const -> std::optional<std::uint64_t>;

    /// Text that offer() takes as a snapshot of the configuration in force.
    [[nodiscard]] auto snapshot() const -> relayed_change;

    /// Calls \p added after each change.
    auto addListener(listener added) -> void;

    /// Notes that the platform was read to its end, or that a peer that had a configuration answered.
    auto noteLoaded() -> void;

    /// Notes the sequence that a peer says it works by.
    auto noteAnnounced(std::uint64_t sequence) -> void;

    /// Whether a configuration is loaded and no peer announced a newer one.
    [[nodiscard]] auto isCurrent() const -> bool;

private:
    struct kept_change
    {
        relayed_change change;
        change_summary summary;
    };

    auto applyChange(std::uint64_t sequence, const std::string &value, change_source source) -> void;
    auto applySnapshot(std::uint64_t sequence, const std::string &value, change_source source) -> offer_result;
    auto publish(configuration next, change_source source) -> void;
    auto keep(relayed_change change, change_summary summary) -> void;
    auto stepOver(std::uint64_t sequence, const std::string &problem) -> void;

    counter &m_applied;
    counter &m_steppedOver;
    rcu_cell<configuration> m_cell;
    std::atomic<std::uint64_t> m_sequence = 0;
    std::atomic<std::uint64_t> m_announced = 0;
    std::atomic<bool> m_loaded = false;
    std::mutex m_applyMutex;
    std::vector<listener> m_listeners;
    mutable std::mutex m_keptMutex;
    std::deque<kept_change> m_kept;
};

} // namespace marjoramloom
