#pragma once

#include "share/account_queue.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// All waiting tickets of a pool: by account, by id and by deadline. Not thread safe.
class waiting_tickets
{
public:
    /// Adds a ticket or replaces the one with the same id.
    auto insert(const ticket &waiting) -> void;

    /// Removes and returns a ticket, if it waits here.
    auto take(ticket_id id) -> std::optional<ticket>;

    /// Removes and returns all tickets whose deadline is not after \p now.
    auto takeExpired(time_point now) -> std::vector<ticket>;

    /// Removes and returns all tickets of a router.
    auto takeByRouter(incarnation_id router) -> std::vector<ticket>;

    [[nodiscard]] auto contains(ticket_id id) const -> bool;

    /// Queues of the accounts that have waiting tickets.
    [[nodiscard]] auto accounts() const -> const std::map<object_id, account_queue> &;

    /// Number of waiting tickets of an account.
    [[nodiscard]] auto count(object_id account) const -> std::size_t;
    [[nodiscard]] auto count(work_length length) const -> std::size_t;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct ticket_entry
    {
        object_id account;
        work_length length = work_length::shortWork;
        time_point submitted;
        time_point deadline;
    };

    std::map<object_id, account_queue> m_queues;
    std::unordered_map<ticket_id, ticket_entry> m_entries;
    std::set<std::pair<time_point, ticket_id>> m_deadlines;
    std::size_t m_shortCount = 0;
};

} // namespace marjoramloom
