#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/share/ticket.h"

#include <deque>
#include <unordered_map>
#include <utility>

namespace marjoramloom {

/// Tickets that were handed to another pool lately. Their routers send them here again while they wait; they are taken
/// back only when the other pool had time to grant them, as they may be lost. Not thread safe.
class released_tickets
{
public:
    auto add(ticket_id id, time_point now) -> void
    {
        expire(now);
        m_since[id] = now;
        m_order.emplace_back(now, id);
    }

    [[nodiscard]] auto contains(ticket_id id, time_point now) -> bool
    {
        expire(now);
        return m_since.contains(id);
    }

private:
    static constexpr auto memory = duration(std::chrono::seconds(5));

    auto expire(time_point now) -> void
    {
        while (!m_order.empty() && now - m_order.front().first >= memory) {
            const auto [since, id] = m_order.front();
            m_order.pop_front();
            const auto found = m_since.find(id);
            if (found != m_since.end() && found->second == since) {
                m_since.erase(found);
            }
        }
    }

    std::unordered_map<ticket_id, time_point> m_since;
    std::deque<std::pair<time_point, ticket_id>> m_order;
};

} // namespace marjoramloom
