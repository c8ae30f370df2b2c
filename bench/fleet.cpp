#include "fleet.h"

#include <cmath>

namespace marjoramloom::bench {

namespace {

constexpr auto promptWeight =
    0.1; ///< Cost of a prompt token that is not cached, relative to a generated token; as in the routers.
constexpr auto cachedPromptWeight = 0.01;
constexpr auto localLatency = std::chrono::microseconds(150); ///< One way within a data centre.
constexpr auto controlDelayAllowance =
    std::chrono::milliseconds(100); ///< Shorter waits are only control messages in transit.

} // namespace

fleet::fleet(const deployment_settings &deployment)
    : m_deployment(deployment)
    , m_finishedService(deployment.accounts.size())
{
    constexpr auto orderSlots = std::uint32_t(8);
    constexpr auto orderSeconds = 0.05;
    addEngines(service_index::model, deployment.engines, deployment.engine);
    auto plain = engine_settings();
    plain.slots = orderSlots;
    plain.callSeconds = orderSeconds;
    addEngines(service_index::orders, deployment.orderServers, plain);
}

auto fleet::addEngines(service_index, std::size_t count, const engine_settings &settings) -> void
{
    for (auto added = std::size_t(0); added < count; ++added) {
        auto listener = engine_listener();
        listener.started = [this](attempt_key key) {
            onStarted(key);
        };
        listener.firstToken = [this](attempt_key key, double cachedTokens) {
            onFirstToken(key, cachedTokens);
        };
        listener.finished = [this](attempt_key key) {
            onFinished(key);
        };
        m_engines.push_back(std::make_unique<engine_fake>(m_queue, settings, std::move(listener)));
    }
}

auto fleet::setListener(attempt_listener listener) -> void
{
    m_listener = std::move(listener);
}

auto fleet::engineCount(service_index service) const -> std::size_t
{
    return service == service_index::model ? m_deployment.engines : m_deployment.orderServers;
}

auto fleet::engineNumber(service_index service, std::size_t index) const -> std::size_t
{
    return service == service_index::model ? index : m_deployment.engines + index;
}

auto fleet::engine(std::size_t number) -> engine_fake &
{
    return *m_engines[number];
}

auto fleet::engine(std::size_t number) const -> const engine_fake &
{
    return *m_engines[number];
}

auto fleet::dataCentreOfEngine(std::size_t number) const -> std::uint32_t
{
    const auto index = number < m_deployment.engines ? number : number - m_deployment.engines;
    return static_cast<std::uint32_t>(index % m_deployment.dataCentres);
}

auto fleet::dataCentreOfRouter(std::uint32_t router) const -> std::uint32_t
{
    return router / m_deployment.routersPerDataCentre;
}

auto fleet::routerCount() const -> std::uint32_t
{
    return m_deployment.dataCentres * m_deployment.routersPerDataCentre;
}

auto fleet::latency(std::uint32_t from, std::uint32_t to) const -> duration
{
    return from == to ? duration(localLatency) : localLatency + fromSeconds(m_deployment.oneWayLatencySeconds);
}

auto fleet::makeRequest(std::size_t account, std::uint32_t router, const drawn_request &drawn) -> live_request &
{
    auto request = live_request();
    request.key = ++m_lastRequest;
    request.account = account;
    request.router = router;
    request.drawn = drawn;
    request.arrived = m_queue.now();
    request.outcomeIndex = m_results.requests.size();
    auto outcome = request_outcome();
    outcome.account = account;
    outcome.classIndex = drawn.classIndex;
    outcome.arrivedSeconds = secondsSinceWarmUp();
    m_results.requests.push_back(outcome);
    auto &added = m_requests[request.key] = request;
    markWaiting(added);
    return added;
}

auto fleet::markWaiting(live_request &request) -> void
{
    request.waitingSince = m_queue.now();
    if (classOf(request).target == service_index::model) {
        m_waiting.emplace(request.waitingSince, request.key);
    }
}

auto fleet::request(request_key key) -> live_request *
{
    const auto found = m_requests.find(key);
    return found == m_requests.end() ? nullptr : &found->second;
}

auto fleet::classOf(const live_request &request) const -> const request_class &
{
    return m_deployment.classes[request.drawn.classIndex];
}

auto fleet::startAttempt(live_request &request, std::size_t engine) -> attempt_key
{
    const auto key = ++m_lastAttempt;
    auto attempt = engine_attempt();
    attempt.request = request.key;
    attempt.engine = engine;
    attempt.sentAt = m_queue.now();
    attempt.promptTokens = request.drawn.promptTokens + request.generatedTokens;
    m_attempts[key] = attempt;
    m_attemptsByRequest.emplace(request.key, key);
    auto engineRequest = engine_request();
    engineRequest.key = key;
    engineRequest.contextHash = request.key << 8U; // Distinct from the hashes of shared prefixes.
    engineRequest.prefixHash = request.drawn.prefixHash;
    engineRequest.prefixTokens = request.drawn.prefixTokens;
    engineRequest.promptTokens = attempt.promptTokens;
    engineRequest.outputTokens = std::max(1.0, request.drawn.outputTokens - request.generatedTokens);
    const auto delay = latency(dataCentreOfRouter(request.router), dataCentreOfEngine(engine));
    m_queue.after(delay, [this, engineRequest, engine] {
        if (m_attempts.contains(engineRequest.key)) {
            m_engines[engine]->admit(engineRequest);
        }
    });
    return key;
}

auto fleet::findAttempt(attempt_key key) -> engine_attempt *
{
    const auto found = m_attempts.find(key);
    return found == m_attempts.end() ? nullptr : &found->second;
}

auto fleet::onStarted(attempt_key key) -> void
{
    auto &attempt = m_attempts.at(key);
    attempt.isStarted = true;
    auto &request = m_requests.at(attempt.request);
    m_waiting.erase({ request.waitingSince, request.key });
    auto &outcome = m_results.requests[request.outcomeIndex];
    if (!outcome.started) {
        outcome.started = true;
        outcome.waitSeconds = toSeconds(m_queue.now() - request.arrived);
    }
}

auto fleet::onFirstToken(attempt_key key, double cachedTokens) -> void
{
    auto &attempt = m_attempts.at(key);
    attempt.hasFirstToken = true;
    auto &request = m_requests.at(attempt.request);
    if (request.isPromptCharged) {
        m_results.repeatedPrefillTokens += attempt.promptTokens - cachedTokens;
    } else {
        request.chargedPromptCost =
            promptWeight * (attempt.promptTokens - cachedTokens) + cachedPromptWeight * cachedTokens;
        request.isPromptCharged = true;
    }
    const auto delay = latency(dataCentreOfEngine(attempt.engine), dataCentreOfRouter(request.router));
    auto &outcome = m_results.requests[request.outcomeIndex];
    if (outcome.firstTokenSeconds == 0) {
        outcome.firstTokenSeconds = toSeconds(m_queue.now() + delay - request.arrived);
    }
    m_queue.after(delay, [this, key, requestKey = request.key] { m_listener.firstToken(requestKey, key); });
}

auto fleet::onFinished(attempt_key key) -> void
{
    const auto attempt = m_attempts.at(key);
    auto &request = m_requests.at(attempt.request);
    m_attempts.erase(key);
    if (request.isComplete) {
        return;
    }
    request.isComplete = true;
    const auto tokens = std::max(1.0, request.drawn.outputTokens - request.generatedTokens);
    countGeneratedTokens(request, tokens);
    request.generatedTokens += tokens;
    const auto delay = latency(dataCentreOfEngine(attempt.engine), dataCentreOfRouter(request.router));
    m_queue.after(delay, [this, key, requestKey = request.key] { m_listener.finished(requestKey, key); });
}

auto fleet::cancelAttempt(attempt_key key, bool isRequeued) -> void
{
    const auto found = m_attempts.find(key);
    if (found == m_attempts.end()) {
        return;
    }
    const auto attempt = found->second;
    m_attempts.erase(found);
    const auto tokens = std::floor(m_engines[attempt.engine]->cancel(key));
    auto &request = m_requests.at(attempt.request);
    if (isRequeued) {
        countGeneratedTokens(request, tokens);
        request.generatedTokens += tokens;
        markWaiting(request);
    }
}

auto fleet::countGeneratedTokens(const live_request &request, double tokens) -> void
{
    if (m_isMeasuring) {
        const auto isLong = m_deployment.classes[request.drawn.classIndex].length == work_length::longWork;
        (isLong ? m_results.longTokens : m_results.shortTokens) += tokens;
    }
}

auto fleet::costOf(const live_request &request) -> double
{
    auto cost = request.chargedPromptCost + request.generatedTokens;
    auto mostGenerated = 0.0;
    const auto [first, last] = m_attemptsByRequest.equal_range(request.key);
    for (auto entry = first; entry != last; ++entry) {
        if (const auto *attempt = findAttempt(entry->second); attempt != nullptr && attempt->hasFirstToken) {
            mostGenerated = std::max(mostGenerated, m_engines[attempt->engine]->generatedTokens(entry->second));
        }
    }
    return cost + mostGenerated;
}

auto fleet::finish(live_request &request, bool refused) -> void
{
    auto &outcome = m_results.requests[request.outcomeIndex];
    outcome.refused = refused;
    outcome.finished = !refused;
    const auto cost = costOf(request);
    m_finishedService[request.account] += cost;
    m_results.largestRequestCost = std::max(m_results.largestRequestCost, cost);
    m_waiting.erase({ request.waitingSince, request.key });
    const auto [first, last] = m_attemptsByRequest.equal_range(request.key);
    for (auto entry = first; entry != last; ++entry) {
        if (const auto *attempt = findAttempt(entry->second)) {
            m_engines[attempt->engine]->cancel(entry->second);
            m_attempts.erase(entry->second);
        }
    }
    m_attemptsByRequest.erase(request.key);
    m_requests.erase(request.key);
}

auto fleet::activeAttempts() const -> const std::map<attempt_key, engine_attempt> &
{
    return m_attempts;
}

auto fleet::recordSamples() -> void
{
    auto load = load_sample();
    load.seconds = secondsSinceWarmUp();
    auto busy = 0.0;
    for (auto number = std::size_t(0); number < m_deployment.engines; ++number) {
        busy += m_engines[number]->runningCount();
    }
    load.busyFraction = busy / (m_deployment.engines * m_deployment.engine.slots);
    load.waiting = m_waiting.size();
    load.hasDelayedRequest = !m_waiting.empty() && m_queue.now() - m_waiting.begin()->first > controlDelayAllowance;
    m_results.load.push_back(load);
    constexpr auto samplesPerServiceSample = 50;
    if (m_results.load.size() % samplesPerServiceSample != 1) {
        return;
    }
    auto service = service_sample();
    service.seconds = load.seconds;
    service.received = m_finishedService;
    for (const auto &[key, request] : m_requests) {
        if (request.isPromptCharged) {
            service.received[request.account] += costOf(request);
        }
    }
    m_results.service.push_back(std::move(service));
}

auto fleet::startMeasuring() -> void
{
    m_isMeasuring = true;
    m_measuringSince = m_queue.now();
    m_results.control = {};
    m_results.suspensions = 0;
    m_results.hedges = 0;
    m_results.grants = 0;
    m_results.remoteGrants = 0;
    m_results.repeatedPrefillTokens = 0;
}

auto fleet::results() -> run_results &
{
    return m_results;
}

auto fleet::secondsSinceWarmUp() const -> double
{
    return m_isMeasuring ? toSeconds(m_queue.now() - m_measuringSince) : -1;
}

} // namespace marjoramloom::bench
