#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/share/ticket.h"

#include <optional>
#include <unordered_map>

namespace marjoramloom {

/// Which accounts are backlogged. One whose queue was empty for less than a second has been so all the time: else an
/// account that sends its next request when the last one ended would lose its claim each time. Not thread safe.
class backlog_tracker
{
public:
    /// An account's first waiting ticket came. Returns whether it is backlogged already.
    auto arrive(object_id account, time_point now) -> bool
    {
        const auto found = m_backlogged.find(account);
        if (found == m_backlogged.end()) {
            return false;
        }
        if (found->second && now - *found->second >= grace) {
            m_backlogged.erase(found);
            return false;
        }
        found->second.reset();
        return true;
    }

    /// An account's last waiting ticket left.
    auto depart(object_id account, time_point now) -> void
    {
        const auto found = m_backlogged.find(account);
        if (found != m_backlogged.end()) {
            found->second = now;
        }
    }

    /// The account waits while slots are short, and has its place in the order.
    auto enter(object_id account) -> void
    {
        m_backlogged.emplace(account, std::nullopt);
    }

    [[nodiscard]] auto contains(object_id account) const -> bool
    {
        return m_backlogged.contains(account);
    }

private:
    static constexpr auto grace = duration(std::chrono::seconds(1));

    std::unordered_map<object_id, std::optional<time_point>> m_backlogged; ///< With the time since it has no ticket.
};

} // namespace marjoramloom
