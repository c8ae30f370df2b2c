#include "marjoramloom/router/local_dispatchers.h"

#include "marjoramloom/core/log.h"

namespace marjoramloom {

local_dispatchers::local_dispatchers(std::string dataCentre, dispatcher_settings limits, share_ledger &ledger)
    : m_dataCentre(std::move(dataCentre))
    , m_limits(limits)
    , m_ledger(ledger)
{
}

local_dispatchers::~local_dispatchers() = default;

auto local_dispatchers::setView(std::shared_ptr<const router_view> view, time_point now) -> void
{
    m_view = std::move(view);
    for (const auto &[pool, local] : m_dispatchers) {
        updateDispatcher(*local, now);
    }
}

auto local_dispatchers::setPools(const std::vector<pool_id> &pools, time_point now) -> void
{
    auto previous = std::exchange(m_dispatchers, {});
    for (const auto &pool : pools) {
        auto &slot = m_dispatchers[pool];
        const auto existing = previous.find(pool);
        if (existing != previous.end()) {
            slot = std::move(existing->second);
            continue;
        }
        slot = std::make_unique<dispatcher>(pool, m_limits, m_ledger);
        updateDispatcher(*slot, now);
        log_line(log_level::info, "dispatcher_taken_up").with("service", pool.service.value);
    }
    for (const auto &[pool, dropped] : previous) {
        if (dropped) {
            log_line(log_level::info, "dispatcher_given_up").with("service", pool.service.value);
        }
    }
}

auto local_dispatchers::updateDispatcher(dispatcher &local, time_point now) -> void
{
    if (!m_view) {
        return;
    }
    auto limits = std::map<object_id, std::uint32_t>();
    for (const auto &[name, account] : m_view->config().clientAccounts) {
        limits[account.id] = account.queueLimit;
    }
    local.setQueueLimits(limits);
    const auto servers = serversOf(local.pool());
    local.placement().setServers(servers, now);
    for (const auto &server : servers) {
        const auto state = m_serverStates.find(server.id);
        if (state != m_serverStates.end()) {
            local.placement().setState(server.id, state->second, now);
        }
    }
}

auto local_dispatchers::serversOf(const pool_id &pool) const -> std::vector<backend_server>
{
    auto servers = std::vector<backend_server>();
    const auto *target = m_view->findService(pool.service);
    for (const auto &[name, server] : m_view->config().backendServers) {
        if (target && server.service == target->name && server.dataCentre == pool.dataCentre) {
            servers.push_back(server);
        }
    }
    return servers;
}

auto local_dispatchers::setServerState(object_id server, server_state state, time_point now) -> std::optional<pool_id>
{
    m_serverStates[server] = state;
    const auto pool = poolOf(server);
    auto *local = pool ? find(*pool) : nullptr;
    if (!local) {
        return std::nullopt;
    }
    local->placement().setState(server, state, now);
    return pool;
}

auto local_dispatchers::find(const pool_id &pool) const -> dispatcher *
{
    const auto found = m_dispatchers.find(pool);
    return found == m_dispatchers.end() ? nullptr : found->second.get();
}

auto local_dispatchers::poolOf(object_id server) const -> std::optional<pool_id>
{
    const auto *entry = m_view ? m_view->findServer(server) : nullptr;
    const auto *target = entry ? m_view->findService(entry->service) : nullptr;
    if (!target) {
        return std::nullopt;
    }
    return pool_id{ entry->dataCentre, target->id };
}

auto local_dispatchers::dataCentrePools() const -> std::vector<pool_id>
{
    auto pools = std::vector<pool_id>();
    if (m_view) {
        for (const auto &[name, entry] : m_view->config().services) {
            pools.push_back({ m_dataCentre, entry.id });
        }
    }
    return pools;
}

auto local_dispatchers::all() const -> const std::map<pool_id, std::unique_ptr<dispatcher>> &
{
    return m_dispatchers;
}

} // namespace marjoramloom
