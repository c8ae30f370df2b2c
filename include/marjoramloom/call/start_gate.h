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
    unknown, ///< This process was paused and has not yet refreshed its list of leaving servers.
};

/// Last check before a request is sent to a granted server. The server may have begun to leave after the grant, which
/// this process does not know if it was paused (for example by SIGSTOP) in between. Thread safe.
class start_gate
{
public:
    start_gate();

    /// Records that the process runs at \p now. Must be called several times a second: a longer gap means that the
    /// process was paused, and closes the gate until markRefreshed().
    auto recordTick(time_point now) -> void;

    /// Opens the gate if the list of leaving servers was requested at \p requestedAt, after the pause. Call when the
    /// list has arrived, or when it cannot be obtained.
    auto markRefreshed(time_point requestedAt) -> void;

    /// Replaces the set of servers that take no new work.
    auto setLeaving(std::set<object_id> servers) -> void;

    /// Whether a request may be sent to \p server at \p now. Everything is allowed before the first recordTick().
    [[nodiscard]] auto permission(object_id server, time_point now) const -> start_permission;

private:
    /// Must be shorter than the time in which a notice of a leaving server has to take effect.
    static constexpr duration MAX_TICK_GAP = std::chrono::milliseconds(1'500);

    std::atomic<duration::rep> m_lastTick = 0; ///< 0 before the first tick.
    std::atomic<duration::rep> m_closedAt = 0; ///< 0 while the gate is open.
    rcu_cell<std::set<object_id>> m_leaving;
};

/// Waits while the permission of \p gate is unknown, up to a limit. Returns false if \p server takes no new work.
/// \p gate may be null, and must outlive the coroutine otherwise.
auto mayStartAt(start_gate *gate, object_id server) -> boost::asio::awaitable<bool>;

} // namespace marjoramloom
