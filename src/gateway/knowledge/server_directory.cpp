#include "marjoramloom/gateway/knowledge/server_directory.h"

#include "marjoramloom/gateway/knowledge/server_loads.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace marjoramloom {

server_directory::server_directory(listener onChange)
    : m_onChange(std::move(onChange))
{
    assert(m_onChange);
}

auto server_directory::replaceAll(std::vector<listed_server> listed, std::uint64_t revision, time_point now) -> void
{
    auto present = std::set<std::string>();
    auto restored = std::exchange(m_restored, {});
    for (auto &server : listed) {
        present.insert(server.id);
        if (m_entries.contains(server.id) || !m_evidence.wasRemovedBefore(server)) {
            put(std::move(server), now);
            continue;
        }
        const auto known = restored.find(server.id);
        const auto isKnown = known != restored.end() && known->second.server.revision == server.revision;
        const auto until = isKnown ? known->second.until : now + RESTORED_TIME;
        const auto id = server.id;
        m_restored.emplace(id, restored_entry{ .server = std::move(server), .until = until });
    }
    auto absent = std::vector<std::string>();
    for (const auto &[id, current] : m_entries) {
        if (!present.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const auto &id : absent) {
        remove(id, revision, now);
    }
}

auto server_directory::put(listed_server server, time_point now) -> void
{
    m_restored.erase(server.id);
    auto newest = m_evidence.addEntry(server, now);
    if (!newest || !m_evidence.isListed(server.id)) {
        // It is late. A removed server that may renew its entry stays in use, unless it turns out to be leaving or to
        // have started again before the removal.
        const auto found = m_entries.find(server.id);
        if (newest && found != m_entries.end()
            && (newest->draining || !found->second.server->isSameIncarnation(*newest))) {
            removeEntry(server.id, "removed");
        }
        return;
    }
    auto &current = m_entries[server.id];
    const auto known = current.server != nullptr;
    const auto isSameIncarnation = known && current.server->isSameIncarnation(*newest);
    const auto unchanged = isSameIncarnation && current.server->draining == newest->draining
        && current.server->slots == newest->slots && current.server->service == newest->service
        && !current.expiredKeptUntil;
    if (!isSameIncarnation) {
        current.misdirectedUntil.reset();
    }
    current.statedLeaving = m_statedLeaving.contains(server_loads::incarnationId(*newest));
    current.expiredKeptUntil.reset();
    current.server = std::move(newest);
    rebuildIndexes();
    if (!unchanged) {
        m_onChange(*current.server, !known ? "added" : (current.server->draining ? "leaving" : "changed"));
    }
}

auto server_directory::remove(const std::string &id, std::uint64_t revision, time_point now) -> void
{
    m_restored.erase(id);
    const auto isRemoved = m_evidence.addRemoval(id, revision, now);
    const auto found = m_entries.find(id);
    if (!isRemoved || found == m_entries.end()) {
        return;
    }
    if (!mayBeRenewed(now) || found->second.server->draining) {
        removeEntry(id, "removed");
        return;
    }
    if (!found->second.expiredKeptUntil) {
        found->second.expiredKeptUntil = m_storeLost ? time_point::max() : *m_renewalDeadline;
        m_onChange(*found->second.server, "lapsed");
    }
}

auto server_directory::onStoreLost() -> void
{
    m_storeLost = true;
    m_renewalDeadline.reset();
}

auto server_directory::onStoreRegained(time_point now) -> void
{
    if (!m_storeLost) {
        return;
    }
    m_storeLost = false;
    m_renewalDeadline = now + RENEWAL_TIME;
    for (auto &[id, current] : m_entries) {
        if (current.expiredKeptUntil) {
            current.expiredKeptUntil = m_renewalDeadline;
        }
    }
}

auto server_directory::expectRenewals(time_point until) -> void
{
    if (!m_renewalDeadline || *m_renewalDeadline < until) {
        m_renewalDeadline = until;
    }
}

auto server_directory::limitRenewals(time_point end) -> void
{
    if (!m_renewalDeadline || *m_renewalDeadline <= end) {
        return;
    }
    m_renewalDeadline = end;
    for (auto &[id, current] : m_entries) {
        if (current.expiredKeptUntil) {
            current.expiredKeptUntil = std::min(*current.expiredKeptUntil, end);
        }
    }
}

auto server_directory::renewalLeft(time_point now) const -> std::chrono::milliseconds
{
    const auto left = m_renewalDeadline ? *m_renewalDeadline - now : duration::zero();
    return std::chrono::ceil<std::chrono::milliseconds>(std::max<duration>(left, duration::zero()));
}

auto server_directory::tick(time_point now) -> void
{
    auto expired = std::vector<std::string>();
    for (const auto &[id, current] : m_entries) {
        if (current.expiredKeptUntil && *current.expiredKeptUntil <= now) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        removeEntry(id, "not renewed");
    }
    addOutlastingEntries(now);
    endMisdirections(now);
    forgetOldStatements(now);
    m_evidence.tick(now);
}

auto server_directory::noteMisdirected(const listed_server &server, time_point now) -> void
{
    const auto found = m_entries.find(server.id);
    if (found != m_entries.end() && found->second.server->isSameIncarnation(server)) {
        found->second.misdirectedUntil = now + MISDIRECTED_TIME;
        rebuildIndexes();
        m_onChange(server, "misdirected");
    }
}

auto server_directory::noteLeaving(std::uint64_t incarnation, leaving_source source, time_point now) -> bool
{
    if (!m_statedLeaving.emplace(incarnation, now).second) {
        return false;
    }
    if (m_statedLeaving.size() > MAX_LEAVING_SERVERS) {
        m_statedLeaving.erase(
            std::min_element(m_statedLeaving.begin(), m_statedLeaving.end(),
                             [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    for (auto &[id, current] : m_entries) {
        if (server_loads::incarnationId(*current.server) == incarnation) {
            current.statedLeaving = true;
            rebuildIndexes();
            m_onChange(*current.server, nameOf(source));
            break;
        }
    }
    return true;
}

auto server_directory::leavingAheadOfList(std::size_t limit) const -> std::vector<std::uint64_t>
{
    auto servers = std::vector<std::uint64_t>();
    if (m_statedLeaving.empty()) {
        return servers;
    }
    for (const auto &[id, current] : m_entries) {
        if (current.statedLeaving && !current.server->draining && servers.size() < limit) {
            servers.push_back(server_loads::incarnationId(*current.server));
        }
    }
    return servers;
}

auto server_directory::setEvacuated(std::set<std::string> dataCentres) -> void
{
    m_evacuated = std::move(dataCentres);
    rebuildIndexes();
}

auto server_directory::serversIn(const std::string &dataCentre) const -> std::vector<server_ptr>
{
    auto servers = std::vector<server_ptr>();
    for (const auto &[id, current] : m_entries) {
        if (current.server->dataCentre == dataCentre) {
            servers.push_back(current.server);
        }
    }
    return servers;
}

auto server_directory::usable(const std::string &service) const -> const std::vector<server_ptr> &
{
    static const auto noServers = std::vector<server_ptr>();
    const auto found = m_usableByService.find(service);
    return found == m_usableByService.end() ? noServers : found->second;
}

auto server_directory::isUsable(const listed_server &server) const -> bool
{
    const auto found = m_entries.find(server.id);
    return found != m_entries.end() && found->second.server->isSameIncarnation(server)
        && !found->second.server->draining && !found->second.misdirectedUntil && !found->second.statedLeaving
        && found->second.server->service == server.service && !m_evacuated.contains(server.dataCentre);
}

auto server_directory::findUsable(std::uint64_t incarnation) const -> server_ptr
{
    const auto found = m_usableByIncarnation.find(incarnation);
    return found == m_usableByIncarnation.end() ? nullptr : found->second;
}

auto server_directory::forEachOf(const std::string &service, const visitor &visit) const -> void
{
    for (const auto &[id, current] : m_entries) {
        if (current.server->service != service) {
            continue;
        }
        auto reason = std::optional<rejection>();
        if (current.server->draining) {
            reason = rejection::draining;
        } else if (current.statedLeaving) {
            reason = rejection::leaving;
        } else if (current.misdirectedUntil) {
            reason = rejection::misdirected;
        } else if (m_evacuated.contains(current.server->dataCentre)) {
            reason = rejection::evacuated;
        }
        visit(*current.server, reason);
    }
}

auto server_directory::isListed(const listed_server &server) const -> bool
{
    const auto found = m_entries.find(server.id);
    return found != m_entries.end() && found->second.server->isSameIncarnation(server);
}

auto server_directory::size() const -> std::size_t
{
    return m_entries.size();
}

auto server_directory::isStoreLost() const -> bool
{
    return m_storeLost;
}

auto server_directory::mayBeRenewed(time_point now) const -> bool
{
    return m_storeLost || (m_renewalDeadline && now < *m_renewalDeadline);
}

auto server_directory::removeEntry(const std::string &id, std::string_view change) -> void
{
    const auto found = m_entries.find(id);
    const auto server = found->second.server;
    m_entries.erase(found);
    rebuildIndexes();
    m_onChange(*server, change);
}

auto server_directory::addOutlastingEntries(time_point now) -> void
{
    auto outlasting = std::vector<listed_server>();
    for (const auto &[id, entry] : m_restored) {
        if (entry.until <= now) {
            outlasting.push_back(entry.server);
        }
    }
    for (auto &server : outlasting) {
        put(std::move(server), now);
    }
}

/// Makes servers usable again whose misdirection was seen MISDIRECTED_TIME ago.
auto server_directory::endMisdirections(time_point now) -> void
{
    auto ended = std::vector<server_ptr>();
    for (auto &[id, current] : m_entries) {
        if (current.misdirectedUntil && *current.misdirectedUntil <= now) {
            current.misdirectedUntil.reset();
            ended.push_back(current.server);
        }
    }
    if (!ended.empty()) {
        rebuildIndexes();
    }
    for (const auto &server : ended) {
        m_onChange(*server, "misdirection ended");
    }
}

/// Forgets the statements of servers that have not been listed for LEAVING_MEMORY.
auto server_directory::forgetOldStatements(time_point now) -> void
{
    if (m_statedLeaving.empty()) {
        return;
    }
    for (const auto &[id, current] : m_entries) {
        if (current.statedLeaving) {
            m_statedLeaving[server_loads::incarnationId(*current.server)] = now;
        }
    }
    std::erase_if(m_statedLeaving, [&](const auto &statement) { return now - statement.second > LEAVING_MEMORY; });
}

auto server_directory::rebuildIndexes() -> void
{
    m_usableByService.clear();
    m_usableByIncarnation.clear();
    for (const auto &[id, current] : m_entries) {
        const auto isEvacuated = !m_evacuated.empty() && m_evacuated.contains(current.server->dataCentre);
        if (!current.server->draining && !current.misdirectedUntil && !current.statedLeaving && !isEvacuated) {
            m_usableByService[current.server->service].push_back(current.server);
            m_usableByIncarnation.emplace(server_loads::incarnationId(*current.server), current.server);
        }
    }
}

} // namespace marjoramloom
