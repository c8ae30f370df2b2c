#include "marjoramloom/router/router_view.h"

#include "marjoramloom/core/hash.h"

#include <cassert>

namespace marjoramloom {

namespace {

/// Pointer to the value under \p key, or null.
auto findIn(const auto &map, const auto &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

/// The pointer stored under \p key, or null.
auto pointerIn(const auto &map, const auto &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

router_view::router_view(std::shared_ptr<const configuration> contracts)
    : m_contracts(std::move(contracts))
{
    assert(m_contracts);
    for (const auto &[name, account] : m_contracts->clientAccounts) {
        m_accountById[account.id] = &account;
        for (const auto &hash : account.keyHashes) {
            m_accountByKeyHash[hash] = &account;
        }
    }
    for (const auto &[name, server] : m_contracts->backendServers) {
        m_serverById[server.id] = &server;
    }
    for (const auto &[name, entry] : m_contracts->services) {
        m_serviceById[entry.id] = &entry;
    }
}

auto router_view::contracts() const -> const configuration &
{
    return *m_contracts;
}

auto router_view::accountOfKey(std::string_view token) const -> const client_account *
{
    return token.empty() ? nullptr : pointerIn(m_accountByKeyHash, sha256Hex(token));
}

auto router_view::findService(const std::string &name) const -> const service *
{
    return findIn(m_contracts->services, name);
}

auto router_view::findProfile(const std::string &name) const -> const profile *
{
    return findIn(m_contracts->profiles, name);
}

auto router_view::findServer(object_id id) const -> const backend_server *
{
    return pointerIn(m_serverById, id);
}

auto router_view::findServer(const std::string &name) const -> const backend_server *
{
    return findIn(m_contracts->backendServers, name);
}

auto router_view::findService(object_id id) const -> const service *
{
    return pointerIn(m_serviceById, id);
}

auto router_view::findAccount(object_id id) const -> const client_account *
{
    return pointerIn(m_accountById, id);
}

} // namespace marjoramloom
