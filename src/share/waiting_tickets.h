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
    /// Adds a ticket; one with the same id is replaced.
    auto insert(const ticket &waiting) -> void;

    /// Takes a ticket out, or nothing where it does not wait here.
    auto take(ticket_id id) -> std::optional<ticket>;

    /// Takes out all tickets whose deadline is not after \p now.
    auto takeOverdue(time_point now) -> std::vector<ticket>;

    /// Takes out all tickets of a router.
    auto takeOf(incarnation_id router) -> std::vector<ticket>;

    [[nodiscard]] auto contains(ticket_id id) const -> bool;

    /// Queues of the accounts that have waiting tickets.
    [[nodiscard]] auto accounts() const -> const std::map<object_id, account_queue> &;

    /// Number of waiting tickets of an account.
    [[nodiscard]] auto count(object_id account) const -> std::size_t;
    [[nodiscard]] auto count(work_length length) const -> std::size_t;
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct location
    {
        object_id account;
        work_length length = work_length::shortWork;
        time_point submitted;
        time_point deadline;
    };

    std::map<object_id, account_queue> m_queues;
    std::unordered_map<ticket_id, location> m_locations;
    std::set<std::pair<time_point, ticket_id>> m_deadlines;
    std::size_t m_shortCount = 0;
};

} // namespace marjoramloom
