#include "marjoramloom/gateway/decisions/cold_budget.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <utility>

namespace marjoramloom {

auto cold_budget::fleetLimit(double perSecond, double overshoot, double tolerance) -> std::uint32_t
{
    constexpr double maxLimit = 1e6;
    const auto bound = std::floor(std::clamp(perSecond * overshoot + tolerance, 0.0, maxLimit));
    const auto whole = static_cast<std::uint32_t>(bound);
    return whole - std::min(whole, RESERVED_REQUESTS);
}

auto cold_budget::rankOf(std::string_view engine, std::uint64_t self, std::span<const std::uint64_t> others)
    -> std::size_t
{
    const auto own = std::pair(hash64(engine, self), self);
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](std::uint64_t router) {
        return std::pair(hash64(engine, router), router) < own;
    }));
}

auto cold_budget::shareOf(std::uint32_t limit, std::size_t rank, std::size_t routers) -> std::uint32_t
{
    assert(rank < routers);
    return static_cast<std::uint32_t>(limit / routers + (rank < limit % routers ? 1 : 0));
}

auto cold_budget::hasRoom(std::uint64_t engine, std::uint32_t share, time_point now) -> bool
{
    return used(engine, now) < share;
}

auto cold_budget::reserve(std::uint64_t engine, time_point now) -> std::uint64_t
{
    m_uses[engine].reserved.emplace(++m_lastReservation, now);
    return m_lastReservation;
}

auto cold_budget::noteSent(std::uint64_t engine, std::uint64_t reservation, time_point now) -> bool
{
    const auto use = m_uses.find(engine);
    if (use == m_uses.end()) {
        return false;
    }
    const auto found = use->second.reserved.find(reservation);
    if (found == use->second.reserved.end()) {
        return false;
    }
    const auto isFresh = now - found->second <= MAX_RESERVATION_AGE;
    use->second.reserved.erase(found);
    if (isFresh) {
        use->second.sent.push_back(now);
    }
    return isFresh;
}

auto cold_budget::release(std::uint64_t engine, std::uint64_t reservation) -> void
{
    const auto use = m_uses.find(engine);
    if (use != m_uses.end()) {
        use->second.reserved.erase(reservation);
    }
}

auto cold_budget::used(std::uint64_t engine, time_point now) -> std::uint32_t
{
    const auto use = m_uses.find(engine);
    if (use == m_uses.end()) {
        return 0;
    }
    expire(use->second, now);
    return static_cast<std::uint32_t>(use->second.reserved.size() + use->second.sent.size());
}

auto cold_budget::tick(time_point now) -> void
{
    for (auto entry = m_uses.begin(); entry != m_uses.end();) {
        expire(entry->second, now);
        const auto isUnused = entry->second.reserved.empty() && entry->second.sent.empty();
        entry = isUnused ? m_uses.erase(entry) : std::next(entry);
    }
}

auto cold_budget::expire(engine_use &use, time_point now) -> void
{
    while (!use.sent.empty() && now - use.sent.front() >= WINDOW) {
        use.sent.pop_front();
    }
}

} // namespace marjoramloom
