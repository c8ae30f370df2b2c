#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/share/ticket.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace marjoramloom {

/// Tickets that were recently released to another pool. Their routers submit them here again while they wait. Such a
/// ticket is accepted again only after the other pool had time to grant it, as it may have been lost on the way. Not
/// thread safe.
class released_tickets
{
public:
    auto add(ticket_id id, time_point now) -> void
    {
        expire(now);
        m_releaseTimes[id] = now;
        m_releaseOrder.emplace_back(now, id);
    }

    [[nodiscard]] auto contains(ticket_id id, time_point now) -> bool
    {
        expire(now);
        return m_releaseTimes.contains(id);
    }

private:
    static constexpr auto resubmissionDelay = duration(std::chrono::seconds(5));

    auto expire(time_point now) -> void
    {
        while (!m_releaseOrder.empty() && now - m_releaseOrder.front().first >= resubmissionDelay) {
            const auto [releaseTime, id] = m_releaseOrder.front();
            m_releaseOrder.pop_front();
            const auto found = m_releaseTimes.find(id);
            if (found != m_releaseTimes.end() && found->second == releaseTime) {
                m_releaseTimes.erase(found);
            }
        }
    }

    std::unordered_map<ticket_id, time_point> m_releaseTimes;
    std::deque<std::pair<time_point, ticket_id>> m_releaseOrder;
};

} // namespace marjoramloom
