#include "marjoramloom/router/router_view.h"

#include "marjoramloom/core/hash.h"

#include <cassert>

namespace marjoramloom {

namespace {

/// Returns a pointer to the value of \p key, or null.
auto findIn(const auto &map, const auto &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

/// Returns the pointer that is the value of \p key, or null.
auto pointerIn(const auto &map, const auto &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

router_view::router_view(std::shared_ptr<const configuration> config)
    : m_config(std::move(config))
{
    assert(m_config);
    for (const auto &[name, account] : m_config->clientAccounts) {
        m_accountById[account.id] = &account;
        for (const auto &hash : account.keyHashes) {
            m_accountByKeyHash[hash] = &account;
        }
    }
    for (const auto &[name, server] : m_config->backendServers) {
        m_serverById[server.id] = &server;
    }
    for (const auto &[name, entry] : m_config->services) {
        m_serviceById[entry.id] = &entry;
    }
}

auto router_view::config() const -> const configuration &
{
    return *m_config;
}

auto router_view::findAccountByKey(std::string_view token) const -> const client_account *
{
    return token.empty() ? nullptr : pointerIn(m_accountByKeyHash, sha256Hex(token));
}

auto router_view::findService(const std::string &name) const -> const service *
{
    return findIn(m_config->services, name);
}

auto router_view::findProfile(const std::string &name) const -> const profile *
{
    return findIn(m_config->profiles, name);
}

auto router_view::findServer(object_id id) const -> const backend_server *
{
    return pointerIn(m_serverById, id);
}

auto router_view::findServer(const std::string &name) const -> const backend_server *
{
    return findIn(m_config->backendServers, name);
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
