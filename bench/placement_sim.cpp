#include "placement_sim.h"

#include "../src/gateway/traffic/load_reservation.h"
#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <cmath>
#include <set>

namespace marjoramloom::bench {

namespace {

using namespace std::chrono_literals;

constexpr auto oneWay = std::chrono::microseconds(500);
constexpr auto answerTimeout = 25ms;
constexpr auto reportPeriod = 120ms;
/// Retry-After of the routers' refusals, and the attempts of a caller.
constexpr auto minRetryAfter = 0.15;
constexpr auto maxRetryAfter = 0.6;
constexpr auto callerAttempts = 3;
/// A part that is prefilled again costs only within this time of its last use.
constexpr auto rereadWindow = 6'900ms;
/// Results of the first seconds do not count, as the engines' memory is empty at first.
constexpr auto warmUp = 8s;
/// Requests that arrive in the last seconds do not count either, as some would not end within the run.
constexpr auto coolDown = 3s;
constexpr auto crestStart = 12s;
constexpr auto crestEnd = 18s;

auto makeRoutes(const placement_scenario &scenario) -> std::shared_ptr<const route_table>
{
    auto content = route_table_content();
    content.version = 1;
    auto service = routed_service();
    service.name = "pool";
    service.engine =
        engine_profile{ .slots = scenario.engine.slots, .kvCapacityTokens = scenario.engine.kvCapacityTokens };
    content.services = { service };
    return std::make_shared<const route_table>(std::move(content));
}

auto makeSettings(const placement_scenario &scenario) -> gateway_settings
{
    auto settings = gateway_settings();
    settings.limitEngineMemory = scenario.limitEngineMemory;
    return settings;
}

auto addressOf(std::size_t router) -> std::string
{
    return "10.0.0." + std::to_string(router + 1) + ":7400";
}

auto isCrest(time_point now) -> bool
{
    return now.time_since_epoch() >= crestStart && now.time_since_epoch() < crestEnd;
}

} // namespace

struct placement_sim::router
{
    router(const placement_scenario &scenario, std::size_t index, boost::asio::io_context &context)
        : state(makeSettings(scenario), { addressOf(index), "north", 1 }, counters, index + 1)
        , dispatch(context.get_executor(), state, [](auto, auto, const auto &) {})
    {
    }
    counter_registry counters;
    gateway_state state;
    placement_dispatch dispatch;
    std::uint64_t lastSequence = 0; ///< Of the dispatcher's placements.
    std::uint64_t reports = 0;
    std::uint64_t lastMemoryGrant = 0;
    std::set<std::uint64_t> heldMemory; ///< Grants of the dispatcher.
};

struct placement_sim::call
{
    std::size_t kind = 0;
    std::size_t account = 0;
    std::size_t router = 1;
    std::uint32_t outputTokens = 1;
    placement_query query;
    time_point arrived;
    duration firstEvent{};
    int attempts = 0;
    std::unique_ptr<load_reservation> load;
    std::uint64_t memoryGrant = 0; ///< Held from the dispatcher; 0 for none.
};

placement_sim::placement_sim(placement_scenario scenario, std::uint64_t seed)
    : m_scenario(std::move(scenario))
    , m_random(seed)
{
    for (auto index = std::size_t(0); index <= m_scenario.routers; ++index) {
        m_routers.push_back(std::make_unique<router>(m_scenario, index, m_context));
        auto &state = m_routers.back()->state;
        state.routes = makeRoutes(m_scenario);
        for (auto other = std::size_t(0); other <= m_scenario.routers; ++other) {
            if (other != index) {
                state.roster.put({ addressOf(other), "north", 1 });
            }
        }
    }
    for (auto index = std::size_t(0); index < m_scenario.engines; ++index) {
        auto server = listed_server();
        server.id = "engine-" + std::to_string(index);
        server.service = "pool";
        server.address = "10.1.0." + std::to_string(index) + ":80";
        server.slots = m_scenario.engine.slots;
        for (auto &each : m_routers) {
            each->state.servers.put(server, {});
            each->state.loads.at(server);
        }
        m_engineIndexes[server_loads::incarnationId(server)] = index;
        m_engines.push_back(std::make_unique<simulated_engine>(
            m_events, m_scenario.engine,
            [this, index](const prefix_block &block, bool cached) { noteRead(index, block, cached); }));
    }
    auto sum = 0.0;
    for (auto account = std::size_t(0); account < m_scenario.accounts; ++account) {
        m_accountWeights.push_back(1.0 / static_cast<double>(account + 1)); // A few of them are large.
        sum += m_accountWeights.back();
    }
    for (auto &weight : m_accountWeights) {
        weight /= sum;
    }
    m_result.accountInTime.resize(m_scenario.accounts);
    m_result.accountOffered.resize(m_scenario.accounts);
    m_result.accountServed.resize(m_scenario.accounts);
}

placement_sim::~placement_sim() = default;

auto placement_sim::run() -> placement_result
{
    for (auto kind = std::size_t(0); kind < m_scenario.kinds.size(); ++kind) {
        scheduleArrival(kind);
    }
    for (auto index = std::size_t(1); index < m_routers.size(); ++index) {
        m_events.after(fromSeconds(toSeconds(reportPeriod) * uniform()), [this, index] { report(index); });
    }
    for (auto index = std::size_t(0); index < m_scenario.restarts; ++index) {
        m_events.at(time_point(crestStart), [this, index] { m_engines[index]->crash(); });
    }
    m_events.runUntil(time_point(m_scenario.length));
    for (const auto &engine : m_engines) {
        m_result.crashes += engine->crashes();
        m_result.peakUse = std::max(m_result.peakUse, engine->peakUse());
    }
    return m_result;
}

auto placement_sim::uniform() -> double
{
    return boost::random::uniform_01<double>()(m_random);
}

auto placement_sim::isCounted(time_point arrived) const -> bool
{
    return arrived.time_since_epoch() >= warmUp && arrived.time_since_epoch() < m_scenario.length - coolDown;
}

auto placement_sim::loadFactor(std::size_t account) const -> double
{
    // The accounts of a crest are neither the largest nor the smallest.
    const auto isInCrest = account >= 2 && account < 2 + m_scenario.crestAccounts;
    return isInCrest && isCrest(m_events.now()) ? m_scenario.crestFactor : 1;
}

auto placement_sim::scheduleArrival(std::size_t kind) -> void
{
    auto factor = 0.0;
    for (auto account = std::size_t(0); account < m_accountWeights.size(); ++account) {
        factor += m_accountWeights[account] * loadFactor(account);
    }
    const auto inBurst = m_events.now().time_since_epoch() % 8s >= 6s;
    const auto rate = m_scenario.kinds[kind].perSecond * factor * (inBurst ? m_scenario.burst : 1);
    m_events.after(fromSeconds(-std::log(1 - uniform()) / rate), [this, kind] {
        arrive(kind);
        scheduleArrival(kind);
    });
}

auto placement_sim::arrive(std::size_t kind) -> void
{
    const auto &profile = m_scenario.kinds[kind];
    auto request = std::make_shared<call>();
    request->kind = kind;
    request->router = 1 + m_random() % m_scenario.routers;
    auto total = 0.0;
    for (auto account = std::size_t(0); account < m_accountWeights.size(); ++account) {
        total += m_accountWeights[account] * loadFactor(account);
    }
    auto draw = uniform() * total;
    while (request->account + 1 < m_accountWeights.size()) {
        draw -= m_accountWeights[request->account] * loadFactor(request->account);
        if (draw < 0) {
            break;
        }
        ++request->account;
    }
    request->arrived = m_events.now();
    request->outputTokens =
        std::max<std::uint32_t>(1, static_cast<std::uint32_t>(profile.outputTokens * (0.5 + uniform())));
    // A power of a uniform draw makes low numbers more frequent.
    const auto session = static_cast<std::uint64_t>(std::pow(uniform(), 1 + m_scenario.sessionSkew) * profile.sessions);
    auto &prompt = request->query.prompt;
    prompt.parts.push_back({ hash64(profile.name, session % profile.commonParts), profile.commonTokens });
    if (profile.sessionTokens > 0) {
        prompt.parts.push_back({ hash64(profile.name, 1'000 + session), profile.sessionTokens });
    }
    prompt.parts.push_back({ hash64("own", ++m_serial), profile.ownTokens });
    prompt.promptTokens = profile.commonTokens + profile.sessionTokens + profile.ownTokens;
    prompt.outputTokens = request->outputTokens * profile.statedOutputFactor;
    prompt.expectedOutputTokens =
        std::max<std::uint32_t>(1, static_cast<std::uint32_t>(request->outputTokens * (0.5 + uniform())));
    request->query.service = "pool";
    request->query.account = account_usage::accountId("account-" + std::to_string(request->account));
    request->query.objective = profile.objective;
    if (isCounted(request->arrived)) {
        ++m_result.kinds[profile.name].offered;
    }
    if (isCrest(request->arrived)) {
        m_result.accountOffered[request->account] += prompt.promptTokens;
    }
    attempt(request);
}

auto placement_sim::attempt(const std::shared_ptr<call> &request) -> void
{
    ++request->attempts;
    if (uniform() < m_scenario.decidedAlone) {
        m_events.after(answerTimeout, [this, request] { decideAlone(request); });
        return;
    }
    m_events.after(oneWay, [this, request] {
        const auto answer = m_routers[0]->dispatch.answer(request->router + 1, 1, request->query, m_events.now());
        m_events.after(oneWay, [this, request, answer] {
            auto &router = *m_routers[request->router];
            if (!answer) {
                decideAlone(request);
                return;
            }
            router.lastSequence = std::max(router.lastSequence, answer->sequence);
            request->memoryGrant = answer->memoryGrant;
            if (answer->memoryGrant != 0) {
                router.lastMemoryGrant = std::max(router.lastMemoryGrant, answer->memoryGrant);
                router.heldMemory.insert(answer->memoryGrant);
            }
            if (answer->server == 0) {
                handleRefusal(request);
                return;
            }
            send(request,
                 { .server = router.state.servers.findUsable(answer->server),
                   .prefillTokens = answer->prefillTokens,
                   .wait = answer->wait,
                   .firstEvent = answer->firstEvent,
                   .delayToOthers = {},
                   .running = answer->running,
                   .candidates = answer->candidates,
                   .lease = nullptr });
        });
    });
}

auto placement_sim::decideAlone(const std::shared_ptr<call> &request) -> void
{
    auto why = last_reason();
    const auto decision =
        decideEngine(m_routers[request->router]->state, request->query, m_events.now(), why, memory_scope::alone);
    if (decision && decision->chosen) {
        send(request, *decision->chosen);
    } else {
        handleRefusal(request);
    }
}

auto placement_sim::handleRefusal(const std::shared_ptr<call> &request) -> void
{
    const auto back = fromSeconds(minRetryAfter + (maxRetryAfter - minRetryAfter) * uniform());
    const auto latest = request->arrived + m_scenario.kinds[request->kind].deadline;
    if (request->attempts < callerAttempts && m_events.now() + back < latest) {
        m_events.after(back, [this, request] { attempt(request); });
        return;
    }
    if (isCounted(request->arrived)) {
        ++m_result.kinds[m_scenario.kinds[request->kind].name].refused;
    }
}

auto placement_sim::send(const std::shared_ptr<call> &request, const chosen_server &chosen) -> void
{
    auto &state = m_routers[request->router]->state;
    const auto incarnation = server_loads::incarnationId(*chosen.server);
    const auto &prompt = request->query.prompt;
    request->load = std::make_unique<load_reservation>(state.loads, chosen, prompt);
    state.accounts.noteStarted(request->query.account,
                               prompt.promptTokens + std::uint64_t(2) * prompt.likelyOutputTokens(), m_events.now());
    state.recordPrefill(incarnation, prompt);
    auto job = std::make_shared<simulated_job>();
    job->prompt = prompt;
    job->outputTokens = request->outputTokens;
    job->onFirstEvent = [this, request] {
        request->firstEvent = m_events.now() + oneWay - request->arrived;
        m_events.after(oneWay, [request] {
            if (request->load) {
                request->load->notePrefillDone();
            }
        });
    };
    job->onEnd = [this, request](bool completed) {
        m_events.after(oneWay, [this, request, completed] { end(request, completed); });
    };
    m_events.after(oneWay, [this, job, incarnation] { m_engines[m_engineIndexes.at(incarnation)]->submit(job); });
}

auto placement_sim::end(const std::shared_ptr<call> &request, bool completed) -> void
{
    request->load.reset();
    m_routers[request->router]->heldMemory.erase(request->memoryGrant);
    const auto &kind = m_scenario.kinds[request->kind];
    const auto inTime =
        completed && request->firstEvent <= kind.objective && m_events.now() - request->arrived <= kind.deadline;
    if (isCrest(request->arrived) && inTime) {
        m_result.accountServed[request->account] += request->query.prompt.promptTokens;
    }
    if (!isCounted(request->arrived)) {
        return;
    }
    auto &result = m_result.kinds[kind.name];
    if (completed) {
        ++(inTime ? result.inTime : result.late);
        result.firstEventMs.push_back(toSeconds(request->firstEvent) * 1e3);
    } else {
        ++result.lost;
    }
}

auto placement_sim::report(std::size_t index) -> void
{
    auto &router = *m_routers[index];
    auto snapshot = load_snapshot{ .router = index + 1, .sequence = ++router.reports, .engines = {}, .accounts = {} };
    for (const auto &[server, load] : router.state.loads.all()) {
        if (load.running > 0) {
            snapshot.engines.push_back({ server, load.running, static_cast<std::uint32_t>(load.pendingPrefillTokens),
                                         static_cast<std::uint32_t>(load.committedTokens) });
        }
    }
    snapshot.accounts = router.state.accounts.localAccountTokens(m_events.now());
    m_events.after(oneWay,
                   [this, snapshot = std::move(snapshot), heard = router.lastSequence, last = router.lastMemoryGrant,
                    held = router.heldMemory]() mutable {
                       auto &dispatcher = m_routers[0]->state;
                       const auto from = snapshot.router;
                       const auto retained = dispatcher.memoryGrants.reconcile(from, last, held, m_events.now());
                       for (auto &load : snapshot.engines) {
                           const auto granted = retained.find(load.server);
                           const auto tokens = granted == retained.end() ? 0 : granted->second;
                           load.committedTokens -=
                               static_cast<std::uint32_t>(std::min<std::uint64_t>(load.committedTokens, tokens));
                       }
                       if (dispatcher.fleet.update(snapshot, m_events.now())) {
                           dispatcher.placements.acknowledge(from, heard);
                       }
                   });
    m_events.after(reportPeriod, [this, index] { report(index); });
}

auto placement_sim::noteRead(std::size_t engine, const prefix_block &block, bool cached) -> void
{
    const auto now = m_events.now();
    const auto last = m_lastUse.find(block.id);
    if (now.time_since_epoch() >= warmUp) {
        m_result.sharedTokens += block.tokens;
        if (!cached && last != m_lastUse.end() && now - last->second <= rereadWindow) {
            const auto isElsewhere = std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &each) {
                return each.get() != m_engines[engine].get() && each->holds(block.id);
            });
            (isElsewhere ? m_result.rereadElsewhere : m_result.rereadEvicted) += block.tokens;
        }
    }
    m_lastUse[block.id] = now;
}

} // namespace marjoramloom::bench
