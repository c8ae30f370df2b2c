#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/share/ticket.h"

#include <optional>
#include <unordered_map>

namespace marjoramloom {

/// Tracks which accounts are backlogged. An account whose queue is empty for less than a second stays backlogged:
/// otherwise an account that sends its next request when the previous one ends would lose its claim to unused service
/// each time. Not thread safe.
class backlog_tracker
{
public:
    /// Records the first waiting ticket of an account. Returns whether the account is still backlogged.
    auto onFirstTicket(object_id account, time_point now) -> bool
    {
        const auto found = m_backlogged.find(account);
        if (found == m_backlogged.end()) {
            return false;
        }
        if (found->second && now - *found->second >= emptyQueueGrace) {
            m_backlogged.erase(found);
            return false;
        }
        found->second.reset();
        return true;
    }

    /// Records that the last waiting ticket of an account was removed.
    auto onQueueEmpty(object_id account, time_point now) -> void
    {
        const auto found = m_backlogged.find(account);
        if (found != m_backlogged.end()) {
            found->second = now;
        }
    }

    /// Marks an account as backlogged: it has waiting tickets while slots are scarce.
    auto markBacklogged(object_id account) -> void
    {
        m_backlogged.emplace(account, std::nullopt);
    }

    [[nodiscard]] auto contains(object_id account) const -> bool
    {
        return m_backlogged.contains(account);
    }

private:
    static constexpr auto emptyQueueGrace = duration(std::chrono::seconds(1));

    /// Backlogged accounts, each with the time at which its queue became empty, if it is empty.
    std::unordered_map<object_id, std::optional<time_point>> m_backlogged;
};

} // namespace marjoramloom
