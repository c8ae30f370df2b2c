#include "marjoramloom/gateway/server_directory.h"

#include "marjoramloom/gateway/server_loads.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace marjoramloom {

server_directory::server_directory(listener onChange)
    : m_onChange(std::move(onChange))
{
    assert(m_onChange);
}

auto server_directory::replaceAll(std::vector<listed_server> listed, time_point now) -> void
{
    auto present = std::set<std::string>();
    for (auto &server : listed) {
        present.insert(server.id);
        put(std::move(server), now);
    }
    auto absent = std::vector<std::string>();
    for (const auto &[id, held] : m_entries) {
        if (!present.contains(id)) {
            absent.push_back(id);
        }
    }
    for (const auto &id : absent) {
        remove(id, now);
    }
}

auto server_directory::put(listed_server server, time_point /*now*/) -> void
{
    auto &held = m_entries[server.id];
    const auto known = held.server != nullptr;
    const auto sameRun = known && held.server->sameRun(server);
    const auto unchanged = sameRun && held.server->leaving == server.leaving && held.server->slots == server.slots
        && held.server->service == server.service && !held.lapsedUntil;
    // A leaving server does not come back in the same run: an older entry may arrive late.
    server.leaving = server.leaving || (sameRun && held.server->leaving);
    held.misdirected = sameRun && held.misdirected;
    held.lapsedUntil.reset();
    held.server = std::make_shared<const listed_server>(std::move(server));
    rebuild();
    if (!unchanged) {
        m_onChange(*held.server, !known ? "added" : (held.server->leaving ? "leaving" : "changed"));
    }
}

auto server_directory::remove(const std::string &id, time_point now) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return;
    }
    if (!mayHaveLapsed(now) || found->second.server->leaving) {
        drop(id, "removed");
        return;
    }
    if (!found->second.lapsedUntil) {
        found->second.lapsedUntil = m_storeLost ? time_point::max() : *m_renewalEnds;
        m_onChange(*found->second.server, "lapsed");
    }
}

auto server_directory::onStoreLost() -> void
{
    m_storeLost = true;
    m_renewalEnds.reset();
}

auto server_directory::onStoreRegained(time_point now) -> void
{
    if (!m_storeLost) {
        return;
    }
    m_storeLost = false;
    m_renewalEnds = now + RENEWAL_TIME;
    for (auto &[id, held] : m_entries) {
        if (held.lapsedUntil) {
            held.lapsedUntil = m_renewalEnds;
        }
    }
}

auto server_directory::expectRenewals(time_point until) -> void
{
    if (!m_renewalEnds || *m_renewalEnds < until) {
        m_renewalEnds = until;
    }
}

auto server_directory::renewalLeft(time_point now) const -> std::chrono::milliseconds
{
    const auto left = m_renewalEnds ? *m_renewalEnds - now : duration::zero();
    return std::chrono::ceil<std::chrono::milliseconds>(std::max<duration>(left, duration::zero()));
}

auto server_directory::tick(time_point now) -> void
{
    auto ended = std::vector<std::string>();
    for (const auto &[id, held] : m_entries) {
        if (held.lapsedUntil && *held.lapsedUntil <= now) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        drop(id, "not renewed");
    }
}

auto server_directory::noteMisdirected(const listed_server &server) -> void
{
    const auto found = m_entries.find(server.id);
    if (found != m_entries.end() && found->second.server->sameRun(server)) {
        found->second.misdirected = true;
        rebuild();
        m_onChange(server, "misdirected");
    }
}

auto server_directory::usable(const std::string &service) const -> const std::vector<server_ptr> &
{
    static const auto none = std::vector<server_ptr>();
    const auto found = m_usable.find(service);
    return found == m_usable.end() ? none : found->second;
}

auto server_directory::isUsable(const listed_server &server) const -> bool
{
    const auto found = m_entries.find(server.id);
    return found != m_entries.end() && found->second.server->sameRun(server) && !found->second.server->leaving
        && !found->second.misdirected && found->second.server->service == server.service;
}

auto server_directory::findUsable(std::uint64_t run) const -> server_ptr
{
    const auto found = m_usableByRun.find(run);
    return found == m_usableByRun.end() ? nullptr : found->second;
}

auto server_directory::isListed(const listed_server &server) const -> bool
{
    const auto found = m_entries.find(server.id);
    return found != m_entries.end() && found->second.server->sameRun(server);
}

auto server_directory::size() const -> std::size_t
{
    return m_entries.size();
}

auto server_directory::mayHaveLapsed(time_point now) const -> bool
{
    return m_storeLost || (m_renewalEnds && now < *m_renewalEnds);
}

auto server_directory::drop(const std::string &id, std::string_view why) -> void
{
    const auto found = m_entries.find(id);
    const auto server = found->second.server;
    m_entries.erase(found);
    rebuild();
    m_onChange(*server, why);
}

auto server_directory::rebuild() -> void
{
    m_usable.clear();
    m_usableByRun.clear();
    for (const auto &[id, held] : m_entries) {
        if (!held.server->leaving && !held.misdirected) {
            m_usable[held.server->service].push_back(held.server);
            m_usableByRun.emplace(server_loads::runId(*held.server), held.server);
        }
    }
}

} // namespace marjoramloom
