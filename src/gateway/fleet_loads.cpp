#include "marjoramloom/gateway/fleet_loads.h"

namespace marjoramloom {

namespace {

auto change(std::uint32_t &sum, std::uint32_t amount, bool adds) -> void
{
    sum = adds ? sum + amount : sum - amount;
}

} // namespace

auto fleet_loads::take(load_snapshot snapshot, time_point now) -> bool
{
    const auto known = m_routers.find(snapshot.router);
    if (known != m_routers.end()) {
        if (snapshot.sequence <= known->second.snapshot.sequence) {
            return false;
        }
        count(known->second.snapshot, false);
    }
    count(snapshot, true);
    const auto router = snapshot.router;
    m_routers.insert_or_assign(router, heard_router{ std::move(snapshot), now });
    return true;
}

auto fleet_loads::drop(std::uint64_t incarnation) -> void
{
    const auto found = m_routers.find(incarnation);
    if (found != m_routers.end()) {
        count(found->second.snapshot, false);
        m_routers.erase(found);
    }
}

auto fleet_loads::expire(time_point now) -> void
{
    for (auto entry = m_routers.begin(); entry != m_routers.end();) {
        if (now - entry->second.heardAt <= SILENCE_LIMIT) {
            ++entry;
            continue;
        }
        count(entry->second.snapshot, false);
        entry = m_routers.erase(entry);
    }
}

auto fleet_loads::onEngine(std::uint64_t server) const -> engine_share
{
    const auto found = m_engines.find(server);
    return found == m_engines.end() ? engine_share{ server, 0, 0 } : found->second;
}

auto fleet_loads::ofAccount(std::uint64_t account) const -> account_share
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? account_share{ account, 0 } : found->second;
}

auto fleet_loads::startedTokens() const -> std::uint64_t
{
    return m_started;
}

auto fleet_loads::count(const load_snapshot &snapshot, bool adds) -> void
{
    for (const auto &engine : snapshot.engines) {
        auto &sum = m_engines[engine.server];
        change(sum.running, engine.running, adds);
        change(sum.unreadTokens, engine.unreadTokens, adds);
        if (sum.running == 0 && sum.unreadTokens == 0) {
            m_engines.erase(engine.server);
        }
    }
    for (const auto &account : snapshot.accounts) {
        auto &sum = m_accounts[account.account];
        change(sum.startedTokens, account.startedTokens, adds);
        m_started = adds ? m_started + account.startedTokens : m_started - account.startedTokens;
        if (sum.startedTokens == 0) {
            m_accounts.erase(account.account);
        }
    }
}

} // namespace marjoramloom
