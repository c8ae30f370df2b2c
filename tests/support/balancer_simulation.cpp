#include "support/balancer_simulation.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom::testing {

namespace {

constexpr auto step = std::chrono::milliseconds(50);
constexpr auto measurePeriod = std::chrono::milliseconds(250);
constexpr auto readinessPeriod = std::chrono::milliseconds(1'000);
/// Time until a report has reached the other routers.
constexpr auto reportDelay = std::chrono::milliseconds(500);

} // namespace

balancer_simulation::balancer_simulation(const std::vector<double> &cores, std::function<decide()> makePolicy,
                                         client_hash hash, std::uint64_t seed)
    : m_hash(hash)
    , m_seed(seed)
{
    for (auto index = std::size_t(0); index < cores.size(); ++index) {
        auto router = simulated_router();
        router.use.router = index + 1;
        router.use.cores = cores[index];
        router.use.measuredAt = m_start;
        router.meter.setCores(cores[index]);
        router.policy = makePolicy();
        m_routers.push_back(std::move(router));
    }
}

auto balancer_simulation::play(duration length) -> void
{
    for (const auto end = m_now + length; m_now < end; m_now += step) {
        serveStep();
        const auto played = m_now - m_start;
        if (played % measurePeriod == duration()) {
            measure();
        }
        for (auto index = std::size_t(0); index < m_routers.size(); ++index) {
            // The checks of the routers are spread over the second.
            const auto phase = step * static_cast<int>(7 * index);
            if ((played + phase) % readinessPeriod == duration()) {
                checkReadiness(index);
            }
        }
    }
}

auto balancer_simulation::outOfRotation() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(m_routers.begin(), m_routers.end(),
                                                  [](const simulated_router &router) { return !router.inRotation; }));
}

auto balancer_simulation::route(const client &client, int attempt) const -> std::size_t
{
    auto candidates = std::vector<std::size_t>();
    const auto usesAll = 2 * (m_routers.size() - outOfRotation()) < m_routers.size();
    for (auto index = std::size_t(0); index < m_routers.size(); ++index) {
        if (usesAll || m_routers[index].inRotation) {
            candidates.push_back(index);
        }
    }
    const auto key = client.name + "/" + std::to_string(attempt);
    if (m_hash == client_hash::modulo) {
        return candidates[hash64(key, m_seed) % candidates.size()];
    }
    return *std::max_element(candidates.begin(), candidates.end(), [&](std::size_t one, std::size_t other) {
        return hash64(key + "/" + std::to_string(one), m_seed) < hash64(key + "/" + std::to_string(other), m_seed);
    });
}

/// Assigns clients to routers again if the rotation or the number of clients has changed.
auto balancer_simulation::updateTargets() -> void
{
    if (m_targetsRotation == rotationChanges && !m_targets.empty() && m_targets.front().size() == clients.size()) {
        return;
    }
    m_targetsRotation = rotationChanges;
    m_targets.assign(static_cast<std::size_t>(maxAttempts), {});
    for (auto attempt = 0; attempt < maxAttempts; ++attempt) {
        for (const auto &client : clients) {
            m_targets[static_cast<std::size_t>(attempt)].push_back(route(client, attempt));
        }
    }
}

auto balancer_simulation::serveStep() -> void
{
    updateTargets();
    for (auto &router : m_routers) {
        router.budget = router.use.cores * toSeconds(step);
    }
    auto waiting = std::vector<double>();
    for (auto &client : clients) {
        const auto played = m_now - m_start;
        const auto isActive = played >= client.from && played < client.until;
        waiting.push_back(isActive ? client.perSecond * toSeconds(step) : 0);
        client.asked += waiting.back();
    }
    for (auto attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto &targets = m_targets[static_cast<std::size_t>(attempt)];
        auto arrivals = std::vector<double>(m_routers.size());
        for (auto index = std::size_t(0); index < clients.size(); ++index) {
            arrivals[targets[index]] += waiting[index];
        }
        auto servedFraction = std::vector<double>();
        for (auto index = std::size_t(0); index < m_routers.size(); ++index) {
            auto &router = m_routers[index];
            const auto served = std::clamp(
                (router.budget - REFUSAL_COST * arrivals[index]) / (REQUEST_COST - REFUSAL_COST), 0.0, arrivals[index]);
            const auto refused = arrivals[index] - served;
            const auto used = std::min(router.budget, served * REQUEST_COST + refused * REFUSAL_COST);
            router.budget -= used;
            router.totals.cpuSeconds += used;
            router.totals.arrivals += arrivals[index];
            router.totals.refusals += refused;
            servedFraction.push_back(arrivals[index] > 0 ? served / arrivals[index] : 1);
        }
        for (auto index = std::size_t(0); index < clients.size(); ++index) {
            const auto served = waiting[index] * servedFraction[targets[index]];
            clients[index].served += served;
            waiting[index] -= served;
        }
    }
}

auto balancer_simulation::measure() -> void
{
    for (auto &router : m_routers) {
        router.meter.update(router.totals, m_now);
        const auto previous = router.use;
        router.use = router.meter.use();
        router.use.router = previous.router;
        router.use.reason = previous.reason;
        router.use.reasonSince = previous.reasonSince;
        router.use.isAbsent = previous.isAbsent;
    }
    for (auto &router : m_routers) {
        auto others = std::vector<router_use>();
        for (const auto &other : m_routers) {
            const auto report = std::find_if(other.reports.rbegin(), other.reports.rend(), [&](const router_use &use) {
                return m_now - use.measuredAt >= reportDelay;
            });
            if (reportsArrive && other.use.router != router.use.router && report != other.reports.rend()) {
                others.push_back(*report);
            }
        }
        const auto decision = router.policy(router.use, others, m_routers.size(), m_now);
        router.ready = !decision.isAbsent;
        router.use.reason = decision.reason;
        router.use.reasonSince = decision.reasonSince;
        router.use.isAbsent = decision.isAbsent;
    }
    auto unready = std::size_t(0);
    for (auto &router : m_routers) {
        router.reports.push_back(router.use);
        if (router.reports.size() > static_cast<std::size_t>(reportDelay / measurePeriod) + 1) {
            router.reports.pop_front();
        }
        unready += router.ready ? 0 : 1;
    }
    mostUnready = std::max(mostUnready, unready);
}

auto balancer_simulation::checkReadiness(std::size_t index) -> void
{
    auto &router = m_routers[index];
    router.misses = router.ready ? 0 : router.misses + 1;
    const auto inRotation = router.misses < 2;
    if (inRotation != router.inRotation) {
        ++rotationChanges;
        router.inRotation = inRotation;
        if (inRotation) {
            m_returns.push_back(m_now);
        }
    }
    while (!m_returns.empty() && m_now - m_returns.front() >= std::chrono::seconds(1)) {
        m_returns.pop_front();
    }
    mostReturnsInOneSecond = std::max(mostReturnsInOneSecond, m_returns.size());
    mostOutOfRotation = std::max(mostOutOfRotation, outOfRotation());
}

} // namespace marjoramloom::testing
