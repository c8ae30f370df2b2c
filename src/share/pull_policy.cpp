#include "share/pull_policy.h"

#include "marjoramloom/share/share_ledger.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

namespace {

/// Time after which an unanswered request no longer counts as outstanding.
constexpr auto requestLifetime = duration(std::chrono::milliseconds(300));

constexpr auto idlePeriod = duration(std::chrono::milliseconds(50)); ///< Time between two rounds of an idle pool.
constexpr auto idleTargets = std::size_t(3); ///< Number of pools that an idle pool asks per round.

/// An idle pool asks only pools whose spare slots are at most its own total divided by this.
constexpr auto busyFraction = 4U;

constexpr auto anyAccount = object_id{ 0 };

} // namespace

pull_policy::pull_policy(const pool_id &pool, const dispatcher_settings &settings, const share_ledger &ledger)
    : m_pool(pool)
    , m_settings(settings)
    , m_ledger(ledger)
{
}

auto pull_policy::update(const pool_digest &digest, time_point now) -> bool
{
    if (digest.pool == m_pool || digest.pool.service != m_pool.service) {
        return false;
    }
    const auto known = m_remotes.find(digest.pool);
    const auto wasSilent = known != m_remotes.end() && now - known->second.receivedAt > m_settings.maxDigestAge;
    auto &remote = m_remotes[digest.pool];
    remote.digest = digest;
    remote.receivedAt = now;
    remote.localService.clear();
    for (const auto &waiting : digest.waiting) {
        remote.localService[waiting.account] = m_ledger.virtualService(waiting.account, m_pool.service);
    }
    return wasSilent;
}

auto pull_policy::recordArrival(const ticket &arrived) -> void
{
    auto open = m_outstanding.find({ arrived.origin, arrived.account });
    open = open == m_outstanding.end() ? m_outstanding.find({ arrived.origin, anyAccount }) : open;
    if (open != m_outstanding.end() && --open->second.tickets == 0) {
        m_outstanding.erase(open);
    }
}

auto pull_policy::estimateService(const remote_pool &remote, const pool_digest::waiting_account &waiting) const
    -> double
{
    const auto local = m_ledger.virtualService(waiting.account, m_pool.service);
    const auto growth = local - remote.localService.at(waiting.account);
    return std::max(local, waiting.service + std::max(0.0, growth));
}

auto pull_policy::lowestRemote(time_point now) const -> std::optional<double>
{
    auto lowest = std::optional<double>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.receivedAt > m_settings.maxDigestAge) {
            continue;
        }
        for (const auto &waiting : remote.digest.waiting) {
            const auto service = estimateService(remote, waiting);
            lowest = std::min(lowest.value_or(service), service);
        }
    }
    return lowest;
}

auto pull_policy::waitsElsewhere(object_id account, time_point now) const -> bool
{
    return std::ranges::any_of(m_remotes, [&](const auto &entry) {
        return now - entry.second.receivedAt <= m_settings.maxDigestAge && entry.second.localService.contains(account);
    });
}

auto pull_policy::waitingAccounts(time_point now) const -> std::set<object_id>
{
    auto accounts = std::set<object_id>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.receivedAt <= m_settings.maxDigestAge) {
            for (const auto &waiting : remote.digest.waiting) {
                accounts.insert(waiting.account);
            }
        }
    }
    return accounts;
}

auto pull_policy::recentPools(time_point now) const -> std::size_t
{
    return std::size_t(std::ranges::count_if(
        m_remotes, [&](const auto &entry) { return now - entry.second.receivedAt <= m_settings.maxDigestAge; }));
}

auto pull_policy::candidates(time_point now) const -> std::set<candidate>
{
    auto byService = std::set<candidate>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.receivedAt > m_settings.maxDigestAge) {
            continue;
        }
        for (const auto &waiting : remote.digest.waiting) {
            if (waiting.tickets > 0) {
                byService.insert({ estimateService(remote, waiting), pool, waiting.account, waiting.tickets });
            }
        }
    }
    return byService;
}

auto pull_policy::expire(time_point now) -> void
{
    std::erase_if(m_outstanding, [&](const auto &entry) { return entry.second.expiry <= now; });
}

auto pull_policy::chooseForLaggingAccounts(double lowestLocalService, std::uint32_t tickets, double ticketCost,
                                           time_point now) -> std::vector<pull_request>
{
    expire(now);
    auto chosen = std::vector<pull_request>();
    auto budget = tickets > requested() ? tickets - requested() : 0;
    for (const auto &next : candidates(now)) {
        const auto count = std::min({ ticketsToRequest(next, lowestLocalService, ticketCost), budget, next.tickets });
        if (count > 0) {
            chosen.push_back({ m_pool, next.pool, next.account, count });
            recordRequest(chosen.back(), requestLifetime, now);
            budget -= count;
        }
        if (budget == 0) {
            break;
        }
    }
    return chosen;
}

auto pull_policy::chooseForIdleSlots(std::uint32_t tickets, std::uint32_t slots, time_point now)
    -> std::vector<pull_request>
{
    return requestFromBusiest(tickets, slots, false, now);
}

auto pull_policy::chooseShortWork(std::uint32_t tickets, std::uint32_t slots, time_point now)
    -> std::vector<pull_request>
{
    return requestFromBusiest(tickets, slots, true, now);
}

auto pull_policy::requestFromBusiest(std::uint32_t tickets, std::uint32_t slots, bool shortOnly, time_point now)
    -> std::vector<pull_request>
{
    auto chosen = std::vector<pull_request>();
    if (now < m_nextRequest) {
        return chosen;
    }
    expire(now);
    const auto budget = tickets > requested() ? tickets - requested() : 0;
    auto busiest = std::vector<std::pair<std::uint32_t, pool_id>>();
    for (const auto &[pool, remote] : m_remotes) {
        if (now - remote.receivedAt <= m_settings.maxDigestAge && remote.digest.spareSlots * busyFraction <= slots) {
            busiest.emplace_back(remote.digest.spareSlots, pool);
        }
    }
    if (budget == 0 || busiest.empty()) {
        return chosen;
    }
    std::ranges::sort(busiest);
    busiest.resize(std::min(busiest.size(), idleTargets));
    const auto ticketsPerPool = (budget + std::uint32_t(busiest.size()) - 1) / std::uint32_t(busiest.size());
    for (const auto &[spare, pool] : busiest) {
        chosen.push_back({ m_pool, pool, anyAccount, ticketsPerPool, shortOnly });
        recordRequest(chosen.back(), idlePeriod, now);
    }
    m_nextRequest = now + idlePeriod;
    return chosen;
}

auto pull_policy::ticketsToRequest(const candidate &next, double lowestLocalService, double ticketCost) const
    -> std::uint32_t
{
    const auto lag = lowestLocalService - next.service;
    if (lag <= m_settings.pullThreshold) {
        return 0;
    }
    const auto open = m_outstanding.find({ next.pool, next.account });
    const auto outstanding = open == m_outstanding.end() ? 0 : open->second.tickets;
    const auto cost = std::max(1.0, ticketCost / m_ledger.weight(next.account));
    const auto needed = std::uint32_t(std::min(std::ceil(lag / cost), 1e6));
    return needed > outstanding ? needed - outstanding : 0;
}

auto pull_policy::recordRequest(const pull_request &request, duration lifetime, time_point now) -> void
{
    auto &open = m_outstanding[{ request.to, request.account }];
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
    for (const auto &[key, open] : m_outstanding) {
        sum += open.tickets;
    }
    return sum;
}

} // namespace marjoramloom
