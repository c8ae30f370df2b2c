#include "marjoramloom/gateway/knowledge/router_roster.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace marjoramloom {

namespace {

/// Hash seed of the order of watchers.
constexpr std::uint64_t watchSeed = 1;

} // namespace

router_roster::router_roster(router_identity self)
    : m_self(idOf(self.address))
{
    put(std::move(self));
}

auto router_roster::idOf(const std::string &address) -> std::uint64_t
{
    return hash64(address);
}

auto router_roster::self() const -> std::uint64_t
{
    return m_self;
}

auto router_roster::isComplete() const -> bool
{
    return m_isComplete;
}

auto router_roster::noteComplete() -> void
{
    m_isComplete = true;
}

auto router_roster::size() const -> std::size_t
{
    return m_routers.size();
}

auto router_roster::runningRouters() const -> std::size_t
{
    return m_routers.size() - m_stoppedRouters;
}

auto router_roster::knows(std::uint64_t id) const -> bool
{
    return m_routers.contains(id);
}

auto router_roster::isLargerThanMost() const -> bool
{
    const auto &own = m_routers.at(m_self).identity;
    auto smaller = std::size_t(0);
    auto others = std::size_t(0);
    for (const auto &[id, router] : m_routers) {
        if (id != m_self && router.identity.dataCentre == own.dataCentre) {
            ++others;
            smaller += router.identity.cores < own.cores ? 1 : 0;
        }
    }
    return 2 * smaller > others;
}

auto router_roster::regionOf(const std::string &dataCentre) const -> const std::string &
{
    static const auto unknown = std::string();
    const auto found = m_regions.find(dataCentre);
    return found == m_regions.end() ? unknown : found->second;
}

auto router_roster::hasRouterIn(const std::string &dataCentre) const -> bool
{
    return std::any_of(m_routers.begin(), m_routers.end(),
                       [&](const auto &entry) { return entry.second.identity.dataCentre == dataCentre; });
}

auto router_roster::addressOf(std::uint64_t id) const -> const std::string &
{
    static const auto unknown = std::string();
    const auto found = m_routers.find(id);
    return found == m_routers.end() ? unknown : found->second.identity.address;
}

auto router_roster::others() const -> std::vector<std::uint64_t>
{
    auto ids = std::vector<std::uint64_t>();
    ids.reserve(m_routers.size());
    for (const auto &[id, router] : m_routers) {
        if (id != m_self) {
            ids.push_back(id);
        }
    }
    return ids;
}

auto router_roster::put(router_identity identity) -> bool
{
    const auto id = idOf(identity.address);
    if (!identity.region.empty()) {
        m_regions[identity.dataCentre] = identity.region;
    }
    const auto [entry, added] = m_routers.try_emplace(id);
    auto &known = entry->second.identity;
    const auto changed = added || known.dataCentre != identity.dataCentre || known.cores != identity.cores;
    known = std::move(identity);
    if (changed) {
        m_dispatchOrders.clear();
        m_watchOrder.clear();
    }
    return added;
}

auto router_roster::noteRequestSent(std::uint64_t id, time_point now) -> void
{
    const auto found = m_routers.find(id);
    if (found != m_routers.end() && !found->second.unansweredSince) {
        found->second.unansweredSince = now;
    }
}

auto router_roster::noteMessageReceived(std::uint64_t id) -> void
{
    const auto found = m_routers.find(id);
    if (found != m_routers.end()) {
        found->second.unansweredSince.reset();
        m_stoppedRouters -= std::exchange(found->second.stopped, false) ? 1 : 0;
    }
}

auto router_roster::noteStopping(std::uint64_t id, time_point now) -> void
{
    noteRequestSent(id, now);
    const auto found = m_routers.find(id);
    if (found != m_routers.end()) {
        m_stoppedRouters += std::exchange(found->second.stopped, true) ? 0 : 1;
    }
}

auto router_roster::isResponsive(std::uint64_t id, time_point now) const -> bool
{
    if (id == m_self) {
        return true;
    }
    const auto found = m_routers.find(id);
    if (found == m_routers.end() || found->second.stopped) {
        return false;
    }
    return !found->second.unansweredSince || now - *found->second.unansweredSince <= SILENCE_LIMIT;
}

auto router_roster::dispatchOrder(std::uint64_t serviceHash, std::uint32_t shard) -> const std::vector<std::uint64_t> &
{
    auto &order = m_dispatchOrders[serviceHash + shard];
    if (!order.empty()) {
        return order;
    }
    auto maxCores = 0.0;
    for (const auto &[id, router] : m_routers) {
        maxCores = std::max(maxCores, router.identity.cores);
    }
    auto ranked = std::vector<std::tuple<bool, std::uint64_t, std::uint64_t>>();
    auto largeCount = std::size_t(0);
    for (const auto &[id, router] : m_routers) {
        const auto isSmall = router.identity.cores < LARGE_ROUTER_FRACTION * maxCores;
        ranked.emplace_back(isSmall, hash64(router.identity.address, serviceHash), id);
        largeCount += isSmall ? 0 : 1;
    }
    std::sort(ranked.begin(), ranked.end());
    std::rotate(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(shard % largeCount),
                ranked.begin() + static_cast<std::ptrdiff_t>(largeCount));
    for (const auto &[isSmall, score, id] : ranked) {
        order.push_back(id);
    }
    return order;
}

auto router_roster::watchOrder() -> const std::vector<std::uint64_t> &
{
    if (m_watchOrder.empty()) {
        const auto &localDataCentre = m_routers.at(m_self).identity.dataCentre;
        auto ranked = std::vector<std::pair<std::uint64_t, std::uint64_t>>();
        for (const auto &[id, router] : m_routers) {
            if (router.identity.dataCentre == localDataCentre) {
                ranked.emplace_back(hash64(router.identity.address, watchSeed), id);
            }
        }
        std::sort(ranked.begin(), ranked.end());
        for (const auto &[score, id] : ranked) {
            m_watchOrder.push_back(id);
        }
    }
    return m_watchOrder;
}

} // namespace marjoramloom
