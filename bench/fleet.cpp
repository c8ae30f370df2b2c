#include "fleet.h"

#include <cmath>

namespace marjoramloom::bench {

namespace {

constexpr auto promptWeight = 0.1; ///< As the routers weigh tokens.
constexpr auto cachedPromptWeight = 0.01;
constexpr auto localLatency = std::chrono::microseconds(150); ///< One way in a data centre.
constexpr auto controlAllowance = std::chrono::milliseconds(100); ///< Waits below it are messages on their way.

} // namespace

fleet::fleet(const deployment &where)
    : m_where(where)
    , m_settled(where.accounts.size())
{
    constexpr auto orderSlots = std::uint32_t(8);
    constexpr auto orderSeconds = 0.05;
    addEngines(service_index::model, where.engines, where.engine);
    auto plain = engine_settings();
    plain.slots = orderSlots;
    plain.callSeconds = orderSeconds;
    addEngines(service_index::orders, where.orderServers, plain);
}

auto fleet::addEngines(service_index, std::size_t count, const engine_settings &settings) -> void
{
    for (auto added = std::size_t(0); added < count; ++added) {
        auto listener = engine_listener();
        listener.started = [this](place_key key) {
            onStarted(key);
        };
        listener.firstToken = [this](place_key key, double cached) {
            onFirstToken(key, cached);
        };
        listener.finished = [this](place_key key) {
            onFinished(key);
        };
        m_engines.push_back(std::make_unique<engine_fake>(m_queue, settings, std::move(listener)));
    }
}

auto fleet::setListener(place_listener listener) -> void
{
    m_listener = std::move(listener);
}

auto fleet::engineCount(service_index service) const -> std::size_t
{
    return service == service_index::model ? m_where.engines : m_where.orderServers;
}

auto fleet::engineNumber(service_index service, std::size_t index) const -> std::size_t
{
    return service == service_index::model ? index : m_where.engines + index;
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
    const auto index = number < m_where.engines ? number : number - m_where.engines;
    return static_cast<std::uint32_t>(index % m_where.dataCentres);
}

auto fleet::dataCentreOfRouter(std::uint32_t router) const -> std::uint32_t
{
    return router / m_where.routersPerDataCentre;
}

auto fleet::routerCount() const -> std::uint32_t
{
    return m_where.dataCentres * m_where.routersPerDataCentre;
}

auto fleet::latency(std::uint32_t from, std::uint32_t to) const -> duration
{
    return from == to ? duration(localLatency) : localLatency + fromSeconds(m_where.oneWaySeconds);
}

auto fleet::makeRequest(std::size_t account, std::uint32_t router, const drawn_request &drawn) -> live_request &
{
    auto made = live_request();
    made.key = ++m_lastRequest;
    made.account = account;
    made.router = router;
    made.drawn = drawn;
    made.arrived = m_queue.now();
    made.outcome = m_results.requests.size();
    auto outcome = request_outcome();
    outcome.account = account;
    outcome.kind = drawn.kind;
    outcome.arrivedSeconds = secondsSinceStart();
    m_results.requests.push_back(outcome);
    auto &kept = m_requests[made.key] = made;
    noteWaiting(kept);
    return kept;
}

auto fleet::noteWaiting(live_request &waiting) -> void
{
    waiting.waitsSince = m_queue.now();
    if (classOf(waiting).target == service_index::model) {
        m_waiting.emplace(waiting.waitsSince, waiting.key);
    }
}

auto fleet::request(request_key key) -> live_request *
{
    const auto found = m_requests.find(key);
    return found == m_requests.end() ? nullptr : &found->second;
}

auto fleet::classOf(const live_request &asked) const -> const request_class &
{
    return m_where.classes[asked.drawn.kind];
}

auto fleet::place(live_request &placed, std::size_t engine) -> place_key
{
    const auto key = ++m_lastPlace;
    auto entry = engine_place();
    entry.request = placed.key;
    entry.engine = engine;
    entry.placed = m_queue.now();
    entry.promptTokens = placed.drawn.promptTokens + placed.generated;
    m_places[key] = entry;
    m_placesOf.emplace(placed.key, key);
    auto work = engine_work();
    work.key = key;
    work.contextHash = placed.key << 8U; // Apart from the prefixes' hashes.
    work.prefixHash = placed.drawn.prefixHash;
    work.prefixTokens = placed.drawn.prefixTokens;
    work.promptTokens = entry.promptTokens;
    work.outputTokens = std::max(1.0, placed.drawn.outputTokens - placed.generated);
    const auto delay = latency(dataCentreOfRouter(placed.router), dataCentreOfEngine(engine));
    m_queue.after(delay, [this, work, engine] {
        if (m_places.contains(work.key)) {
            m_engines[engine]->admit(work);
        }
    });
    return key;
}

auto fleet::find(place_key key) -> engine_place *
{
    const auto found = m_places.find(key);
    return found == m_places.end() ? nullptr : &found->second;
}

auto fleet::onStarted(place_key key) -> void
{
    auto &place = m_places.at(key);
    place.started = true;
    auto &owner = m_requests.at(place.request);
    m_waiting.erase({ owner.waitsSince, owner.key });
    auto &outcome = m_results.requests[owner.outcome];
    if (!outcome.started) {
        outcome.started = true;
        outcome.waitSeconds = toSeconds(m_queue.now() - owner.arrived);
    }
}

auto fleet::onFirstToken(place_key key, double cachedTokens) -> void
{
    auto &place = m_places.at(key);
    place.firstToken = true;
    auto &owner = m_requests.at(place.request);
    if (owner.promptCharged) {
        m_results.repeatedPrefillTokens += place.promptTokens - cachedTokens;
    } else {
        owner.charged = promptWeight * (place.promptTokens - cachedTokens) + cachedPromptWeight * cachedTokens;
        owner.promptCharged = true;
    }
    const auto delay = latency(dataCentreOfEngine(place.engine), dataCentreOfRouter(owner.router));
    auto &outcome = m_results.requests[owner.outcome];
    if (outcome.firstTokenSeconds == 0) {
        outcome.firstTokenSeconds = toSeconds(m_queue.now() + delay - owner.arrived);
    }
    m_queue.after(delay, [this, key, request = owner.key] { m_listener.firstToken(request, key); });
}

auto fleet::onFinished(place_key key) -> void
{
    const auto place = m_places.at(key);
    auto &owner = m_requests.at(place.request);
    m_places.erase(key);
    if (owner.complete) {
        return;
    }
    owner.complete = true;
    const auto tokens = std::max(1.0, owner.drawn.outputTokens - owner.generated);
    noteTokens(owner, tokens);
    owner.generated += tokens;
    const auto delay = latency(dataCentreOfEngine(place.engine), dataCentreOfRouter(owner.router));
    m_queue.after(delay, [this, key, request = owner.key] { m_listener.finished(request, key); });
}

auto fleet::removePlace(place_key key, bool waitsAgain) -> void
{
    const auto found = m_places.find(key);
    if (found == m_places.end()) {
        return;
    }
    const auto place = found->second;
    m_places.erase(found);
    const auto tokens = std::floor(m_engines[place.engine]->cancel(key));
    auto &owner = m_requests.at(place.request);
    if (waitsAgain) {
        noteTokens(owner, tokens);
        owner.generated += tokens;
        noteWaiting(owner);
    }
}

auto fleet::noteTokens(const live_request &of, double tokens) -> void
{
    if (m_measuring) {
        const auto isLong = m_where.classes[of.drawn.kind].length == work_length::longWork;
        (isLong ? m_results.longTokens : m_results.shortTokens) += tokens;
    }
}

auto fleet::costOf(const live_request &asked) -> double
{
    auto cost = asked.charged + asked.generated;
    auto best = 0.0;
    const auto [first, last] = m_placesOf.equal_range(asked.key);
    for (auto row = first; row != last; ++row) {
        if (const auto *place = find(row->second); place != nullptr && place->firstToken) {
            best = std::max(best, m_engines[place->engine]->generated(row->second));
        }
    }
    return cost + best;
}

auto fleet::finish(live_request &done, bool refused) -> void
{
    auto &outcome = m_results.requests[done.outcome];
    outcome.refused = refused;
    outcome.finished = !refused;
    const auto cost = costOf(done);
    m_settled[done.account] += cost;
    m_results.largestRequestCost = std::max(m_results.largestRequestCost, cost);
    m_waiting.erase({ done.waitsSince, done.key });
    const auto [first, last] = m_placesOf.equal_range(done.key);
    for (auto row = first; row != last; ++row) {
        if (const auto *place = find(row->second)) {
            m_engines[place->engine]->cancel(row->second);
            m_places.erase(row->second);
        }
    }
    m_placesOf.erase(done.key);
    m_requests.erase(done.key);
}

auto fleet::runningPlaces() const -> const std::map<place_key, engine_place> &
{
    return m_places;
}

auto fleet::recordSamples() -> void
{
    auto load = load_sample();
    load.seconds = secondsSinceStart();
    auto busy = 0.0;
    for (auto number = std::size_t(0); number < m_where.engines; ++number) {
        busy += m_engines[number]->running();
    }
    load.busyPart = busy / (m_where.engines * m_where.engine.slots);
    load.waiting = m_waiting.size();
    load.workWaits = !m_waiting.empty() && m_queue.now() - m_waiting.begin()->first > controlAllowance;
    m_results.load.push_back(load);
    constexpr auto samplesPerServiceSample = 50;
    if (m_results.load.size() % samplesPerServiceSample != 1) {
        return;
    }
    auto service = service_sample();
    service.seconds = load.seconds;
    service.received = m_settled;
    for (const auto &[key, request] : m_requests) {
        if (request.promptCharged) {
            service.received[request.account] += costOf(request);
        }
    }
    m_results.service.push_back(std::move(service));
}

auto fleet::startMeasuring() -> void
{
    m_measuring = true;
    m_measuredSince = m_queue.now();
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

auto fleet::secondsSinceStart() const -> double
{
    return m_measuring ? toSeconds(m_queue.now() - m_measuredSince) : -1;
}

} // namespace marjoramloom::bench
