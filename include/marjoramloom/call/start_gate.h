#pragma once

#include "marjoramloom/contract/object_id.h"
#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/rcu_cell.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <set>

namespace marjoramloom {

/// Whether a request may be sent to a backend server now.
enum class start_permission {
    allowed,
    leaving, ///< The server takes no new work.
    unknown, ///< This process was paused, and has not yet heard what happened meanwhile.
};

/// Last look before a request is sent: a grant may be older than the news that its server is leaving, above all in a
/// process that was paused between the two. Thread safe.
class start_gate
{
public:
    start_gate();

    /// The process runs at \p now. Call several times a second; a gap closes the gate until refreshed().
    auto touch(time_point now) -> void;

    /// The news that were asked for at \p askedAt have come, or cannot be had.
    auto refreshed(time_point askedAt) -> void;

    /// Servers that take no new work.
    auto setLeaving(std::set<object_id> servers) -> void;

    /// Whether a request may be sent to \p server at \p now. Everything is allowed before the first touch().
    [[nodiscard]] auto permission(object_id server, time_point now) const -> start_permission;

private:
    /// Shorter than the time in which news of a leaving server have to take effect.
    static constexpr duration PAUSE_LIMIT = std::chrono::milliseconds(1'500);

    std::atomic<duration::rep> m_touched = 0; ///< 0: never.
    std::atomic<duration::rep> m_closedAt = 0; ///< 0: open.
    rcu_cell<std::set<object_id>> m_leaving;
};

/// Waits while \p gate (may be null) has no news. False where \p server takes no new work. \p gate outlives it.
auto mayStartAt(start_gate *gate, object_id server) -> boost::asio::awaitable<bool>;

} // namespace marjoramloom
