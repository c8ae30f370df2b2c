#include "marjoramloom/share/server_placement.h"

namespace marjoramloom::bench {

template<dispatch_layout Layout>
dispatched_policy<Layout>::dispatched_policy(fleet &where)
    : m_fleet(where)
    , m_network(where, [this](auto to, auto, const auto &messages) { receive(to, messages); })
    , m_routers(where.routerCount())
    , m_domains(Layout::domains(where))
{
    auto weights = std::map<object_id, double>();
    for (auto account = std::size_t(0); account < where.where().accounts.size(); ++account) {
        weights[accountId(account)] = where.where().accounts[account].weight;
    }
    for (auto &router : m_routers) {
        router.ledger.setWeights(weights);
        router.hedges = std::make_unique<hedge_policy>(m_settings.hedgeBudget);
    }
    for (auto index = std::size_t(0); index < m_domains.size(); ++index) {
        makeDomain(index);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::makeDomain(std::size_t index) -> void
{
    const auto &domain = m_domains[index];
    m_domainByPool[domain.pool] = index;
    auto &ledger = m_routers[domain.host].ledger;
    m_dispatchers.push_back(std::make_unique<dispatcher>(domain.pool, dispatcher_settings(), ledger));
    auto servers = std::vector<backend_server>();
    for (const auto &[number, slots] : domain.slots) {
        auto server = backend_server();
        server.id = engineId(number);
        server.name = "engine-" + std::to_string(number);
        server.dataCentre = domain.pool.dataCentre;
        server.slots = slots;
        servers.push_back(server);
    }
    m_dispatchers.back()->placement().setServers(servers, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::domainOfPool(const pool_id &pool) const -> std::size_t
{
    return m_domainByPool.at(pool);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::setRefusalListener(refusal_listener listener) -> void
{
    m_refused = std::move(listener);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::repeat(duration period, std::function<void()> action) -> void
{
    m_fleet.queue().after(period, [this, period, action] {
        action();
        repeat(period, action);
    });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::start() -> void
{
    repeat(m_settings.reportPeriod, [this] { reportUse(); });
    repeat(m_settings.digestPeriod, [this] { sendDigests(); });
    repeat(m_settings.decidePeriod, [this] {
        for (auto domain = std::size_t(0); domain < m_domains.size(); ++domain) {
            decide(domain);
        }
    });
    if constexpr (Layout::EXCHANGES_DIGESTS) {
        // Engines report all that they run, which says nothing to a router that owns a part of their slots.
        repeat(m_settings.digestPeriod, [this] { sendLoadReports(); });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::estimate(const live_request &asked) -> double
{
    const auto &costs = m_routers[asked.router].costs;
    const auto whole = costs.expected(accountId(asked.account), profileId(asked.drawn.kind), asked.drawn.hint);
    return std::max(1.0, whole - m_fleet.costOf(asked));
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::submit(live_request &asked) -> void
{
    if (m_fleet.classOf(asked).hedged) {
        m_routers[asked.router].hedges->onCall();
    }
    submitTicket(asked, false, {});
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::submitTicket(live_request &asked, bool hedge, std::vector<object_id> excluded) -> void
{
    const auto &rules = m_fleet.classOf(asked);
    const auto domain = Layout::domainOf(m_fleet, asked.router, rules.target);
    auto waiting = ticket();
    waiting.id = { incarnationOf(asked.router), ++m_routers[asked.router].lastSerial };
    waiting.origin = m_domains[domain].pool;
    waiting.account = accountId(asked.account);
    waiting.profile = profileId(asked.drawn.kind);
    waiting.length = rules.length;
    waiting.expectedCost = estimate(asked);
    waiting.prefixHash = asked.drawn.prefixHash;
    waiting.submitted = m_fleet.queue().now();
    waiting.deadline = waiting.submitted + (hedge ? m_settings.hedgeWait : fromSeconds(rules.maxWaitSeconds));
    waiting.suspensions = asked.suspensions;
    waiting.suspendable = rules.suspendable && asked.suspensions < rules.maxSuspensions;
    waiting.excluded = std::move(excluded);
    m_waiting[waiting.id] = { asked.key, domain, hedge };
    m_network.send(asked.router, m_domains[domain].host, submit_message{ waiting.origin, waiting });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::receive(std::uint32_t to, const std::vector<control_message> &messages) -> void
{
    for (const auto &message : messages) {
        std::visit([this, to](const auto &typed) { handle(to, typed); }, message);
    }
    decideHostedBy(to);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const submit_message &message) -> void
{
    m_dispatchers[domainOfPool(message.pool)]->submit(message.waiting, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const withdraw_message &message) -> void
{
    m_dispatchers[domainOfPool(message.pool)]->withdraw(message.id, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const progress_message &message) -> void
{
    m_dispatchers[domainOfPool(message.pool)]->progress(message.id, message.cost, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const settle_message &message) -> void
{
    m_dispatchers[domainOfPool(message.pool)]->settle(message.id, message.cost, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const digest_message &message) -> void
{
    m_dispatchers[domainOfPool(message.to)]->absorbDigest(message.digest, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const sample_message &message) -> void
{
    m_dispatchers[domainOfPool(message.pool)]->placement().observe(message.sample, m_fleet.queue().now());
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t at, const service_total &message) -> void
{
    m_routers[at].ledger.merge({ message });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t at, const pull_request &message) -> void
{
    const auto now = m_fleet.queue().now();
    const auto asker = m_domains[domainOfPool(message.from)].host;
    for (const auto &released : m_dispatchers[domainOfPool(message.to)]->releaseForPull(message, now)) {
        m_network.send(at, asker, submit_message{ message.from, released });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t at, const grant &message) -> void
{
    const auto domain = domainOfPool(message.pool);
    const auto waiting = m_waiting.extract(message.ticket);
    auto *asked = waiting.empty() ? nullptr : m_fleet.request(waiting.mapped().request);
    const auto wanted = asked != nullptr && (!waiting.mapped().hedge || m_placesByRequest.contains(asked->key));
    if (!wanted) {
        m_network.send(at, m_domains[domain].host, settle_message{ message.pool, message.ticket, 0 });
        return;
    }
    const auto place = m_fleet.place(*asked, engineNumberOf(message.server));
    auto &held = m_held[place];
    held.id = message.ticket;
    held.domain = domain;
    held.request = asked->key;
    held.hedge = waiting.mapped().hedge;
    held.costBefore = m_fleet.costOf(*asked);
    held.charged = message.charged;
    m_placeByTicket[message.ticket] = place;
    m_placesByRequest.emplace(asked->key, place);
    auto &results = m_fleet.results();
    ++results.grants;
    results.remoteGrants += message.pool != m_domains[waiting.mapped().domain].pool ? 1 : 0;
    results.hedges += held.hedge ? 1 : 0;
    if (!held.hedge && m_fleet.classOf(*asked).hedged && !asked->promptCharged) {
        armHedge(asked->key, place);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::armHedge(request_key request, place_key place) -> void
{
    const auto delay = m_routers[m_fleet.request(request)->router].hedges->delay();
    if (!delay) {
        return;
    }
    m_fleet.queue().after(*delay, [this, request, place] {
        auto *asked = m_fleet.request(request);
        const auto *first = m_fleet.find(place);
        if (asked == nullptr || first == nullptr || first->firstToken || !m_routers[asked->router].hedges->take()) {
            return;
        }
        submitTicket(*asked, true, { engineId(first->engine) });
    });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const refusal &message) -> void
{
    const auto waiting = m_waiting.extract(message.ticket);
    auto *asked = waiting.empty() ? nullptr : m_fleet.request(waiting.mapped().request);
    if (asked == nullptr) {
        return;
    }
    if (waiting.mapped().hedge) {
        m_routers[asked->router].hedges->giveBack();
        return;
    }
    m_counted.erase(asked->key);
    m_refused(*asked);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const suspension &message) -> void
{
    const auto found = m_placeByTicket.find(message.ticket);
    if (found == m_placeByTicket.end()) {
        return;
    }
    const auto place = found->second;
    const auto &held = m_held.at(place);
    const auto *running = m_fleet.find(place);
    const auto router = m_fleet.request(held.request)->router;
    if (running != nullptr) {
        const auto delay =
            m_fleet.latency(m_fleet.dataCentreOfRouter(router), m_fleet.dataCentreOfEngine(running->engine));
        m_fleet.queue().after(delay, [this, place] { suspend(place); });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::suspend(place_key place) -> void
{
    const auto *running = m_fleet.find(place);
    if (running == nullptr || !m_held.contains(place)) {
        return;
    }
    const auto engine = running->engine;
    auto &asked = *m_fleet.request(running->request);
    ++m_fleet.results().suspensions;
    m_fleet.removePlace(place, true);
    ++asked.suspensions;
    const auto delay = m_fleet.latency(m_fleet.dataCentreOfEngine(engine), m_fleet.dataCentreOfRouter(asked.router));
    m_fleet.queue().after(delay, [this, place, key = asked.key] {
        auto *again = m_fleet.request(key);
        if (again == nullptr) {
            return;
        }
        countUse(*again);
        drop(place);
        submitTicket(*again, false, {});
    });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::drop(place_key place) -> void
{
    const auto node = m_held.extract(place);
    if (node.empty()) {
        return;
    }
    const auto &held = node.mapped();
    m_placeByTicket.erase(held.id);
    const auto [first, last] = m_placesByRequest.equal_range(held.request);
    const auto row = std::find_if(first, last, [place](const auto &entry) { return entry.second == place; });
    m_placesByRequest.erase(row);
    const auto router = routerOf(held.id.router);
    const auto *asked = m_fleet.request(held.request);
    const auto cost = held.hedge || asked == nullptr ? 0 : m_fleet.costOf(*asked) - held.costBefore;
    m_network.send(router, m_domains[held.domain].host, settle_message{ m_domains[held.domain].pool, held.id, cost });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::onFirstToken(live_request &asked, place_key place) -> void
{
    const auto found = m_held.find(place);
    const auto *running = m_fleet.find(place);
    if (found == m_held.end() || running == nullptr) {
        return;
    }
    auto &held = found->second;
    const auto now = m_fleet.queue().now();
    const auto seconds = toSeconds(now - running->placed);
    held.sampledAt = now;
    held.sampledTokens = 1;
    if (m_fleet.classOf(asked).hedged && !held.hedge) {
        m_routers[asked.router].hedges->observe(seconds);
    }
    const auto sample = pace_sample{ engineId(running->engine), seconds, 0, false };
    m_network.send(asked.router, m_domains[held.domain].host, sample_message{ m_domains[held.domain].pool, sample });
    auto others = std::vector<place_key>();
    const auto [first, last] = m_placesByRequest.equal_range(asked.key);
    for (auto row = first; row != last; ++row) {
        if (row->second != place) {
            others.push_back(row->second);
        }
    }
    held.hedge = false; // The winner accounts for the request.
    for (const auto other : others) {
        m_held.at(other).hedge = true;
        m_fleet.removePlace(other, false);
        drop(other);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::onFinished(live_request &done, place_key) -> void
{
    countUse(done);
    m_counted.erase(done.key);
    m_routers[done.router].costs.observe(accountId(done.account), profileId(done.drawn.kind), done.drawn.hint,
                                         std::max(1.0, m_fleet.costOf(done)));
    auto places = std::vector<place_key>();
    const auto [first, last] = m_placesByRequest.equal_range(done.key);
    for (auto row = first; row != last; ++row) {
        places.push_back(row->second);
    }
    for (const auto place : places) {
        drop(place);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::countUse(live_request &asked) -> void
{
    auto &counted = m_counted[asked.key];
    const auto cost = m_fleet.costOf(asked);
    if (cost > counted) {
        m_routers[asked.router].ledger.count(incarnationOf(asked.router), accountId(asked.account), cost - counted);
        counted = cost;
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::samplePace(place_key place, held_place &held) -> void
{
    const auto *running = m_fleet.find(place);
    const auto now = m_fleet.queue().now();
    const auto tokens = m_fleet.engine(running->engine).generated(place);
    const auto since = toSeconds(now - held.sampledAt);
    const auto grown = tokens - held.sampledTokens;
    if (grown < m_settings.tokensPerSample || since <= 0) {
        return;
    }
    held.sampledTokens = tokens;
    held.sampledAt = now;
    const auto sample = pace_sample{ engineId(running->engine), 0, since / grown, false };
    const auto &domain = m_domains[held.domain];
    m_network.send(routerOf(held.id.router), domain.host, sample_message{ domain.pool, sample });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::reportUse() -> void
{
    for (auto &[place, held] : m_held) {
        auto *asked = m_fleet.request(held.request);
        const auto *running = m_fleet.find(place);
        if (asked == nullptr || running == nullptr || !running->firstToken || held.hedge) {
            continue;
        }
        samplePace(place, held);
        const auto cost = m_fleet.costOf(*asked) - held.costBefore;
        if (cost - held.reportedCost < m_settings.reportedShare * held.charged) {
            continue;
        }
        held.reportedCost = cost;
        countUse(*asked);
        const auto &domain = m_domains[held.domain];
        m_network.send(asked->router, domain.host, progress_message{ domain.pool, held.id, cost });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::sendDigests() -> void
{
    for (auto router = std::uint32_t(0); router < m_routers.size(); ++router) {
        sendTotals(router);
    }
    if constexpr (Layout::EXCHANGES_DIGESTS) {
        for (auto from = std::size_t(0); from < m_domains.size(); ++from) {
            const auto digest = m_dispatchers[from]->makeDigest(m_fleet.queue().now());
            for (const auto &to : m_domains) {
                if (to.service == m_domains[from].service && to.pool != m_domains[from].pool) {
                    m_network.send(m_domains[from].host, to.host, digest_message{ to.pool, digest });
                }
            }
        }
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::sendTotals(std::uint32_t router) -> void
{
    auto hosts = std::set<std::uint32_t>();
    for (const auto &domain : m_domains) {
        hosts.insert(domain.host);
    }
    auto &state = m_routers[router];
    for (const auto &total : state.ledger.totalsSince(state.totalsSent, state.totalsSent)) {
        const auto ofOther = total.router >= incarnationOf(0) && total.router != incarnationOf(router);
        for (const auto host : hosts) {
            if (host != router && !ofOther) {
                m_network.send(router, host, total);
            }
        }
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::sendLoadReports() -> void
{
    for (auto index = std::size_t(0); index < m_domains.size(); ++index) {
        for (const auto &[number, slots] : m_domains[index].slots) {
            const auto report =
                load_report{ engineId(number), m_fleet.engine(number).running(), m_settings.loadReportAge };
            m_fleet.queue().after(m_settings.loadReportAge, [this, index, report] {
                m_dispatchers[index]->placement().observe(report, m_fleet.queue().now());
            });
        }
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::decideHostedBy(std::uint32_t router) -> void
{
    for (auto domain = std::size_t(0); domain < m_domains.size(); ++domain) {
        if (m_domains[domain].host == router) {
            decide(domain);
        }
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::decide(std::size_t domain) -> void
{
    const auto host = m_domains[domain].host;
    auto decisions = m_dispatchers[domain]->decide(m_fleet.queue().now());
    for (const auto &given : decisions.grants) {
        m_network.send(host, routerOf(given.ticket.router), given);
    }
    for (const auto &refused : decisions.refusals) {
        m_network.send(host, routerOf(refused.ticket.router), refused);
    }
    for (const auto &asked : decisions.suspensions) {
        m_network.send(host, routerOf(asked.ticket.router), asked);
    }
    for (const auto &pull : decisions.pulls) {
        m_network.send(host, m_domains[domainOfPool(pull.to)].host, pull);
    }
}

} // namespace marjoramloom::bench
