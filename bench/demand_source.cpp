#include "simulation.h"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

namespace marjoramloom::bench {

namespace {

/// Mean seconds that a request of the rule's classes holds a slot of an engine, by drawing many.
auto meanSlotSeconds(const deployment &where, const arrival_rule &rule) -> double
{
    constexpr auto draws = 50'000;
    auto random = random_source(1);
    const auto &engine = where.engine;
    const auto step = engine.stepSeconds * (1 + engine.crowdSlope * (engine.slots - 1));
    auto sum = 0.0;
    for (auto drawn = 0; drawn < draws; ++drawn) {
        const auto kind = drawClass(where, random, [&](const auto &candidate) { return includes(rule, candidate); });
        const auto request = drawRequest(where, kind, random);
        const auto read = (request.promptTokens - request.prefixTokens) / engine.prefillRate;
        sum += read + request.outputTokens * step;
    }
    return sum / draws;
}

} // namespace

auto includes(const arrival_rule &rule, const request_class &candidate) -> bool
{
    const auto wanted = rule.callsPerSecond > 0 ? service_index::orders : service_index::model;
    return candidate.target == wanted && (!rule.byLength || candidate.length == rule.length);
}

demand_source::demand_source(fleet &where, const scenario &what, std::function<void(live_request &)> submit)
    : m_fleet(where)
    , m_scenario(what)
    , m_submit(std::move(submit))
    , m_arrivals(what.seed)
    , m_replacements(what.seed + 1)
    , m_slowdowns(what.seed + 2)
{
}

auto demand_source::start() -> void
{
    auto demand = 0.0;
    for (const auto &account : m_fleet.where().accounts) {
        demand += account.demand;
    }
    for (const auto &rule : m_scenario.arrivals) {
        const auto rate = callsPerSecond(rule);
        for (auto account = std::size_t(0); account < m_fleet.where().accounts.size(); ++account) {
            planArrivals(rule, account, rate * m_fleet.where().accounts[account].demand / demand);
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
    const auto slots = m_fleet.where().engines * m_fleet.where().engine.slots;
    return rule.load * slots / meanSlotSeconds(m_fleet.where(), rule);
}

auto demand_source::crest() const -> bool
{
    const auto sinceStart = toSeconds(m_fleet.queue().now().time_since_epoch());
    const auto phase = std::fmod(sinceStart, m_scenario.swingPeriodSeconds);
    return phase >= m_scenario.swingPeriodSeconds - m_scenario.swingLengthSeconds;
}

auto demand_source::isLarge(std::size_t account) const -> bool
{
    return m_fleet.where().accounts[account].weight > 1;
}

auto demand_source::planArrivals(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void
{
    // Arrivals at the highest rate, of which a part is left out between swings.
    const auto highest = callsPerSecond * rule.swing;
    auto gap = boost::random::exponential_distribution<double>(highest);
    m_fleet.queue().after(fromSeconds(gap(m_arrivals)),
                          [this, &rule, account, callsPerSecond] { arrive(rule, account, callsPerSecond); });
}

auto demand_source::arrive(const arrival_rule &rule, std::size_t account, double callsPerSecond) -> void
{
    const auto swings = crest() && (!rule.swingLargeOnly || isLarge(account));
    const auto kept = swings ? 1 : 1 / rule.swing;
    if (boost::random::uniform_01<double>()(m_arrivals) < kept) {
        const auto included = [&](const request_class &candidate) {
            return includes(rule, candidate);
        };
        submitNew(account, drawClass(m_fleet.where(), m_arrivals, included), m_arrivals);
    }
    planArrivals(rule, account, callsPerSecond);
}

auto demand_source::chooseRouter(std::size_t account, random_source &random) -> std::uint32_t
{
    if (boost::random::uniform_01<double>()(random) < m_scenario.firstDataCentreShare) {
        return boost::random::uniform_int_distribution<std::uint32_t>(0,
                                                                      m_fleet.where().routersPerDataCentre - 1)(random);
    }
    const auto &routers = m_fleet.where().accounts[account].routers;
    return routers[boost::random::uniform_int_distribution<std::size_t>(0, routers.size() - 1)(random)];
}

auto demand_source::submitNew(std::size_t account, std::size_t kind, random_source &random) -> void
{
    const auto drawn = drawRequest(m_fleet.where(), kind, random);
    m_submit(m_fleet.makeRequest(account, chooseRouter(account, random), drawn));
}

auto demand_source::fillBacklog() -> void
{
    const auto ofModel = [](const auto &candidate) {
        return candidate.target == service_index::model;
    };
    for (auto account = std::size_t(0); account < m_fleet.where().accounts.size(); ++account) {
        for (auto added = std::uint32_t(0); added < m_fleet.where().accounts[account].backlog; ++added) {
            submitNew(account, drawClass(m_fleet.where(), m_replacements, ofModel), m_replacements);
        }
    }
}

auto demand_source::fillLongBacklog() -> void
{
    const auto isLong = [](const auto &candidate) {
        return candidate.length == work_length::longWork;
    };
    const auto wanted = m_scenario.longBacklog * m_fleet.where().engines * m_fleet.where().engine.slots;
    for (auto added = std::size_t(0); added < static_cast<std::size_t>(wanted); ++added) {
        submitNew(added % m_fleet.where().accounts.size(), drawClass(m_fleet.where(), m_replacements, isLong),
                  m_replacements);
    }
}

auto demand_source::replace(const live_request &done, bool refused) -> void
{
    constexpr auto retryDelay = std::chrono::seconds(1);
    const auto &rules = m_fleet.classOf(done);
    const auto replaced =
        m_scenario.backlogged || (m_scenario.longBacklog > 0 && rules.length == work_length::longWork);
    if (!replaced || rules.target != service_index::model) {
        return;
    }
    const auto delay = refused ? duration(retryDelay) : duration(0);
    m_fleet.queue().after(delay, [this, account = done.account, isLong = rules.length == work_length::longWork] {
        const auto included = [&](const request_class &candidate) {
            return candidate.target == service_index::model
                && (m_scenario.backlogged || (candidate.length == work_length::longWork) == isLong);
        };
        submitNew(account, drawClass(m_fleet.where(), m_replacements, included), m_replacements);
    });
}

auto demand_source::slowEngines() -> void
{
    auto pick = boost::random::uniform_int_distribution<std::size_t>(0, m_fleet.where().engines - 1);
    auto chosen = std::set<std::size_t>();
    while (chosen.size() < m_scenario.slowedEngines) {
        chosen.insert(pick(m_slowdowns));
    }
    for (const auto number : chosen) {
        m_fleet.engine(number).setSlowdown(m_scenario.slowdown);
        m_fleet.queue().after(fromSeconds(m_scenario.slowLengthSeconds),
                              [this, number] { m_fleet.engine(number).setSlowdown(1); });
    }
    m_fleet.queue().after(fromSeconds(m_scenario.slowPeriodSeconds), [this] { slowEngines(); });
}

} // namespace marjoramloom::bench
