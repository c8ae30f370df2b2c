#include "marjoramloom/router/connection_registry.h"

#include <utility>

namespace marjoramloom {

connection_registry::entry::entry(connection_registry &registry, std::function<void()> close)
    : m_registry(registry)
    , m_close(std::move(close))
{
    auto &list = m_registry.listOf(m_state);
    m_place = list.insert(list.end(), this);
}

connection_registry::entry::~entry()
{
    (m_close ? m_registry.listOf(m_state) : m_registry.m_closing).erase(m_place);
}

auto connection_registry::entry::setState(state next) -> void
{
    if (m_close) {
        auto &list = m_registry.listOf(next);
        list.splice(list.end(), m_registry.listOf(m_state), m_place);
    }
    m_state = next;
}

auto connection_registry::makeRoom(std::size_t limit) -> bool
{
    if (size() < limit) {
        return true;
    }
    auto &list = m_silent.empty() ? m_idle : m_silent;
    if (list.empty()) {
        return false;
    }
    auto &oldest = *list.front();
    m_closing.splice(m_closing.end(), list, oldest.m_place);
    const auto close = std::exchange(oldest.m_close, nullptr);
    close();
    return true;
}

auto connection_registry::size() const -> std::size_t
{
    return m_silent.size() + m_idle.size() + m_busy.size();
}

auto connection_registry::listOf(state listed) -> std::list<entry *> &
{
    switch (listed) {
    case state::silent:
        return m_silent;
    case state::idle:
        return m_idle;
    case state::busy:
        break;
    }
    return m_busy;
}

} // namespace marjoramloom
