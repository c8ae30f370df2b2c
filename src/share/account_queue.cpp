#include "share/account_queue.h"

#include <cassert>

namespace marjoramloom {

auto account_queue::insert(const ticket &waiting) -> void
{
    tickets(waiting.length).emplace(key{ waiting.submitted, waiting.id }, waiting);
}

auto account_queue::take(const ticket &waiting) -> ticket
{
    auto node = tickets(waiting.length).extract(key{ waiting.submitted, waiting.id });
    assert(!node.empty());
    return std::move(node.mapped());
}

auto account_queue::tickets(work_length length) -> ticket_map &
{
    return length == work_length::shortWork ? m_short : m_long;
}

auto account_queue::tickets(work_length length) const -> const ticket_map &
{
    return length == work_length::shortWork ? m_short : m_long;
}

auto account_queue::newest() const -> const ticket &
{
    assert(!empty());
    if (m_short.empty()) {
        return m_long.rbegin()->second;
    }
    const auto &newestShort = *m_short.rbegin();
    if (m_long.empty() || m_long.rbegin()->first < newestShort.first) {
        return newestShort.second;
    }
    return m_long.rbegin()->second;
}

auto account_queue::size() const -> std::size_t
{
    return m_short.size() + m_long.size();
}

auto account_queue::empty() const -> bool
{
    return m_short.empty() && m_long.empty();
}

} // namespace marjoramloom
