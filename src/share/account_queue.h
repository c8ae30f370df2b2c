#pragma once

#include "marjoramloom/share/ticket.h"

#include <map>
#include <utility>

namespace marjoramloom {

/// Waiting tickets of one account: separate queues for short and long work, oldest first. Not thread safe.
class account_queue
{
public:
    using key = std::pair<time_point, ticket_id>;
    using ticket_map = std::map<key, ticket>;

    /// Precondition: the ticket's id is not in the queue.
    auto insert(const ticket &waiting) -> void;

    /// Removes the ticket with the id, length and submission time of \p waiting. Precondition: it is in the queue.
    auto take(const ticket &waiting) -> ticket;

    /// Tickets of one length, oldest first.
    [[nodiscard]] auto tickets(work_length length) const -> const ticket_map &;

    /// The ticket submitted last. Precondition: the queue is not empty.
    [[nodiscard]] auto newest() const -> const ticket &;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto empty() const -> bool;

private:
    auto tickets(work_length length) -> ticket_map &;

    ticket_map m_short;
    ticket_map m_long;
};

} // namespace marjoramloom
