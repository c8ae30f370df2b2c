#include "marjoramloom/share/server_placement.h"

namespace marjoramloom::bench {

template<dispatch_layout Layout>
dispatched_policy<Layout>::dispatched_policy(fleet &simulatedFleet)
    : m_fleet(simulatedFleet)
    , m_network(simulatedFleet, [this](auto to, auto, const auto &messages) { receive(to, messages); })
    , m_routers(simulatedFleet.routerCount())
    , m_domains(Layout::domains(simulatedFleet))
{
    auto weights = std::map<object_id, double>();
    for (auto account = std::size_t(0); account < simulatedFleet.deployment().accounts.size(); ++account) {
        weights[accountId(account)] = simulatedFleet.deployment().accounts[account].weight;
    }
    for (auto &router : m_routers) {
        router.ledger.setWeights(weights);
        router.hedges = std::make_unique<hedge_policy>(m_settings.hedgeBudget);
    }
    for (auto index = std::size_t(0); index < m_domains.size(); ++index) {
        createDispatcher(index);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::createDispatcher(std::size_t index) -> void
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
    m_refusalListener = std::move(listener);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::schedulePeriodically(duration period, std::function<void()> action) -> void
{
    m_fleet.queue().after(period, [this, period, action] {
        action();
        schedulePeriodically(period, action);
    });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::start() -> void
{
    schedulePeriodically(m_settings.reportPeriod, [this] { reportUsage(); });
    schedulePeriodically(m_settings.digestPeriod, [this] { sendDigests(); });
    schedulePeriodically(m_settings.decisionPeriod, [this] {
        for (auto domain = std::size_t(0); domain < m_domains.size(); ++domain) {
            decide(domain);
        }
    });
    if constexpr (Layout::EXCHANGES_DIGESTS) {
        // Load reports count the requests of all routers. Where a router owns only some slots of an engine, they would
        // not tell how many of these are busy.
        schedulePeriodically(m_settings.digestPeriod, [this] { sendLoadReports(); });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::estimateRemainingCost(const live_request &request) -> double
{
    const auto &costs = m_routers[request.router].costs;
    const auto expectedTotal =
        costs.expected(accountId(request.account), profileId(request.drawn.classIndex), request.drawn.outputHint);
    return std::max(1.0, expectedTotal - m_fleet.costOf(request));
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::submit(live_request &request) -> void
{
    if (m_fleet.classOf(request).hedged) {
        m_routers[request.router].hedges->onCall();
    }
    submitTicket(request, false, {});
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::submitTicket(live_request &request, bool isHedge, std::vector<object_id> excluded)
    -> void
{
    const auto &requestClass = m_fleet.classOf(request);
    const auto domain = Layout::domainOf(m_fleet, request.router, requestClass.target);
    auto submitted = ticket();
    submitted.id = { incarnationOf(request.router), ++m_routers[request.router].lastTicketSerial };
    submitted.origin = m_domains[domain].pool;
    submitted.account = accountId(request.account);
    submitted.profile = profileId(request.drawn.classIndex);
    submitted.length = requestClass.length;
    submitted.expectedCost = estimateRemainingCost(request);
    submitted.prefixHash = request.drawn.prefixHash;
    submitted.submitted = m_fleet.queue().now();
    submitted.deadline =
        submitted.submitted + (isHedge ? m_settings.hedgeWait : fromSeconds(requestClass.maxWaitSeconds));
    submitted.suspensions = request.suspensions;
    submitted.suspendable = requestClass.suspendable && request.suspensions < requestClass.maxSuspensions;
    submitted.excluded = std::move(excluded);
    m_waitingTickets[submitted.id] = { request.key, domain, isHedge };
    m_network.send(request.router, m_domains[domain].host, submit_message{ submitted.origin, submitted });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::receive(std::uint32_t to, const std::vector<control_message> &messages) -> void
{
    for (const auto &message : messages) {
        std::visit([this, to](const auto &typed) { handle(to, typed); }, message);
    }
    decideHostedDomains(to);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const submit_message &message) -> void
{
    m_dispatchers[domainOfPool(message.pool)]->submit(message.submittedTicket, m_fleet.queue().now());
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
    m_dispatchers[domainOfPool(message.receiver)]->absorbDigest(message.digest, m_fleet.queue().now());
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
    const auto requestingHost = m_domains[domainOfPool(message.from)].host;
    for (const auto &released : m_dispatchers[domainOfPool(message.to)]->releaseForPull(message, now)) {
        m_network.send(at, requestingHost, submit_message{ message.from, released });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t at, const grant &message) -> void
{
    const auto domain = domainOfPool(message.pool);
    const auto node = m_waitingTickets.extract(message.ticket);
    auto *request = node.empty() ? nullptr : m_fleet.request(node.mapped().request);
    const auto isStillNeeded =
        request != nullptr && (!node.mapped().isHedge || m_attemptsByRequest.contains(request->key));
    if (!isStillNeeded) {
        m_network.send(at, m_domains[domain].host, settle_message{ message.pool, message.ticket, 0 });
        return;
    }
    const auto attemptKey = m_fleet.startAttempt(*request, engineNumberOf(message.server));
    auto &attempt = m_grantedAttempts[attemptKey];
    attempt.id = message.ticket;
    attempt.domain = domain;
    attempt.request = request->key;
    attempt.isHedge = node.mapped().isHedge;
    attempt.costBefore = m_fleet.costOf(*request);
    attempt.chargedCost = message.charged;
    m_attemptByTicket[message.ticket] = attemptKey;
    m_attemptsByRequest.emplace(request->key, attemptKey);
    auto &results = m_fleet.results();
    ++results.grants;
    results.remoteGrants += message.pool != m_domains[node.mapped().domain].pool ? 1 : 0;
    results.hedges += attempt.isHedge ? 1 : 0;
    if (!attempt.isHedge && m_fleet.classOf(*request).hedged && !request->isPromptCharged) {
        armHedge(request->key, attemptKey);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::armHedge(request_key requestKey, attempt_key attemptKey) -> void
{
    const auto delay = m_routers[m_fleet.request(requestKey)->router].hedges->delay();
    if (!delay) {
        return;
    }
    m_fleet.queue().after(*delay, [this, requestKey, attemptKey] {
        auto *request = m_fleet.request(requestKey);
        const auto *firstAttempt = m_fleet.findAttempt(attemptKey);
        if (request == nullptr || firstAttempt == nullptr || firstAttempt->hasFirstToken
            || !m_routers[request->router].hedges->take()) {
            return;
        }
        submitTicket(*request, true, { engineId(firstAttempt->engine) });
    });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const refusal &message) -> void
{
    const auto node = m_waitingTickets.extract(message.ticket);
    auto *request = node.empty() ? nullptr : m_fleet.request(node.mapped().request);
    if (request == nullptr) {
        return;
    }
    if (node.mapped().isHedge) {
        m_routers[request->router].hedges->giveBack();
        return;
    }
    m_countedCost.erase(request->key);
    m_refusalListener(*request);
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::handle(std::uint32_t, const suspension &message) -> void
{
    const auto found = m_attemptByTicket.find(message.ticket);
    if (found == m_attemptByTicket.end()) {
        return;
    }
    const auto attemptKey = found->second;
    const auto &attempt = m_grantedAttempts.at(attemptKey);
    const auto *engineAttempt = m_fleet.findAttempt(attemptKey);
    const auto router = m_fleet.request(attempt.request)->router;
    if (engineAttempt != nullptr) {
        const auto delay =
            m_fleet.latency(m_fleet.dataCentreOfRouter(router), m_fleet.dataCentreOfEngine(engineAttempt->engine));
        m_fleet.queue().after(delay, [this, attemptKey] { suspendAttempt(attemptKey); });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::suspendAttempt(attempt_key attemptKey) -> void
{
    const auto *engineAttempt = m_fleet.findAttempt(attemptKey);
    if (engineAttempt == nullptr || !m_grantedAttempts.contains(attemptKey)) {
        return;
    }
    const auto engine = engineAttempt->engine;
    auto &request = *m_fleet.request(engineAttempt->request);
    ++m_fleet.results().suspensions;
    m_fleet.cancelAttempt(attemptKey, true);
    ++request.suspensions;
    const auto delay = m_fleet.latency(m_fleet.dataCentreOfEngine(engine), m_fleet.dataCentreOfRouter(request.router));
    m_fleet.queue().after(delay, [this, attemptKey, requestKey = request.key] {
        auto *request = m_fleet.request(requestKey);
        if (request == nullptr) {
            return;
        }
        countServiceUsed(*request);
        settleAttempt(attemptKey);
        submitTicket(*request, false, {});
    });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::settleAttempt(attempt_key attemptKey) -> void
{
    const auto node = m_grantedAttempts.extract(attemptKey);
    if (node.empty()) {
        return;
    }
    const auto &attempt = node.mapped();
    m_attemptByTicket.erase(attempt.id);
    const auto [first, last] = m_attemptsByRequest.equal_range(attempt.request);
    const auto found =
        std::find_if(first, last, [attemptKey](const auto &entry) { return entry.second == attemptKey; });
    m_attemptsByRequest.erase(found);
    const auto router = routerOf(attempt.id.router);
    const auto *request = m_fleet.request(attempt.request);
    const auto cost = attempt.isHedge || request == nullptr ? 0 : m_fleet.costOf(*request) - attempt.costBefore;
    m_network.send(router, m_domains[attempt.domain].host,
                   settle_message{ m_domains[attempt.domain].pool, attempt.id, cost });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::onFirstToken(live_request &request, attempt_key attemptKey) -> void
{
    const auto found = m_grantedAttempts.find(attemptKey);
    const auto *engineAttempt = m_fleet.findAttempt(attemptKey);
    if (found == m_grantedAttempts.end() || engineAttempt == nullptr) {
        return;
    }
    auto &attempt = found->second;
    const auto now = m_fleet.queue().now();
    const auto seconds = toSeconds(now - engineAttempt->sentAt);
    attempt.sampledAt = now;
    attempt.sampledTokens = 1;
    if (m_fleet.classOf(request).hedged && !attempt.isHedge) {
        m_routers[request.router].hedges->observe(seconds);
    }
    const auto sample = pace_sample{ engineId(engineAttempt->engine), seconds, 0, false };
    m_network.send(request.router, m_domains[attempt.domain].host,
                   sample_message{ m_domains[attempt.domain].pool, sample });
    auto otherKeys = std::vector<attempt_key>();
    const auto [first, last] = m_attemptsByRequest.equal_range(request.key);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second != attemptKey) {
            otherKeys.push_back(entry->second);
        }
    }
    attempt.isHedge = false; // The first attempt to return a token carries the cost of the request.
    for (const auto otherKey : otherKeys) {
        m_grantedAttempts.at(otherKey).isHedge = true;
        m_fleet.cancelAttempt(otherKey, false);
        settleAttempt(otherKey);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::onFinished(live_request &request, attempt_key) -> void
{
    countServiceUsed(request);
    m_countedCost.erase(request.key);
    m_routers[request.router].costs.observe(accountId(request.account), profileId(request.drawn.classIndex),
                                            request.drawn.outputHint, std::max(1.0, m_fleet.costOf(request)));
    auto attemptKeys = std::vector<attempt_key>();
    const auto [first, last] = m_attemptsByRequest.equal_range(request.key);
    for (auto entry = first; entry != last; ++entry) {
        attemptKeys.push_back(entry->second);
    }
    for (const auto attemptKey : attemptKeys) {
        settleAttempt(attemptKey);
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::countServiceUsed(live_request &request) -> void
{
    auto &counted = m_countedCost[request.key];
    const auto cost = m_fleet.costOf(request);
    if (cost > counted) {
        m_routers[request.router].ledger.count(incarnationOf(request.router), accountId(request.account),
                                               cost - counted);
        counted = cost;
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::samplePace(attempt_key attemptKey, granted_attempt &attempt) -> void
{
    const auto *engineAttempt = m_fleet.findAttempt(attemptKey);
    const auto now = m_fleet.queue().now();
    const auto tokens = m_fleet.engine(engineAttempt->engine).generatedTokens(attemptKey);
    const auto seconds = toSeconds(now - attempt.sampledAt);
    const auto newTokens = tokens - attempt.sampledTokens;
    if (newTokens < m_settings.tokensPerSample || seconds <= 0) {
        return;
    }
    attempt.sampledTokens = tokens;
    attempt.sampledAt = now;
    const auto sample = pace_sample{ engineId(engineAttempt->engine), 0, seconds / newTokens, false };
    const auto &domain = m_domains[attempt.domain];
    m_network.send(routerOf(attempt.id.router), domain.host, sample_message{ domain.pool, sample });
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::reportUsage() -> void
{
    for (auto &[attemptKey, attempt] : m_grantedAttempts) {
        auto *request = m_fleet.request(attempt.request);
        const auto *engineAttempt = m_fleet.findAttempt(attemptKey);
        if (request == nullptr || engineAttempt == nullptr || !engineAttempt->hasFirstToken || attempt.isHedge) {
            continue;
        }
        samplePace(attemptKey, attempt);
        const auto cost = m_fleet.costOf(*request) - attempt.costBefore;
        if (cost - attempt.reportedCost < m_settings.minReportedGrowth * attempt.chargedCost) {
            continue;
        }
        attempt.reportedCost = cost;
        countServiceUsed(*request);
        const auto &domain = m_domains[attempt.domain];
        m_network.send(request->router, domain.host, progress_message{ domain.pool, attempt.id, cost });
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::sendDigests() -> void
{
    for (auto router = std::uint32_t(0); router < m_routers.size(); ++router) {
        sendServiceTotals(router);
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
auto dispatched_policy<Layout>::sendServiceTotals(std::uint32_t router) -> void
{
    auto hosts = std::set<std::uint32_t>();
    for (const auto &domain : m_domains) {
        hosts.insert(domain.host);
    }
    auto &state = m_routers[router];
    for (const auto &total : state.ledger.totalsSince(state.lastSentTotalsSerial, state.lastSentTotalsSerial)) {
        const auto isOtherRouterTotal = total.router >= incarnationOf(0) && total.router != incarnationOf(router);
        for (const auto host : hosts) {
            if (host != router && !isOtherRouterTotal) {
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
                load_report{ engineId(number), m_fleet.engine(number).runningCount(), m_settings.loadReportAge };
            m_fleet.queue().after(m_settings.loadReportAge, [this, index, report] {
                m_dispatchers[index]->placement().observe(report, m_fleet.queue().now());
            });
        }
    }
}

template<dispatch_layout Layout>
auto dispatched_policy<Layout>::decideHostedDomains(std::uint32_t router) -> void
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
    for (const auto &granted : decisions.grants) {
        m_network.send(host, routerOf(granted.ticket.router), granted);
    }
    for (const auto &refused : decisions.refusals) {
        m_network.send(host, routerOf(refused.ticket.router), refused);
    }
    for (const auto &suspended : decisions.suspensions) {
        m_network.send(host, routerOf(suspended.ticket.router), suspended);
    }
    for (const auto &pull : decisions.pulls) {
        m_network.send(host, m_domains[domainOfPool(pull.to)].host, pull);
    }
}

} // namespace marjoramloom::bench
