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

/// Ticks between two reports of running requests' use.
constexpr std::uint64_t progressTicks = 4;
/// Ticks between two rounds in which waiting tickets are sent again.
constexpr std::uint64_t resubmitTicks = 100;
/// Ticks between two lists of all running requests.
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
    , m_dropped(counters.at("marjoramloom_peer_messages_dropped_total"))
    , m_rejected(counters.at("marjoramloom_peer_items_rejected_total"))
    , m_held(m_dataCentre, limits, m_ledger)
    , m_digests(network, {}, [this](const pool_digest &digest) { absorbDigest(digest); })
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
    port.progress = [this](const grant &granted, double cost, double growth) {
        progress(granted, cost, growth);
    };
    port.settle = [this](const grant &granted, double cost, double growth) {
        settle(granted, cost, growth);
    };
    return port;
}

auto dispatch_service::setView(std::shared_ptr<const router_view> view) -> void
{
    auto weights = std::map<object_id, double>();
    for (const auto &[name, account] : view->contracts().clientAccounts) {
        weights[account.id] = account.weight;
    }
    m_ledger.setWeights(weights);
    auto services = std::vector<object_id>();
    for (const auto &[name, entry] : view->contracts().services) {
        services.push_back(entry.id);
    }
    m_totals.setServices(std::move(services));
    m_held.setView(std::move(view), now());
    refreshDuties();
    for (const auto &[pool, held] : m_held.all()) {
        schedulePass(pool);
    }
}

auto dispatch_service::onMember(const member_event &event) -> void
{
    m_digests.onMember(event.memberInfo.incarnation);
    if (!event.joined) {
        m_ledger.retire(event.memberInfo.incarnation);
        m_outbox.erase(event.memberInfo.incarnation);
        m_totals.onMemberLost(event.memberInfo.incarnation);
        for (const auto &[pool, holder] : m_held.all()) {
            holder->removeRouter(event.memberInfo.incarnation, now());
            schedulePass(pool);
        }
    }
    refreshDuties();
    if (!event.joined) {
        // What was pulled by a dispatcher that is gone waits nowhere else.
        m_tickets.resubmit();
    }
}

auto dispatch_service::selfIncarnation() const -> incarnation_id
{
    return m_network.self().incarnation;
}

auto dispatch_service::holderOf(const pool_id &pool) -> incarnation_id
{
    const auto known = m_holders.find(pool);
    if (known != m_holders.end()) {
        return known->second;
    }
    const auto holder = findRoleHolder(m_network.members(), dispatcherRole(pool));
    m_holders[pool] = holder;
    return holder;
}

/// Takes up and gives up dispatchers by the duties of the members that are alive now.
auto dispatch_service::refreshDuties() -> void
{
    m_holders.clear();
    const auto pools = m_held.ownPools();
    auto own = std::vector<pool_id>();
    for (const auto &pool : pools) {
        if (holderOf(pool) == selfIncarnation()) {
            own.push_back(pool);
        }
    }
    m_held.hold(own, now());
    for (const auto &pool : pools) {
        moveWorkTo(pool, holderOf(pool));
    }
}

/// Tells a dispatcher that is new to this router what it runs and what waits.
auto dispatch_service::moveWorkTo(const pool_id &pool, incarnation_id holder) -> void
{
    auto &followed = m_followed[pool];
    if (holder == 0 || holder == followed) {
        return;
    }
    followed = holder;
    tellRunning(pool, holder);
    m_tickets.resubmit();
}

/// Lists everything that this router runs for \p pool, so that its dispatcher neither misses nor keeps a request.
auto dispatch_service::tellRunning(const pool_id &pool, incarnation_id holder) -> void
{
    auto *local = m_held.find(pool);
    if (!local && (holder == 0 || holder == selfIncarnation())) {
        return;
    }
    auto ids = std::vector<ticket_id>();
    for (const auto &request : m_tickets.running()) {
        if (request.granted.pool != pool) {
            continue;
        }
        ids.push_back(request.granted.ticket);
        if (local) {
            local->adopt(request.granted, request.length, now());
        } else {
            const auto running = running_request{ request.granted, request.length, request.cost };
            encode(running, *envelopeFor(holder).add_running());
        }
    }
    if (local) {
        local->confirmRunning(selfIncarnation(), ids, now());
    } else {
        encode(pool, *envelopeFor(holder).add_confirmed());
    }
}

auto dispatch_service::takeConfirmed(incarnation_id from, const wire::Envelope &message) -> void
{
    auto why = last_reason();
    const auto peer = std::to_string(from);
    for (const auto &item : message.confirmed()) {
        const auto pool = decodePool(item, peer, why);
        auto *local = pool ? m_held.find(*pool) : nullptr;
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
        schedulePass(*pool);
    }
}

auto dispatch_service::submit(const ticket &waiting, const pool_id &pool) -> void
{
    if (auto *local = m_held.find(pool)) {
        local->submit(waiting, now());
        schedulePass(pool);
        return;
    }
    if (auto *message = envelopeToHolder(pool)) {
        const auto addressed = addressed_ticket{ waiting, pool };
        encode(addressed, now(), *message->add_tickets());
    }
}

auto dispatch_service::withdraw(const pool_id &pool, ticket_id id) -> void
{
    if (auto *local = m_held.find(pool)) {
        local->withdraw(id, now());
        return;
    }
    if (auto *message = envelopeToHolder(pool)) {
        encode(id, *message->add_withdrawals());
    }
}

auto dispatch_service::progress(const grant &granted, double cost, double growth) -> void
{
    m_ledger.count(selfIncarnation(), granted.account, growth);
    if (auto *local = m_held.find(granted.pool)) {
        local->progress(granted.ticket, cost, now());
        return;
    }
    if (auto *message = envelopeToHolder(granted.pool)) {
        const auto use = request_use{ granted.ticket, granted.pool, cost };
        encode(use, *message->add_progress());
    }
}

auto dispatch_service::settle(const grant &granted, double cost, double growth) -> void
{
    m_ledger.count(selfIncarnation(), granted.account, growth);
    if (auto *local = m_held.find(granted.pool)) {
        local->settle(granted.ticket, cost, now());
        schedulePass(granted.pool);
        return;
    }
    if (auto *message = envelopeToHolder(granted.pool)) {
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
    schedulePass();
    return *slot;
}

/// The envelope to the router that dispatches \p pool, or null where that is this router or nobody.
auto dispatch_service::envelopeToHolder(const pool_id &pool) -> wire::Envelope *
{
    const auto holder = holderOf(pool);
    return holder == 0 || holder == selfIncarnation() ? nullptr : &envelopeFor(holder);
}

auto dispatch_service::schedulePass(const pool_id &pool) -> void
{
    m_dirty.insert(pool);
    schedulePass();
}

auto dispatch_service::schedulePass() -> void
{
    if (m_passScheduled) {
        return;
    }
    m_passScheduled = true;
    asio::post(m_strand, [this] { runPass(); });
}

auto dispatch_service::runPass() -> void
{
    m_passScheduled = false;
    const auto dirty = std::exchange(m_dirty, {});
    for (const auto &pool : dirty) {
        if (auto *local = m_held.find(pool)) {
            carryOut(local->decide(now()));
        }
    }
    flush();
}

auto dispatch_service::flush() -> void
{
    auto outbox = std::exchange(m_outbox, {});
    for (auto &[to, message] : outbox) {
        if (!m_network.send(to, std::move(message))) {
            m_dropped.add();
        }
    }
}

auto dispatch_service::carryOut(dispatch_decisions decisions) -> void
{
    for (const auto &given : decisions.grants) {
        deliver(given);
    }
    for (const auto &refused : decisions.refusals) {
        deliver(refused);
    }
    for (const auto &asked : decisions.suspensions) {
        deliver(asked);
    }
    for (const auto &pull : decisions.pulls) {
        ask(pull);
    }
}

auto dispatch_service::deliver(const grant &given) -> void
{
    m_grants.add();
    log_line(log_level::info, "grant")
        .with("router", given.ticket.router)
        .with("ticket", given.ticket.serial)
        .with("account", given.account.value)
        .with("backend_server", given.server.value)
        .with("charged", given.charged)
        .with("reason", given.reason);
    if (given.ticket.router == selfIncarnation()) {
        m_tickets.handleGrant(given);
        return;
    }
    encode(given, *envelopeFor(given.ticket.router).add_grants());
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

auto dispatch_service::deliver(const suspension &asked) -> void
{
    m_suspensions.add();
    log_line(log_level::info, "suspension")
        .with("router", asked.ticket.router)
        .with("ticket", asked.ticket.serial)
        .with("backend_server", asked.server.value);
    if (asked.ticket.router == selfIncarnation()) {
        m_tickets.handleSuspension(asked);
        return;
    }
    encode(asked, *envelopeFor(asked.ticket.router).add_suspensions());
}

auto dispatch_service::ask(const pull_request &pull) -> void
{
    m_pulls.add();
    const auto holder = holderOf(pull.to);
    if (holder == selfIncarnation()) {
        answerPull(pull);
    } else if (holder != 0) {
        encode(pull, *envelopeFor(holder).add_pulls());
    }
}

auto dispatch_service::answerPull(const pull_request &pull) -> void
{
    auto *local = m_held.find(pull.to);
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
    takeConfirmed(from, message);
}

auto dispatch_service::take(const running_request &running) -> void
{
    if (auto *local = m_held.find(running.granted.pool)) {
        local->adopt(running.granted, running.length, now());
        local->progress(running.granted.ticket, running.cost, now());
    }
}

auto dispatch_service::take(const addressed_ticket &addressed) -> void
{
    if (auto *local = m_held.find(addressed.pool)) {
        local->submit(addressed.waiting, now());
        schedulePass(addressed.pool);
    }
}

auto dispatch_service::takeWithdrawal(ticket_id id) -> void
{
    for (const auto &[pool, local] : m_held.all()) {
        local->withdraw(id, now());
    }
}

auto dispatch_service::take(const grant &given) -> void
{
    m_tickets.handleGrant(given);
}

auto dispatch_service::take(const refusal &refused) -> void
{
    m_tickets.handleRefusal(refused);
}

auto dispatch_service::take(const suspension &asked) -> void
{
    m_tickets.handleSuspension(asked);
}

auto dispatch_service::takeProgress(const request_use &use) -> void
{
    if (auto *local = m_held.find(use.pool)) {
        local->progress(use.ticket, use.cost, now());
    }
}

auto dispatch_service::takeSettlement(const request_use &use) -> void
{
    if (auto *local = m_held.find(use.pool)) {
        local->settle(use.ticket, use.cost, now());
        schedulePass(use.pool);
    }
}

auto dispatch_service::take(const pull_request &pull) -> void
{
    answerPull(pull);
}

auto dispatch_service::take(const pace_sample &sample) -> void
{
    const auto pool = m_held.poolOf(sample.server);
    if (auto *local = pool ? m_held.find(*pool) : nullptr) {
        local->placement().observe(sample, now());
    }
}

auto dispatch_service::reject(const last_reason &why) -> void
{
    m_rejected.add();
    log_line(log_level::warning, "peer_item_rejected").with("reason", why.text());
}

auto dispatch_service::setServerState(object_id server, server_state state) -> void
{
    if (const auto pool = m_held.setServerState(server, state, now())) {
        schedulePass(*pool);
    }
}

auto dispatch_service::observeLoad(const load_report &report) -> void
{
    const auto pool = m_held.poolOf(report.server);
    if (auto *local = pool ? m_held.find(*pool) : nullptr) {
        local->placement().observe(report, now());
    }
}

auto dispatch_service::observePace(const pace_sample &sample) -> void
{
    asio::post(m_strand, [this, sample] {
        const auto pool = m_held.poolOf(sample.server);
        if (!pool) {
            return;
        }
        if (auto *local = m_held.find(*pool)) {
            local->placement().observe(sample, now());
            schedulePass(*pool);
            return;
        }
        if (auto *message = envelopeToHolder(*pool)) {
            encode(sample, *message->add_samples());
        }
    });
}

auto dispatch_service::absorbDigest(const pool_digest &digest) -> void
{
    if (auto *local = m_held.find({ m_dataCentre, digest.pool.service })) {
        local->absorbDigest(digest, now());
        schedulePass(local->pool());
    }
}

auto dispatch_service::publishDigests(time_point now) -> void
{
    for (const auto &[pool, local] : m_held.all()) {
        m_digests.publish(local->makeDigest(now), now);
    }
}

auto dispatch_service::tick(time_point now) -> void
{
    ++m_ticks;
    for (const auto &[pool, local] : m_held.all()) {
        m_dirty.insert(pool);
    }
    if (m_ticks % progressTicks == 0) {
        m_tickets.reportProgress();
    }
    if (m_ticks % confirmTicks == 0) {
        for (const auto &[pool, holder] : m_followed) {
            tellRunning(pool, holder);
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
    runPass();
}

auto dispatch_service::holds(const pool_id &pool) const -> bool
{
    return m_held.find(pool) != nullptr;
}

auto dispatch_service::heldPools() const -> std::size_t
{
    return m_held.all().size();
}

} // namespace marjoramloom
