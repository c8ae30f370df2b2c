#include "support/fair_way_simulation.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/gateway/decisions/event_loop_delay.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <numeric>
#include <utility>

namespace marjoramloom::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto step = fair_way_simulation::STEP;
constexpr std::size_t acceptQueueSize = 128;
/// Connections accepted in one iteration of the event loop.
constexpr std::size_t acceptBatch = 32;
/// Callers give up a connection that is not established, or a request that is not read, after this time.
constexpr auto connectTimeout = 1'000ms;
/// Latency objective, counted from the first attempt.
constexpr auto objective = 500ms;
/// When callers return after a refusal by a router, and after one by a dispatcher.
constexpr auto routerReturnTime = 1'000ms;
constexpr auto dispatcherReturnTime = 300ms;
constexpr auto maxIteration = 0.1; // Seconds.
constexpr auto measurePeriod = 250ms;
constexpr auto reportDelay = 500ms;
constexpr auto readinessPeriod = 1'000ms;
constexpr int maxMisses = 2;
constexpr auto tunnelConnectTimeout = 300ms;
constexpr int maxTunnelAttempts = 2;
constexpr auto enginePeriod = fair_rule_checker::PERIOD;
/// Engines share their capacity evenly over this number of periods.
constexpr std::size_t fairPeriods = 10;
constexpr auto requestSizes = std::array<std::uint64_t, 3>{ 9'200, 2'400, 700 };

} // namespace

fair_way_simulation::fair_way_simulation(connection_gates gates, client_hash hash, const std::vector<double> &cores,
                                         std::vector<way_account> accounts, double tokensPerSecond, std::uint64_t seed)
    : checker(accounts.size())
    , m_gates(gates)
    , m_hash(hash)
    , m_accounts(std::move(accounts))
    , m_tokensPerSecond(tokensPerSecond)
    , m_seed(seed)
    , m_random(seed)
    , m_due(m_accounts.size())
    , m_atEngines(m_accounts.size())
    , m_begun(m_accounts.size())
{
    assert(!cores.empty() && tokensPerSecond > 0);
    for (const auto one : cores) {
        auto &router = m_routers.emplace_back();
        router.cores = one;
        router.meter.setCores(one);
        router.use.router = m_routers.size();
        router.use.cores = one;
    }
}

auto fair_way_simulation::play(duration length) -> void
{
    for (const auto end = m_now + length; m_now < end; m_now += step) {
        const auto played = m_now - m_start;
        ask();
        failTunnels();
        for (auto index = std::size_t(0); index < m_routers.size(); ++index) {
            auto &router = m_routers[index];
            accept(router);
            doWork(router);
            fireTimer(router);
            const auto phase = step * static_cast<int>(37 * index);
            if ((played + phase) % readinessPeriod < step) {
                checkReadiness(router);
            }
        }
        if (played % enginePeriod < step) {
            beginRequests();
        }
        if (played % measurePeriod < step) {
            measure();
        }
    }
}

auto fair_way_simulation::candidates() const -> std::vector<std::size_t>
{
    auto all = std::vector<std::size_t>(m_routers.size());
    std::iota(all.begin(), all.end(), 0);
    auto inRotation = all;
    std::erase_if(inRotation, [&](std::size_t index) { return !m_routers[index].isInRotation; });
    return 2 * inRotation.size() < all.size() ? all : inRotation;
}

auto fair_way_simulation::routerOf(std::size_t account) const -> std::size_t
{
    const auto among = candidates();
    const auto &name = m_accounts.at(account).name;
    if (m_hash == client_hash::modulo) {
        return among[hash64(name, m_seed) % among.size()];
    }
    return *std::max_element(among.begin(), among.end(), [&](std::size_t one, std::size_t other) {
        return hash64(name + "/" + std::to_string(one), m_seed) < hash64(name + "/" + std::to_string(other), m_seed);
    });
}

auto fair_way_simulation::cutOff() -> void
{
    m_isCutOff = true;
}

auto fair_way_simulation::routerUse() const -> double
{
    auto cores = 0.0;
    auto used = 0.0;
    for (const auto &router : m_routers) {
        cores += router.cores;
        used += router.cores * router.use.use;
    }
    return used / cores;
}

auto fair_way_simulation::ask() -> void
{
    auto arriving = std::vector<request>();
    for (auto index = std::size_t(0); index < m_accounts.size(); ++index) {
        const auto &account = m_accounts[index];
        m_due[index] += m_now - m_start >= account.from ? account.perSecond * toSeconds(step) : 0;
        for (; m_due[index] >= 1; m_due[index] -= 1) {
            const auto tokens = requestSizes.at(m_random() % requestSizes.size());
            arriving.push_back({ .account = index, .tokens = tokens, .firstAsked = m_now });
        }
    }
    const auto due = m_returning.upper_bound(m_now);
    for (auto one = m_returning.begin(); one != due; ++one) {
        arriving.push_back(one->second);
    }
    m_returning.erase(m_returning.begin(), due);
    std::shuffle(arriving.begin(), arriving.end(), m_random);
    for (const auto &one : arriving) {
        arrive(one);
    }
}

auto fair_way_simulation::arrive(request arriving) -> void
{
    checker.noteAsked(arriving.account, arriving.tokens, m_now - m_start);
    const auto among = candidates();
    const auto index =
        m_accounts[arriving.account].isSpread ? among[m_random() % among.size()] : routerOf(arriving.account);
    auto &router = m_routers[index];
    arriving.arrivedAt = m_now;
    if (router.acceptQueue.size() >= acceptQueueSize) {
        miss(arriving, connectTimeout);
        return;
    }
    router.acceptQueue.push_back(arriving);
}

/// Records that an attempt failed. Its caller repeats it once.
auto fair_way_simulation::miss(request missed, duration returnAfter) -> void
{
    checker.noteMissed(missed.account, m_now - m_start);
    if (!std::exchange(missed.isRepeated, true)) {
        missed.tunnelAttempts = 0;
        m_returning.emplace(m_now + std::max<duration>(returnAfter, step), missed);
    }
}

/// An iteration of the event loop does a part of the work only.
auto fair_way_simulation::eventLoopDelay(const simulated_router &router) const -> duration
{
    return fromSeconds(std::min(maxIteration, router.workSeconds / router.cores));
}

auto fair_way_simulation::addWork(simulated_router &router, work_item item) -> void
{
    router.workSeconds += item.seconds;
    router.work.push_back(item);
}

auto fair_way_simulation::accept(simulated_router &router) -> void
{
    if (m_now < router.nextIteration) {
        return;
    }
    for (auto count = std::size_t(0); count < acceptBatch && !router.acceptQueue.empty(); ++count) {
        const auto accepted = router.acceptQueue.front();
        router.acceptQueue.pop_front();
        router.totals.arrivals += 1;
        const auto usesTunnels = m_gates == connection_gates::tunnels;
        auto action = connection_action::refuse;
        if (usesTunnels) {
            action = router.admission.decide(true, router.choice.hasRoom(m_now), m_now);
        } else if (router.pacing.mayAccept(m_now)) {
            action = connection_action::serve;
        }
        const auto hasLeft = m_now - accepted.arrivedAt >= connectTimeout;
        if (hasLeft) {
            addWork(router, { .work = {}, .action = connection_action::refuse, .seconds = CLOSE_COST });
            miss(accepted, 0ms);
        } else if (action == connection_action::serve) {
            addWork(router, { .work = accepted, .action = action, .seconds = SERVE_COST });
        } else if (action == connection_action::tunnel) {
            router.totals.tunnels += 1;
            openTunnel(router, accepted);
        } else {
            router.totals.refusals += 1;
            addWork(router, { .work = {}, .action = action, .seconds = usesTunnels ? REFUSAL_COST : CLOSE_COST });
            miss(accepted, usesTunnels ? routerReturnTime : 0ms);
            if (usesTunnels) {
                break;
            }
        }
    }
    router.nextIteration = m_now + eventLoopDelay(router);
}

auto fair_way_simulation::openTunnel(simulated_router &router, const request &accepted) -> void
{
    const auto isUsable = [](std::uint64_t) {
        return true;
    };
    auto opened = accepted;
    const auto target =
        ++opened.tunnelAttempts <= maxTunnelAttempts ? router.choice.choose(isUsable, m_random, m_now) : std::nullopt;
    if (!target) {
        addWork(router, { .work = {}, .action = connection_action::refuse, .seconds = CLOSE_COST });
        miss(accepted, 0ms);
        return;
    }
    addWork(router,
            { .work = opened, .action = connection_action::tunnel, .seconds = TUNNEL_COST, .target = *target - 1 });
}

auto fair_way_simulation::failTunnels() -> void
{
    const auto due = m_failing.upper_bound(m_now);
    for (auto one = m_failing.begin(); one != due; ++one) {
        auto &router = m_routers[one->second.router];
        router.choice.noteUnreachable(one->second.target + 1, m_now);
        openTunnel(router, one->second.work);
    }
    m_failing.erase(m_failing.begin(), due);
}

auto fair_way_simulation::doWork(simulated_router &router) -> void
{
    auto budget = router.cores * toSeconds(step);
    while (!router.work.empty() && budget > 0) {
        auto &first = router.work.front();
        const auto used = std::min(budget, first.seconds);
        budget -= used;
        first.seconds -= used;
        router.workSeconds -= used;
        router.totals.cpuSeconds += used;
        if (first.seconds > 0) {
            continue;
        }
        const auto done = first;
        router.work.pop_front();
        if (done.action == connection_action::serve) {
            router.totals.requests += 1;
            if (m_now - done.work.arrivedAt >= connectTimeout) {
                miss(done.work, 0ms);
            } else {
                m_atEngines[done.work.account].push_back(done.work);
            }
        } else if (done.action == connection_action::tunnel) {
            auto &target = m_routers[done.target];
            if (m_isCutOff) {
                m_failing.emplace(m_now + tunnelConnectTimeout,
                                  failing_tunnel{ router.use.router - 1, done.target, done.work });
            } else {
                target.totals.arrivals += 1;
                addWork(target, { .work = done.work, .action = connection_action::serve, .seconds = SERVE_COST });
            }
        }
    }
    if (router.work.empty()) {
        router.workSeconds = 0;
    }
}

auto fair_way_simulation::fireTimer(simulated_router &router) -> void
{
    if (m_now < router.timerDue) {
        return;
    }
    router.lastDelay = eventLoopDelay(router);
    router.timerDue = m_now + event_loop_delay::PERIOD + router.lastDelay;
    router.pacing.onTimer(router.lastDelay, m_now);
    router.admission.setCapacity(router.cores, router.meter.requestCost());
    router.admission.onTimer(router.lastDelay, m_now);
    const auto refusingFor =
        m_gates == connection_gates::tunnels ? router.admission.refusingFor(m_now) : router.pacing.refusingFor(m_now);
    if (refusingFor >= event_loop_delay::OVERLOAD_DURATION && !isLargerThanMost(router)) {
        router.unreadyUntil = m_now + event_loop_delay::RECOVERY_TIME;
    }
}

auto fair_way_simulation::isLargerThanMost(const simulated_router &router) const -> bool
{
    const auto smaller = std::count_if(m_routers.begin(), m_routers.end(),
                                       [&](const simulated_router &other) { return other.cores < router.cores; });
    return 2 * static_cast<std::size_t>(smaller) > m_routers.size() - 1;
}

/// The engines begin the requests that have reached them, each time one of the account that got least of late. What is
/// beyond their capacity is refused.
auto fair_way_simulation::beginRequests() -> void
{
    m_engineBudget = std::min(0.0, m_engineBudget) + m_tokensPerSecond * toSeconds(enginePeriod);
    auto recent = std::vector<std::uint64_t>();
    for (auto &begun : m_begun) {
        begun.push_back(0);
        if (begun.size() > fairPeriods) {
            begun.pop_front();
        }
        recent.push_back(std::accumulate(begun.begin(), begun.end(), std::uint64_t(0)));
    }
    while (m_engineBudget > 0) {
        auto least = m_accounts.size();
        for (auto index = std::size_t(0); index < m_accounts.size(); ++index) {
            if (!m_atEngines[index].empty() && (least == m_accounts.size() || recent[index] < recent[least])) {
                least = index;
            }
        }
        if (least == m_accounts.size()) {
            break;
        }
        const auto begun = m_atEngines[least].front();
        m_atEngines[least].pop_front();
        m_engineBudget -= static_cast<double>(begun.tokens);
        recent[least] += begun.tokens;
        m_begun[least].back() += begun.tokens;
        checker.noteBegan(least, begun.tokens, m_now - m_start);
        if (m_now - begun.firstAsked > objective) {
            checker.noteMissed(least, m_now - m_start);
        }
    }
    for (auto &waiting : m_atEngines) {
        for (const auto &one : std::exchange(waiting, {})) {
            miss(one, dispatcherReturnTime);
        }
    }
}

auto fair_way_simulation::measure() -> void
{
    for (auto &router : m_routers) {
        router.meter.update(router.totals, m_now);
        const auto id = router.use.router;
        router.use = router.meter.use();
        router.use.router = id;
        router.use.measuredAt = m_now;
        if (router.lastDelay > connection_pacing::LONG_DELAY) {
            router.use.demand = std::max(router.use.demand, 1.0);
        }
        router.reports.push_back(router.use);
        std::erase_if(router.reports, [&](const router_use &use) { return m_now - use.measuredAt > reportDelay; });
    }
    for (auto &router : m_routers) {
        router.heard.resize(m_routers.size());
        for (auto index = std::size_t(0); !m_isCutOff && index < m_routers.size(); ++index) {
            router.heard[index] = m_routers[index].reports.front();
        }
        auto recent = router.heard;
        std::erase_if(recent, [&](const router_use &use) {
            return use.router == router.use.router || m_now - use.measuredAt > rotation_policy::MAX_REPORT_AGE;
        });
        router.choice.setReports(recent, m_now);
    }
}

auto fair_way_simulation::checkReadiness(simulated_router &router) -> void
{
    router.misses = m_now < router.unreadyUntil ? router.misses + 1 : 0;
    router.isInRotation = router.misses < maxMisses;
}

} // namespace marjoramloom::testing
