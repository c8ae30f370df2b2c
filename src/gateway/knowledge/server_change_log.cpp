#include "marjoramloom/gateway/knowledge/server_change_log.h"

#include <algorithm>

namespace marjoramloom {

namespace {

auto sizeOf(const server_change &change) -> std::size_t
{
    return change.object.name.size() + change.object.value.size();
}

} // namespace

auto server_change_log::reset(std::uint64_t revision) -> void
{
    m_changes.clear();
    m_startRevision = revision;
    m_revision = revision;
}

auto server_change_log::add(server_change change) -> void
{
    m_revision = std::max(m_revision, change.object.revision);
    if (sizeOf(change) > MAX_CHANGE_BYTES) {
        reset(m_revision); // Routers that lack it read the whole list.
        return;
    }
    m_changes.push_back(std::move(change));
    if (m_changes.size() > CAPACITY) {
        m_startRevision = m_changes.front().object.revision;
        m_changes.pop_front();
    }
}

auto server_change_log::advanceTo(std::uint64_t revision) -> void
{
    m_revision = std::max(m_revision, revision);
}

auto server_change_log::revision() const -> std::uint64_t
{
    return m_revision;
}

auto server_change_log::newestChange() const -> std::uint64_t
{
    return m_changes.empty() ? 0 : m_changes.back().object.revision;
}

auto server_change_log::changesAfter(std::uint64_t after, std::size_t limit, std::size_t maxBytes) const
    -> std::optional<std::vector<server_change>>
{
    if (after < m_startRevision) {
        return std::nullopt;
    }
    auto changes = std::vector<server_change>();
    auto bytes = std::size_t(0);
    for (const auto &change : m_changes) {
        if (change.object.revision <= after) {
            continue;
        }
        bytes += sizeOf(change);
        if (changes.size() == limit || (!changes.empty() && bytes > maxBytes)) {
            break;
        }
        changes.push_back(change);
    }
    return changes;
}

} // namespace marjoramloom
