#include "marjoramloom/router/dispatch_service.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/peer/peer_links.h"
#include "marjoramloom/peer/wire_codec.h"
#include "peer.pb.h"
#include "router/dispatch_messages.h"

#include <boost/asio/post.hpp>
#include <cassert>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Ticks between two reports of the cost of running requests.
constexpr std::uint64_t progressTicks = 4;
/// Ticks between two resubmissions of the waiting tickets.
constexpr std::uint64_t resubmitTicks = 100;
/// Ticks between two transmissions of the complete list of running requests.
constexpr std::uint64_t confirmTicks = 200;
/// Ticks between two digests.
constexpr std::uint64_t digestTicks = 10;

auto now() -> time_point
{
    return system_clock_source().now();
}

} // namespace

dispatch_service::dispatch_service(strand_type strand, std::string dataCentre, dispatcher_settings limits,
                                   peer_links &network, ticket_queue &tickets, counter_registry &counters)
    : m_strand(std::move(strand))
    , m_dataCentre(std::move(dataCentre))
    , m_network(network)
    , m_tickets(tickets)
    , m_grants(counters.at("marjoramloom_grants_total"))
    , m_suspensions(counters.at("marjoramloom_suspensions_total"))
    , m_pulls(counters.at("marjoramloom_pulls_total"))
    , m_droppedMessages(counters.at("marjoramloom_peer_messages_dropped_total"))
    , m_rejectedItems(counters.at("marjoramloom_peer_items_rejected_total"))
    , m_localDispatchers(m_dataCentre, limits, m_ledger)
    , m_digests(network, {}, [this](const pool_digest &digest) { handleDigest(digest); })
    , m_totals(network, m_ledger, {})
{
}

dispatch_service::~dispatch_service() = default;

auto dispatch_service::port() -> dispatch_port
{
    auto port = dispatch_port();
    port.submit = [this](const ticket &waiting) {
        submit(waiting, waiting.origin);
    };
    port.withdraw = [this](const pool_id &pool, ticket_id id) {
        withdraw(pool, id);
    };
    port.progress = [this](const grant &granted, double cost, double costDelta) {
        progress(granted, cost, costDelta);
    };
    port.settle = [this](const grant &granted, double cost, double costDelta) {
        settle(granted, cost, costDelta);
    };
    return port;
}

auto dispatch_service::setView(std::shared_ptr<const router_view> view) -> void
{
    auto weights = std::map<object_id, double>();
    for (const auto &[name, account] : view->config().clientAccounts) {
        weights[account.id] = account.weight;
    }
    m_ledger.setWeights(weights);
    auto services = std::vector<object_id>();
    for (const auto &[name, entry] : view->config().services) {
        services.push_back(entry.id);
    }
    m_totals.setServices(std::move(services));
    m_localDispatchers.setView(std::move(view), now());
    refreshDispatcherRoles();
    for (const auto &[pool, local] : m_localDispatchers.all()) {
        scheduleDispatchPass(pool);
    }
}

auto dispatch_service::onMember(const member_event &event) -> void
{
    m_digests.onMember(event.memberInfo.incarnation);
    if (!event.joined) {
        m_ledger.retire(event.memberInfo.incarnation);
        m_outbox.erase(event.memberInfo.incarnation);
        m_totals.onMemberLost(event.memberInfo.incarnation);
        for (const auto &[pool, local] : m_localDispatchers.all()) {
            local->removeRouter(event.memberInfo.incarnation, now());
            scheduleDispatchPass(pool);
        }
    }
    refreshDispatcherRoles();
    if (!event.joined) {
        // Tickets that a dispatcher on the lost router had pulled wait at no other dispatcher.
        m_tickets.resubmit();
    }
}

auto dispatch_service::selfIncarnation() const -> incarnation_id
{
    return m_network.self().incarnation;
}

auto dispatch_service::dispatchingRouter(const pool_id &pool) -> incarnation_id
{
    const auto cached = m_dispatchingRouters.find(pool);
    if (cached != m_dispatchingRouters.end()) {
        return cached->second;
    }
    const auto router = findRoleHolder(m_network.members(), dispatcherRole(pool));
    m_dispatchingRouters[pool] = router;
    return router;
}

/// Creates and destroys local dispatchers according to the roles of the current members.
auto dispatch_service::refreshDispatcherRoles() -> void
{
    m_dispatchingRouters.clear();
    const auto pools = m_localDispatchers.dataCentrePools();
    auto localPools = std::vector<pool_id>();
    for (const auto &pool : pools) {
        if (dispatchingRouter(pool) == selfIncarnation()) {
            localPools.push_back(pool);
        }
    }
    m_localDispatchers.setPools(localPools, now());
    for (const auto &pool : pools) {
        syncDispatcher(pool, dispatchingRouter(pool));
    }
}

/// Sends this router's running and waiting requests to the dispatcher of \p pool if that is new to this router.
auto dispatch_service::syncDispatcher(const pool_id &pool, incarnation_id router) -> void
{
    auto &synced = m_syncedRouters[pool];
    if (router == 0 || router == synced) {
        return;
    }
    synced = router;
    sendRunningRequests(pool, router);
    m_tickets.resubmit();
}

/// Sends the complete list of this router's running requests of \p pool to its dispatcher, which adopts those that it
/// does not know and removes those that are not listed.
auto dispatch_service::sendRunningRequests(const pool_id &pool, incarnation_id router) -> void
{
    auto *local = m_localDispatchers.find(pool);
    if (!local && (router == 0 || router == selfIncarnation())) {
        return;
    }
    auto ids = std::vector<ticket_id>();
    for (const auto &request : m_tickets.runningRequests()) {
        if (request.granted.pool != pool) {
            continue;
        }
        ids.push_back(request.granted.ticket);
        if (local) {
            local->adopt(request.granted, request.length, now());
        } else {
            const auto running = running_request{ request.granted, request.length, request.cost };
            encode(running, *envelopeFor(router).add_running());
        }
    }
    if (local) {
        local->confirmRunning(selfIncarnation(), ids, now());
    } else {
        encode(pool, *envelopeFor(router).add_confirmed());
    }
}

/// Passes the complete list of the sender's running requests to the local dispatcher of each pool that the message
/// confirms.
auto dispatch_service::handleConfirmedPools(incarnation_id from, const wire::Envelope &message) -> void
{
    auto why = last_reason();
    const auto peer = std::to_string(from);
    for (const auto &item : message.confirmed()) {
        const auto pool = decodePool(item, peer, why);
        auto *local = pool ? m_localDispatchers.find(*pool) : nullptr;
        if (!local) {
            continue;
        }
        auto ids = std::vector<ticket_id>();
        for (const auto &listed : message.running()) {
            if (const auto running = decodeRunning(listed, peer, why)) {
                ids.push_back(running->granted.ticket);
            }
        }
        local->confirmRunning(from, ids, now());
        scheduleDispatchPass(*pool);
    }
}

auto dispatch_service::submit(const ticket &waiting, const pool_id &pool) -> void
{
    if (auto *local = m_localDispatchers.find(pool)) {
        local->submit(waiting, now());
        scheduleDispatchPass(pool);
        return;
    }
    if (auto *message = envelopeToDispatcher(pool)) {
        const auto addressed = addressed_ticket{ waiting, pool };
        encode(addressed, now(), *message->add_tickets());
    }
}

auto dispatch_service::withdraw(const pool_id &pool, ticket_id id) -> void
{
    if (auto *local = m_localDispatchers.find(pool)) {
        local->withdraw(id, now());
        return;
    }
    if (auto *message = envelopeToDispatcher(pool)) {
        encode(id, *message->add_withdrawals());
    }
}

auto dispatch_service::progress(const grant &granted, double cost, double costDelta) -> void
{
    m_ledger.count(selfIncarnation(), granted.account, costDelta);
    if (auto *local = m_localDispatchers.find(granted.pool)) {
        local->progress(granted.ticket, cost, now());
        return;
    }
    if (auto *message = envelopeToDispatcher(granted.pool)) {
        const auto use = request_use{ granted.ticket, granted.pool, cost };
        encode(use, *message->add_progress());
    }
}

auto dispatch_service::settle(const grant &granted, double cost, double costDelta) -> void
{
    m_ledger.count(selfIncarnation(), granted.account, costDelta);
    if (auto *local = m_localDispatchers.find(granted.pool)) {
        local->settle(granted.ticket, cost, now());
        scheduleDispatchPass(granted.pool);
        return;
    }
    if (auto *message = envelopeToDispatcher(granted.pool)) {
        const auto use = request_use{ granted.ticket, granted.pool, cost };
        encode(use, *message->add_settlements());
    }
}

auto dispatch_service::envelopeFor(incarnation_id to) -> wire::Envelope &
{
    assert(to != 0 && to != selfIncarnation());
    auto &slot = m_outbox[to];
    if (!slot) {
        slot = std::make_unique<wire::Envelope>();
    }
    scheduleDispatchPass();
    return *slot;
}

/// Returns the envelope to the router that dispatches \p pool, or null if that is this router or no router.
auto dispatch_service::envelopeToDispatcher(const pool_id &pool) -> wire::Envelope *
{
    const auto router = dispatchingRouter(pool);
    return router == 0 || router == selfIncarnation() ? nullptr : &envelopeFor(router);
}

auto dispatch_service::scheduleDispatchPass(const pool_id &pool) -> void
{
    m_changedPools.insert(pool);
    scheduleDispatchPass();
}

auto dispatch_service::scheduleDispatchPass() -> void
{
    if (m_dispatchPassScheduled) {
        return;
    }
    m_dispatchPassScheduled = true;
    asio::post(m_strand, [this] { runDispatchPass(); });
}

auto dispatch_service::runDispatchPass() -> void
{
    m_dispatchPassScheduled = false;
    const auto changedPools = std::exchange(m_changedPools, {});
    for (const auto &pool : changedPools) {
        if (auto *local = m_localDispatchers.find(pool)) {
            applyDecisions(local->decide(now()));
        }
    }
    flush();
}

auto dispatch_service::flush() -> void
{
    auto outbox = std::exchange(m_outbox, {});
    for (auto &[to, message] : outbox) {
        if (!m_network.send(to, std::move(message))) {
            m_droppedMessages.add();
        }
    }
}

auto dispatch_service::applyDecisions(dispatch_decisions decisions) -> void
{
    for (const auto &issued : decisions.grants) {
        deliver(issued);
    }
    for (const auto &refused : decisions.refusals) {
        deliver(refused);
    }
    for (const auto &requested : decisions.suspensions) {
        deliver(requested);
    }
    for (const auto &pull : decisions.pulls) {
        sendPull(pull);
    }
}

auto dispatch_service::deliver(const grant &issued) -> void
{
    m_grants.add();
    log_line(log_level::info, "grant")
        .with("router", issued.ticket.router)
        .with("ticket", issued.ticket.serial)
        .with("account", issued.account.value)
        .with("backend_server", issued.server.value)
        .with("charged", issued.charged)
        .with("reason", issued.reason);
    if (issued.ticket.router == selfIncarnation()) {
        m_tickets.handleGrant(issued);
        return;
    }
    encode(issued, *envelopeFor(issued.ticket.router).add_grants());
}

auto dispatch_service::deliver(const refusal &refused) -> void
{
    log_line(log_level::info, "refusal")
        .with("router", refused.ticket.router)
        .with("ticket", refused.ticket.serial)
        .with("account", refused.account.value)
        .with("reason", nameOf(refused.reason));
    if (refused.ticket.router == selfIncarnation()) {
        m_tickets.handleRefusal(refused);
        return;
    }
    encode(refused, *envelopeFor(refused.ticket.router).add_refusals());
}

auto dispatch_service::deliver(const suspension &requested) -> void
{
    m_suspensions.add();
    log_line(log_level::info, "suspension")
        .with("router", requested.ticket.router)
        .with("ticket", requested.ticket.serial)
        .with("backend_server", requested.server.value);
    if (requested.ticket.router == selfIncarnation()) {
        m_tickets.handleSuspension(requested);
        return;
    }
    encode(requested, *envelopeFor(requested.ticket.router).add_suspensions());
}

auto dispatch_service::sendPull(const pull_request &pull) -> void
{
    m_pulls.add();
    const auto router = dispatchingRouter(pull.to);
    if (router == selfIncarnation()) {
        answerPull(pull);
    } else if (router != 0) {
        encode(pull, *envelopeFor(router).add_pulls());
    }
}

auto dispatch_service::answerPull(const pull_request &pull) -> void
{
    auto *local = m_localDispatchers.find(pull.to);
    if (!local) {
        return;
    }
    for (const auto &released : local->releaseForPull(pull, now())) {
        submit(released, pull.from);
    }
}

auto dispatch_service::receive(incarnation_id from, const wire::Envelope &message) -> void
{
    m_totals.receive(from, message);
    m_digests.receive(from, message, now());
    readDispatchMessages(message, now(), std::to_string(from), *this);
    handleConfirmedPools(from, message);
}

auto dispatch_service::handle(const running_request &running) -> void
{
    if (auto *local = m_localDispatchers.find(running.granted.pool)) {
        local->adopt(running.granted, running.length, now());
        local->progress(running.granted.ticket, running.cost, now());
    }
}

auto dispatch_service::handle(const addressed_ticket &addressed) -> void
{
    if (auto *local = m_localDispatchers.find(addressed.pool)) {
        local->submit(addressed.waiting, now());
        scheduleDispatchPass(addressed.pool);
    }
}

auto dispatch_service::handleWithdrawal(ticket_id id) -> void
{
    for (const auto &[pool, local] : m_localDispatchers.all()) {
        local->withdraw(id, now());
    }
}

auto dispatch_service::handle(const grant &issued) -> void
{
    m_tickets.handleGrant(issued);
}

auto dispatch_service::handle(const refusal &refused) -> void
{
    m_tickets.handleRefusal(refused);
}

auto dispatch_service::handle(const suspension &requested) -> void
{
    m_tickets.handleSuspension(requested);
}

auto dispatch_service::handleProgress(const request_use &use) -> void
{
    if (auto *local = m_localDispatchers.find(use.pool)) {
        local->progress(use.ticket, use.cost, now());
    }
}

auto dispatch_service::handleSettlement(const request_use &use) -> void
{
    if (auto *local = m_localDispatchers.find(use.pool)) {
        local->settle(use.ticket, use.cost, now());
        scheduleDispatchPass(use.pool);
    }
}

auto dispatch_service::handle(const pull_request &pull) -> void
{
    answerPull(pull);
}

auto dispatch_service::handle(const pace_sample &sample) -> void
{
    const auto pool = m_localDispatchers.poolOf(sample.server);
    if (auto *local = pool ? m_localDispatchers.find(*pool) : nullptr) {
        local->placement().observe(sample, now());
    }
}

auto dispatch_service::reject(const last_reason &why) -> void
{
    m_rejectedItems.add();
    log_line(log_level::warning, "peer_item_rejected").with("reason", why.text());
}

auto dispatch_service::setServerState(object_id server, server_state state) -> void
{
    if (const auto pool = m_localDispatchers.setServerState(server, state, now())) {
        scheduleDispatchPass(*pool);
    }
}

auto dispatch_service::observeLoad(const load_report &report) -> void
{
    const auto pool = m_localDispatchers.poolOf(report.server);
    if (auto *local = pool ? m_localDispatchers.find(*pool) : nullptr) {
        local->placement().observe(report, now());
    }
}

auto dispatch_service::observePace(const pace_sample &sample) -> void
{
    asio::post(m_strand, [this, sample] {
        const auto pool = m_localDispatchers.poolOf(sample.server);
        if (!pool) {
            return;
        }
        if (auto *local = m_localDispatchers.find(*pool)) {
            local->placement().observe(sample, now());
            scheduleDispatchPass(*pool);
            return;
        }
        if (auto *message = envelopeToDispatcher(*pool)) {
            encode(sample, *message->add_samples());
        }
    });
}

auto dispatch_service::handleDigest(const pool_digest &digest) -> void
{
    if (auto *local = m_localDispatchers.find({ m_dataCentre, digest.pool.service })) {
        local->absorbDigest(digest, now());
        scheduleDispatchPass(local->pool());
    }
}

auto dispatch_service::publishDigests(time_point now) -> void
{
    for (const auto &[pool, local] : m_localDispatchers.all()) {
        m_digests.publish(local->makeDigest(now), now);
    }
}

auto dispatch_service::tick(time_point now) -> void
{
    ++m_ticks;
    for (const auto &[pool, local] : m_localDispatchers.all()) {
        m_changedPools.insert(pool);
    }
    if (m_ticks % progressTicks == 0) {
        m_tickets.reportProgress();
    }
    if (m_ticks % confirmTicks == 0) {
        for (const auto &[pool, router] : m_syncedRouters) {
            sendRunningRequests(pool, router);
        }
    }
    if (m_ticks % resubmitTicks == 0) {
        m_tickets.resubmit();
    }
    if (m_ticks % digestTicks == 0) {
        publishDigests(now);
    }
    m_digests.tick(now);
    m_totals.tick(now);
    runDispatchPass();
}

auto dispatch_service::isDispatcherOf(const pool_id &pool) const -> bool
{
    return m_localDispatchers.find(pool) != nullptr;
}

auto dispatch_service::dispatchedPoolCount() const -> std::size_t
{
    return m_localDispatchers.all().size();
}

} // namespace marjoramloom
