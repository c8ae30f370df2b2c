#include "marjoramloom/gateway/knowledge/evacuated_data_centres.h"

#include <algorithm>
#include <cassert>
#include <iterator>

namespace marjoramloom {

evacuated_data_centres::evacuated_data_centres(listener onChange)
    : m_onChange(std::move(onChange))
{
    assert(m_onChange);
}

auto evacuated_data_centres::apply(evacuation_set newer) -> bool
{
    if (m_isKnown && newer.revision < m_current.revision) {
        return false;
    }
    if (!m_isKnown || newer.revision > m_current.revision) {
        m_isKnown = true;
        replace(std::move(newer.names), newer.revision);
    }
    return true;
}

auto evacuated_data_centres::add(const std::string &name, std::uint64_t revision) -> void
{
    assert(m_isKnown);
    if (revision <= m_current.revision) {
        return; // Already applied from another source.
    }
    auto names = m_current.names;
    names.insert(name);
    replace(std::move(names), revision);
}

auto evacuated_data_centres::remove(const std::string &name, std::uint64_t revision) -> void
{
    assert(m_isKnown);
    if (revision <= m_current.revision) {
        return; // Already applied from another source.
    }
    auto names = m_current.names;
    names.erase(name);
    replace(std::move(names), revision);
}

auto evacuated_data_centres::advanceTo(std::uint64_t revision) -> void
{
    m_current.revision = std::max(m_current.revision, revision);
}

auto evacuated_data_centres::isKnown() const -> bool
{
    return m_isKnown;
}

auto evacuated_data_centres::contains(const std::string &dataCentre) const -> bool
{
    return !m_current.names.empty() && m_current.names.contains(dataCentre);
}

auto evacuated_data_centres::current() const -> const evacuation_set &
{
    return m_current;
}

auto evacuated_data_centres::replace(std::set<std::string> names, std::uint64_t revision) -> void
{
    while (names.size() > MAX_DATA_CENTRES) {
        // The listener reports the size; data centres that were known before stay.
        const auto isNew = [this](const std::string &name) {
            return !m_current.names.contains(name);
        };
        const auto surplus = std::find_if(names.begin(), names.end(), isNew);
        names.erase(surplus == names.end() ? std::prev(names.end()) : surplus);
    }
    auto difference = change();
    const auto &known = m_current.names;
    std::set_difference(names.begin(), names.end(), known.begin(), known.end(),
                        std::inserter(difference.added, difference.added.end()));
    std::set_difference(known.begin(), known.end(), names.begin(), names.end(),
                        std::inserter(difference.removed, difference.removed.end()));
    m_current = { .revision = revision, .names = std::move(names) };
    if (!difference.added.empty() || !difference.removed.empty()) {
        m_onChange(difference, revision);
    }
}

} // namespace marjoramloom
