#include "share/waiting_tickets.h"

namespace marjoramloom {

auto waiting_tickets::insert(const ticket &waiting) -> void
{
    take(waiting.id);
    m_queues[waiting.account].insert(waiting);
    m_entries[waiting.id] = { waiting.account, waiting.length, waiting.submitted, waiting.deadline };
    m_deadlines.emplace(waiting.deadline, waiting.id);
    m_shortCount += waiting.length == work_length::shortWork ? 1 : 0;
}

auto waiting_tickets::take(ticket_id id) -> std::optional<ticket>
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    const auto entry = found->second;
    m_entries.erase(found);
    m_deadlines.erase({ entry.deadline, id });
    m_shortCount -= entry.length == work_length::shortWork ? 1 : 0;
    auto key = ticket();
    key.id = id;
    key.length = entry.length;
    key.submitted = entry.submitted;
    const auto queue = m_queues.find(entry.account);
    auto taken = queue->second.take(key);
    if (queue->second.empty()) {
        m_queues.erase(queue);
    }
    return taken;
}

auto waiting_tickets::takeExpired(time_point now) -> std::vector<ticket>
{
    auto expired = std::vector<ticket>();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        expired.push_back(*take(m_deadlines.begin()->second));
    }
    return expired;
}

auto waiting_tickets::takeByRouter(incarnation_id router) -> std::vector<ticket>
{
    auto ids = std::vector<ticket_id>();
    for (const auto &[id, entry] : m_entries) {
        if (id.router == router) {
            ids.push_back(id);
        }
    }
    auto taken = std::vector<ticket>();
    for (const auto id : ids) {
        taken.push_back(*take(id));
    }
    return taken;
}

auto waiting_tickets::contains(ticket_id id) const -> bool
{
    return m_entries.contains(id);
}

auto waiting_tickets::accounts() const -> const std::map<object_id, account_queue> &
{
    return m_queues;
}

auto waiting_tickets::count(object_id account) const -> std::size_t
{
    const auto queue = m_queues.find(account);
    return queue == m_queues.end() ? 0 : queue->second.size();
}

auto waiting_tickets::count(work_length length) const -> std::size_t
{
    return length == work_length::shortWork ? m_shortCount : m_entries.size() - m_shortCount;
}

auto waiting_tickets::size() const -> std::size_t
{
    return m_entries.size();
}

} // namespace marjoramloom
