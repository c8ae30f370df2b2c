#include "object_log.h"

#include <algorithm>

namespace standins {

auto object_log::at(const std::string &kind, const std::string &name, std::uint64_t revision) const -> object_write
{
    const auto ofKind = m_revisions.find(kind);
    if (ofKind == m_revisions.end() || !ofKind->second.contains(name)) {
        return {};
    }
    const auto &revisions = ofKind->second.at(name);
    const auto next = std::upper_bound(revisions.begin(), revisions.end(), revision);
    if (next == revisions.begin()) {
        return {};
    }
    const auto &write = m_writes.at(*std::prev(next) - 1);
    return write.deleted ? object_write() : write;
}

auto object_log::listAt(const std::string &kind, std::uint64_t revision) const -> std::vector<object_write>
{
    auto listed = std::vector<object_write>();
    const auto ofKind = m_revisions.find(kind);
    if (ofKind == m_revisions.end()) {
        return listed;
    }
    for (const auto &[name, revisions] : ofKind->second) {
        auto found = at(kind, name, revision);
        if (found.revision != 0) {
            listed.push_back(std::move(found));
        }
    }
    return listed;
}

auto object_log::append(object_write write) -> object_write
{
    write.revision = revision() + 1;
    m_revisions[write.kind][write.name].push_back(write.revision);
    m_writes.push_back(write);
    return write;
}

auto object_log::restore(std::uint64_t revision) -> void
{
    m_writes.resize(std::min<std::size_t>(revision, m_writes.size()));
    for (auto &[kind, names] : m_revisions) {
        for (auto &[name, revisions] : names) {
            revisions.erase(std::upper_bound(revisions.begin(), revisions.end(), revision), revisions.end());
        }
    }
}

auto object_log::after(std::uint64_t since) const -> std::vector<object_write>
{
    const auto first = std::min<std::uint64_t>(since, m_writes.size());
    return { m_writes.begin() + static_cast<std::ptrdiff_t>(first), m_writes.end() };
}

} // namespace standins
