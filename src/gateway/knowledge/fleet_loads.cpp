#include "marjoramloom/gateway/knowledge/fleet_loads.h"

namespace marjoramloom {

namespace {

auto adjust(std::uint32_t &sum, std::uint32_t amount, bool isAdded) -> void
{
    sum = isAdded ? sum + amount : sum - amount;
}

} // namespace

auto fleet_loads::update(load_snapshot snapshot, time_point now) -> bool
{
    const auto known = m_routers.find(snapshot.router);
    if (known != m_routers.end()) {
        if (snapshot.sequence <= known->second.snapshot.sequence) {
            return false;
        }
        adjustSums(known->second.snapshot, false);
    }
    adjustSums(snapshot, true);
    const auto router = snapshot.router;
    m_routers.insert_or_assign(router, router_report{ std::move(snapshot), now });
    return true;
}

auto fleet_loads::removeRouter(std::uint64_t incarnation) -> void
{
    const auto found = m_routers.find(incarnation);
    if (found != m_routers.end()) {
        adjustSums(found->second.snapshot, false);
        m_routers.erase(found);
    }
}

auto fleet_loads::expire(time_point now) -> void
{
    for (auto entry = m_routers.begin(); entry != m_routers.end();) {
        if (now - entry->second.receivedAt <= SILENCE_LIMIT) {
            ++entry;
            continue;
        }
        adjustSums(entry->second.snapshot, false);
        entry = m_routers.erase(entry);
    }
}

auto fleet_loads::loadOnEngine(std::uint64_t server) const -> engine_load
{
    const auto found = m_engines.find(server);
    return found == m_engines.end() ? engine_load{ server } : found->second;
}

auto fleet_loads::tokensOfAccount(std::uint64_t account) const -> account_tokens
{
    const auto found = m_accounts.find(account);
    return found == m_accounts.end() ? account_tokens{ account, 0 } : found->second;
}

auto fleet_loads::accountCount() const -> std::size_t
{
    return m_accounts.size();
}

auto fleet_loads::startedTokens() const -> std::uint64_t
{
    return m_startedTokens;
}

auto fleet_loads::reportingRouters() const -> std::size_t
{
    return m_routers.size();
}

auto fleet_loads::adjustSums(const load_snapshot &snapshot, bool isAdded) -> void
{
    for (const auto &engine : snapshot.engines) {
        auto &sum = m_engines[engine.server];
        adjust(sum.running, engine.running, isAdded);
        adjust(sum.pendingPrefillTokens, engine.pendingPrefillTokens, isAdded);
        adjust(sum.committedTokens, engine.committedTokens, isAdded);
        if (sum.running == 0 && sum.pendingPrefillTokens == 0 && sum.committedTokens == 0) {
            m_engines.erase(engine.server);
        }
    }
    for (const auto &account : snapshot.accounts) {
        auto &sum = m_accounts[account.account];
        adjust(sum.startedTokens, account.startedTokens, isAdded);
        m_startedTokens = isAdded ? m_startedTokens + account.startedTokens : m_startedTokens - account.startedTokens;
        if (sum.startedTokens == 0) {
            m_accounts.erase(account.account);
        }
    }
}

} // namespace marjoramloom
