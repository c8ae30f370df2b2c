#include "share/grant_order.h"

#include <algorithm>

namespace marjoramloom {

auto grant_order::lane(work_length length) -> std::set<due_account> &
{
    return length == work_length::shortWork ? m_short : m_long;
}

auto grant_order::place(const due_account &due, bool hasShort, bool hasLong) -> void
{
    const auto known = m_places.find(due.account);
    if (known != m_places.end()) {
        m_short.erase(known->second);
        m_long.erase(known->second);
    }
    m_places[due.account] = due;
    if (hasShort) {
        m_short.insert(due);
    }
    if (hasLong) {
        m_long.insert(due);
    }
}

auto grant_order::next(double allowance, bool longAllowed) const -> std::optional<turn>
{
    if (!m_short.empty()) {
        const auto &shortest = *m_short.begin();
        const auto ahead = m_long.empty() ? 0 : shortest.virtualService - m_long.begin()->virtualService;
        if (ahead <= allowance) {
            return turn{ shortest.account, work_length::shortWork };
        }
        // Where short work waits there is no reserve to keep: fairness decides.
        return turn{ m_long.begin()->account, work_length::longWork };
    }
    if (!m_long.empty() && longAllowed) {
        return turn{ m_long.begin()->account, work_length::longWork };
    }
    return std::nullopt;
}

auto grant_order::skip(const turn &which) -> void
{
    lane(which.length).erase(m_places.at(which.account));
}

auto grant_order::close(work_length length) -> void
{
    lane(length).clear();
}

auto grant_order::lowest() const -> std::optional<double>
{
    auto found = std::optional<double>();
    for (const auto *lane : { &m_short, &m_long }) {
        if (!lane->empty()) {
            found = std::min(found.value_or(lane->begin()->virtualService), lane->begin()->virtualService);
        }
    }
    return found;
}

} // namespace marjoramloom
