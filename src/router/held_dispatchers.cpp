#include "marjoramloom/router/held_dispatchers.h"

#include "marjoramloom/core/log.h"

namespace marjoramloom {

held_dispatchers::held_dispatchers(std::string dataCentre, dispatcher_settings limits, share_ledger &ledger)
    : m_dataCentre(std::move(dataCentre))
    , m_limits(limits)
    , m_ledger(ledger)
{
}

held_dispatchers::~held_dispatchers() = default;

auto held_dispatchers::setView(std::shared_ptr<const router_view> view, time_point now) -> void
{
    m_view = std::move(view);
    for (const auto &[pool, held] : m_held) {
        refreshServers(*held, now);
    }
}

auto held_dispatchers::hold(const std::vector<pool_id> &pools, time_point now) -> void
{
    auto before = std::exchange(m_held, {});
    for (const auto &pool : pools) {
        auto &slot = m_held[pool];
        const auto known = before.find(pool);
        if (known != before.end()) {
            slot = std::move(known->second);
            continue;
        }
        slot = std::make_unique<dispatcher>(pool, m_limits, m_ledger);
        refreshServers(*slot, now);
        log_line(log_level::info, "dispatcher_taken_up").with("service", pool.service.value);
    }
    for (const auto &[pool, given] : before) {
        if (given) {
            log_line(log_level::info, "dispatcher_given_up").with("service", pool.service.value);
        }
    }
}

auto held_dispatchers::refreshServers(dispatcher &held, time_point now) -> void
{
    if (!m_view) {
        return;
    }
    auto limits = std::map<object_id, std::uint32_t>();
    for (const auto &[name, account] : m_view->contracts().clientAccounts) {
        limits[account.id] = account.queueLimit;
    }
    held.setQueueLimits(limits);
    const auto servers = serversOf(held.pool());
    held.placement().setServers(servers, now);
    for (const auto &server : servers) {
        const auto state = m_serverStates.find(server.id);
        if (state != m_serverStates.end()) {
            held.placement().setState(server.id, state->second, now);
        }
    }
}

auto held_dispatchers::serversOf(const pool_id &pool) const -> std::vector<backend_server>
{
    auto servers = std::vector<backend_server>();
    const auto *target = m_view->findService(pool.service);
    for (const auto &[name, server] : m_view->contracts().backendServers) {
        if (target && server.service == target->name && server.dataCentre == pool.dataCentre) {
            servers.push_back(server);
        }
    }
    return servers;
}

auto held_dispatchers::setServerState(object_id server, server_state state, time_point now) -> std::optional<pool_id>
{
    m_serverStates[server] = state;
    const auto pool = poolOf(server);
    auto *held = pool ? find(*pool) : nullptr;
    if (!held) {
        return std::nullopt;
    }
    held->placement().setState(server, state, now);
    return pool;
}

auto held_dispatchers::find(const pool_id &pool) const -> dispatcher *
{
    const auto found = m_held.find(pool);
    return found == m_held.end() ? nullptr : found->second.get();
}

auto held_dispatchers::poolOf(object_id server) const -> std::optional<pool_id>
{
    const auto *contract = m_view ? m_view->findServer(server) : nullptr;
    const auto *target = contract ? m_view->findService(contract->service) : nullptr;
    if (!target) {
        return std::nullopt;
    }
    return pool_id{ contract->dataCentre, target->id };
}

auto held_dispatchers::ownPools() const -> std::vector<pool_id>
{
    auto pools = std::vector<pool_id>();
    if (m_view) {
        for (const auto &[name, entry] : m_view->contracts().services) {
            pools.push_back({ m_dataCentre, entry.id });
        }
    }
    return pools;
}

auto held_dispatchers::all() const -> const std::map<pool_id, std::unique_ptr<dispatcher>> &
{
    return m_held;
}

} // namespace marjoramloom
