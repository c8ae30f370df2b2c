#include "marjoramloom/gateway/decisions/slot_grants.h"

#include <cassert>

namespace marjoramloom {

namespace {

/// Time between two searches for expired grants.
constexpr auto expiryPeriod = std::chrono::milliseconds(20);

} // namespace

auto slot_grants::add(std::uint64_t router, std::uint64_t server, std::uint32_t running, time_point now)
    -> std::uint64_t
{
    m_routers[router].emplace(++m_lastNumber, grant{ server, running, now });
    ++m_running[server];
    return m_lastNumber;
}

auto slot_grants::release(std::uint64_t router, std::uint64_t number) -> std::optional<grant>
{
    const auto known = m_routers.find(router);
    if (known == m_routers.end()) {
        return std::nullopt;
    }
    auto ended = known->second.extract(number);
    if (ended.empty()) {
        return std::nullopt;
    }
    subtract(ended.mapped());
    return ended.mapped();
}

auto slot_grants::reconcile(std::uint64_t router, std::uint64_t last, const std::set<std::uint64_t> &held,
                            time_point now) -> std::map<std::uint64_t, std::uint32_t>
{
    auto retained = std::map<std::uint64_t, std::uint32_t>();
    const auto known = m_routers.find(router);
    if (known == m_routers.end()) {
        return retained;
    }
    auto &grants = known->second;
    for (auto entry = grants.begin(); entry != grants.end() && entry->first <= last;) {
        if (held.contains(entry->first)) {
            entry->second.renewedAt = now;
            ++retained[entry->second.server];
            ++entry;
        } else {
            subtract(entry->second);
            entry = grants.erase(entry);
        }
    }
    return retained;
}

auto slot_grants::removeRouter(std::uint64_t router) -> void
{
    const auto known = m_routers.find(router);
    if (known == m_routers.end()) {
        return;
    }
    for (const auto &[number, ended] : known->second) {
        subtract(ended);
    }
    m_routers.erase(known);
}

auto slot_grants::expire(time_point now) -> void
{
    if (now - m_lastExpiry < expiryPeriod) {
        return;
    }
    m_lastExpiry = now;
    for (auto router = m_routers.begin(); router != m_routers.end();) {
        auto &grants = router->second;
        for (auto entry = grants.begin(); entry != grants.end();) {
            if (now - entry->second.renewedAt <= LIFETIME) {
                ++entry;
                continue;
            }
            subtract(entry->second);
            entry = grants.erase(entry);
        }
        router = grants.empty() ? m_routers.erase(router) : std::next(router);
    }
}

auto slot_grants::running(std::uint64_t server) const -> std::uint32_t
{
    const auto found = m_running.find(server);
    return found == m_running.end() ? 0 : found->second;
}

auto slot_grants::subtract(const grant &ended) -> void
{
    const auto found = m_running.find(ended.server);
    assert(found != m_running.end() && found->second > 0);
    if (--found->second == 0) {
        m_running.erase(found);
    }
}

} // namespace marjoramloom
