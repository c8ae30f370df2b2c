#include "simulation.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace marjoramloom::bench {

namespace {

/// Mean seconds that a request of the rule's classes occupies a slot of a fully loaded engine, estimated by sampling.
auto meanSlotSeconds(const deployment_settings &deployment, const arrival_rule &rule) -> double
{
    constexpr auto draws = 50'000;
    auto random = random_source(1);
    const auto &engine = deployment.engine;
    const auto stepSeconds = engine.stepSeconds * (1 + engine.stepGrowthPerRequest * (engine.slots - 1));
    auto sum = 0.0;
    for (auto drawnCount = 0; drawnCount < draws; ++drawnCount) {
        const auto classIndex =
            drawClass(deployment, random, [&](const auto &candidate) { return matchesRule(rule, candidate); });
        const auto request = drawRequest(deployment, classIndex, random);
        const auto prefillSeconds = (request.promptTokens - request.prefixTokens) / engine.prefillTokensPerSecond;
        sum += prefillSeconds + request.outputTokens * stepSeconds;
    }
    return sum / draws;
}

} // namespace

auto matchesRule(const arrival_rule &rule, const request_class &candidate) -> bool
{
    const auto wantedService = rule.callsPerSecond > 0 ? service_index::orders : service_index::model;
    return candidate.target == wantedService && (!rule.filtersByLength || candidate.length == rule.length);
}

demand_source::demand_source(fleet &simulatedFleet, const scenario_settings &scenario,
                             std::function<void(live_request &)> submit)
    : m_fleet(simulatedFleet)
    , m_scenario(scenario)
    , m_submit(std::move(submit))
    , m_arrivals(scenario.seed)
    , m_replacements(scenario.seed + 1)
    , m_slowdowns(scenario.seed + 2)
{
}

auto demand_source::start() -> void
{
    auto totalDemand = 0.0;
    for (const auto &account : m_fleet.deployment().accounts) {
        totalDemand += account.demand;
    }
    for (const auto &rule : m_scenario.arrivals) {
        const auto rate = callsPerSecond(rule);
        for (auto account = std::size_t(0); account < m_fleet.deployment().accounts.size(); ++account) {
            scheduleNextArrival(rule, account, rate * m_fleet.deployment().accounts[account].demand / totalDemand);
        }
    }
    if (m_scenario.backlogged) {
        fillBacklog();
    }
    fillLongBacklog();
    if (m_scenario.slowedEngines > 0) {
        m_fleet.queue().after(fromSeconds(m_scenario.warmUpSeconds), [this] { slowEngines(); });
    }
}

auto demand_source::callsPerSecond(const arrival_rule &rule) const -> double
{
    if (rule.callsPerSecond > 0) {
        return rule.callsPerSecond;
    }
    const auto slots = m_fleet.deployment().engines * m_fleet.deployment().engine.slots;
    return rule.load * slots / meanSlotSeconds(m_fleet.deployment(), rule);
}

auto demand_source::isCrest() const -> bool
{
    const auto sinceStart = toSeconds(m_fleet.queue().now().time_since_epoch());
    const auto phase = std::fmod(sinceStart, m_scenario.crestPeriodSeconds);
    return phase >= m_scenario.crestPeriodSeconds - m_scenario.crestSeconds;
}

auto demand_source::isLarge(std::size_t account) const -> bool
{
    return m_fleet.deployment().accounts[account].weight > 1;
}

auto demand_source::scheduleNextArrival(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void
{
    // Thinning: candidates arrive at the crest rate, and onArrival drops some of them between crests.
    const auto crestRate = callsPerSecond * rule.crestFactor;
    auto gap = boost::random::exponential_distribution<double>(crestRate);
    m_fleet.queue().after(fromSeconds(gap(m_arrivals)),
                          [this, &rule, account, callsPerSecond] { onArrival(rule, account, callsPerSecond); });
}

auto demand_source::onArrival(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void
{
    const auto isAtCrest = isCrest() && (!rule.onlyLargeAccountsCrest || isLarge(account));
    const auto acceptProbability = isAtCrest ? 1 : 1 / rule.crestFactor;
    if (boost::random::uniform_01<double>()(m_arrivals) < acceptProbability) {
        const auto included = [&](const request_class &candidate) {
            return matchesRule(rule, candidate);
        };
        submitRequest(account, drawClass(m_fleet.deployment(), m_arrivals, included), m_arrivals);
    }
    scheduleNextArrival(rule, account, callsPerSecond);
}

auto demand_source::chooseRouter(std::size_t account, random_source &random) -> std::uint32_t
{
    if (boost::random::uniform_01<double>()(random) < m_scenario.firstDataCentreShare) {
        return boost::random::uniform_int_distribution<std::uint32_t>(0, m_fleet.deployment().routersPerDataCentre - 1)(
            random);
    }
    const auto &routers = m_fleet.deployment().accounts[account].routers;
    return routers[boost::random::uniform_int_distribution<std::size_t>(0, routers.size() - 1)(random)];
}

auto demand_source::submitRequest(std::size_t account, std::size_t classIndex, random_source &random) -> void
{
    const auto drawn = drawRequest(m_fleet.deployment(), classIndex, random);
    m_submit(m_fleet.makeRequest(account, chooseRouter(account, random), drawn));
}

auto demand_source::fillBacklog() -> void
{
    const auto isModelClass = [](const auto &candidate) {
        return candidate.target == service_index::model;
    };
    for (auto account = std::size_t(0); account < m_fleet.deployment().accounts.size(); ++account) {
        for (auto submitted = std::uint32_t(0); submitted < m_fleet.deployment().accounts[account].backlog;
             ++submitted) {
            submitRequest(account, drawClass(m_fleet.deployment(), m_replacements, isModelClass), m_replacements);
        }
    }
}

auto demand_source::fillLongBacklog() -> void
{
    const auto isLong = [](const auto &candidate) {
        return candidate.length == work_length::longWork;
    };
    const auto wantedCount = m_scenario.longBacklog * m_fleet.deployment().engines * m_fleet.deployment().engine.slots;
    for (auto submitted = std::size_t(0); submitted < static_cast<std::size_t>(wantedCount); ++submitted) {
        submitRequest(submitted % m_fleet.deployment().accounts.size(),
                      drawClass(m_fleet.deployment(), m_replacements, isLong), m_replacements);
    }
}

auto demand_source::onRequestEnded(const live_request &ended, bool refused) -> void
{
    constexpr auto retryDelay = std::chrono::seconds(1);
    const auto &requestClass = m_fleet.classOf(ended);
    const auto isReplaced =
        m_scenario.backlogged || (m_scenario.longBacklog > 0 && requestClass.length == work_length::longWork);
    if (!isReplaced || requestClass.target != service_index::model) {
        return;
    }
    const auto delay = refused ? duration(retryDelay) : duration(0);
    m_fleet.queue().after(
        delay, [this, account = ended.account, isLong = requestClass.length == work_length::longWork] {
            const auto included = [&](const request_class &candidate) {
                return candidate.target == service_index::model
                    && (m_scenario.backlogged || (candidate.length == work_length::longWork) == isLong);
            };
            submitRequest(account, drawClass(m_fleet.deployment(), m_replacements, included), m_replacements);
        });
}

auto demand_source::slowEngines() -> void
{
    auto pick = boost::random::uniform_int_distribution<std::size_t>(0, m_fleet.deployment().engines - 1);
    auto chosenEngines = std::set<std::size_t>();
    while (chosenEngines.size() < m_scenario.slowedEngines) {
        chosenEngines.insert(pick(m_slowdowns));
    }
    for (const auto number : chosenEngines) {
        m_fleet.engine(number).setSlowdown(m_scenario.slowdown);
        m_fleet.queue().after(fromSeconds(m_scenario.slowSeconds),
                              [this, number] { m_fleet.engine(number).setSlowdown(1); });
    }
    m_fleet.queue().after(fromSeconds(m_scenario.slowPeriodSeconds), [this] { slowEngines(); });
}

} // namespace marjoramloom::bench
