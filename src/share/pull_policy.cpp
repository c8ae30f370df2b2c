#include "share/pull_policy.h"

#include "marjoramloom/share/share_ledger.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

namespace {

/// A request without an answer counts no more after this long.
constexpr auto requestLifetime = duration(std::chrono::milliseconds(300));

constexpr auto idlePeriod = duration(std::chrono::milliseconds(50)); ///< Between two requests of an idle pool.
constexpr auto idleTargets = std::size_t(3); ///< Pools that an idle pool asks at a time.

/// An idle pool asks pools with at most this part of its own number of slots to spare.
constexpr auto busyFraction = 4U;

constexpr auto anyAccount = object_id{ 0 };

} // namespace

pull_policy::pull_policy(const pool_id &pool, const dispatcher_settings &settings, const share_ledger &ledger)
    : m_pool(pool)
    , m_settings(settings)
    , m_ledger(ledger)
{
}

auto pull_policy::absorb(const pool_digest &digest, time_point now) -> bool
{
    if (digest.pool == m_pool || digest.pool.service != m_pool.service) {
        return false;
    }
    const auto known = m_remotes.find(digest.pool);
    const auto silent = known != m_remotes.end() && now - known->second.absorbed > m_settings.digestAge;
    auto &remote = m_remotes[digest.pool];
    remote.digest = digest;
    remote.absorbed = now;
    remote.localService.clear();
    for (const auto &waiting : digest.waiting) {
        remote.localService[waiting.account] = m_ledger.virtualService(waiting.account, m_pool.service);
    }
    return silent;
}

auto pull_policy::noteArrival(const ticket &arrived) -> void
{
    auto open = m_open.find({ arrived.origin, arrived.account });
    open = open == m_open.end() ? m_open.find({ arrived.origin, anyAccount }) : open;
    if (open != m_open.end() && --open->second.tickets == 0) {
        m_open.erase(open);
    }
}

auto pull_policy::estimate(const remote_pool &remote, const pool_digest::waiting_account &waiting) const -> double
{
    const auto local = m_ledger.virtualService(waiting.account, m_pool.service);
    const auto growth = local - remote.localService.at(waiting.account);
    return std::max(local, waiting.service + std::max(0.0, growth));
}

auto pull_policy::lowestRemote(time_point now) const -> std::optional<double>
{
    auto lowest = std::optional<double>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.absorbed > m_settings.digestAge) {
            continue;
        }
        for (const auto &waiting : remote.digest.waiting) {
            const auto service = estimate(remote, waiting);
            lowest = std::min(lowest.value_or(service), service);
        }
    }
    return lowest;
}

auto pull_policy::waitsElsewhere(object_id account, time_point now) const -> bool
{
    return std::ranges::any_of(m_remotes, [&](const auto &row) {
        return now - row.second.absorbed <= m_settings.digestAge && row.second.localService.contains(account);
    });
}

auto pull_policy::waitingAccounts(time_point now) const -> std::set<object_id>
{
    auto accounts = std::set<object_id>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.absorbed <= m_settings.digestAge) {
            for (const auto &waiting : remote.digest.waiting) {
                accounts.insert(waiting.account);
            }
        }
    }
    return accounts;
}

auto pull_policy::pools(time_point now) const -> std::size_t
{
    return std::size_t(std::ranges::count_if(
        m_remotes, [&](const auto &row) { return now - row.second.absorbed <= m_settings.digestAge; }));
}

auto pull_policy::candidates(time_point now) const -> std::set<candidate>
{
    auto found = std::set<candidate>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.absorbed > m_settings.digestAge) {
            continue;
        }
        for (const auto &waiting : remote.digest.waiting) {
            if (waiting.tickets > 0) {
                found.insert({ estimate(remote, waiting), pool, waiting.account, waiting.tickets });
            }
        }
    }
    return found;
}

auto pull_policy::expire(time_point now) -> void
{
    std::erase_if(m_open, [&](const auto &row) { return row.second.expiry <= now; });
}

auto pull_policy::chooseBehind(double localLowest, std::uint32_t tickets, double ticketCost, time_point now)
    -> std::vector<pull_request>
{
    expire(now);
    auto chosen = std::vector<pull_request>();
    auto budget = tickets > requested() ? tickets - requested() : 0;
    for (const auto &next : candidates(now)) {
        const auto count = std::min({ behind(next, localLowest, ticketCost), budget, next.tickets });
        if (count > 0) {
            chosen.push_back({ m_pool, next.pool, next.account, count });
            note(chosen.back(), requestLifetime, now);
            budget -= count;
        }
        if (budget == 0) {
            break;
        }
    }
    return chosen;
}

auto pull_policy::chooseIdle(std::uint32_t tickets, std::uint32_t slots, time_point now) -> std::vector<pull_request>
{
    return askBusiest(tickets, slots, false, now);
}

auto pull_policy::chooseShort(std::uint32_t tickets, std::uint32_t slots, time_point now) -> std::vector<pull_request>
{
    return askBusiest(tickets, slots, true, now);
}

auto pull_policy::askBusiest(std::uint32_t tickets, std::uint32_t slots, bool shortOnly, time_point now)
    -> std::vector<pull_request>
{
    auto chosen = std::vector<pull_request>();
    if (now < m_nextIdle) {
        return chosen;
    }
    expire(now);
    const auto budget = tickets > requested() ? tickets - requested() : 0;
    auto busiest = std::vector<std::pair<std::uint32_t, pool_id>>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.absorbed <= m_settings.digestAge && remote.digest.spareSlots * busyFraction <= slots) {
            busiest.emplace_back(remote.digest.spareSlots, pool);
        }
    }
    if (budget == 0 || busiest.empty()) {
        return chosen;
    }
    std::ranges::sort(busiest);
    busiest.resize(std::min(busiest.size(), idleTargets));
    const auto each = (budget + std::uint32_t(busiest.size()) - 1) / std::uint32_t(busiest.size());
    for (const auto &[spare, pool] : busiest) {
        chosen.push_back({ m_pool, pool, anyAccount, each, shortOnly });
        note(chosen.back(), idlePeriod, now);
    }
    m_nextIdle = now + idlePeriod;
    return chosen;
}

auto pull_policy::behind(const candidate &next, double localLowest, double ticketCost) const -> std::uint32_t
{
    const auto lead = localLowest - next.service;
    if (lead <= m_settings.pullThreshold) {
        return 0;
    }
    const auto open = m_open.find({ next.pool, next.account });
    const auto asked = open == m_open.end() ? 0 : open->second.tickets;
    const auto cost = std::max(1.0, ticketCost / m_ledger.weight(next.account));
    const auto level = std::uint32_t(std::min(std::ceil(lead / cost), 1e6));
    return level > asked ? level - asked : 0;
}

auto pull_policy::note(const pull_request &request, duration lifetime, time_point now) -> void
{
    auto &open = m_open[{ request.to, request.account }];
    open.tickets += request.tickets;
    open.expiry = now + lifetime;
    for (auto &waiting : m_remotes.at(request.to).digest.waiting) {
        if (waiting.account == request.account) {
            waiting.tickets -= std::min(waiting.tickets, request.tickets);
        }
    }
}

auto pull_policy::requested() const -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &[key, open] : m_open) {
        sum += open.tickets;
    }
    return sum;
}

} // namespace marjoramloom
