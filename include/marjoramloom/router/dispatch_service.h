#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/peer/digest_exchange.h"
#include "marjoramloom/peer/peer_links.h"
#include "marjoramloom/peer/role.h"
#include "marjoramloom/peer/totals_exchange.h"
#include "marjoramloom/peer/wire_codec.h"
#include "marjoramloom/router/local_dispatchers.h"
#include "marjoramloom/router/router_view.h"
#include "marjoramloom/router/ticket_queue.h"
#include "marjoramloom/share/dispatcher.h"
#include "marjoramloom/share/server_placement.h"
#include "marjoramloom/share/share_ledger.h"

#include <map>
#include <memory>
#include <set>
#include <unordered_map>

namespace marjoramloom::wire {
class Envelope;
}

namespace marjoramloom {

/// Connects this router's ticket queue with the dispatchers of all pools. A dispatcher grants the tickets of one pool
/// and runs on the one router that has the dispatcher role for the pool: this router or another one.
///
/// Call all functions on the decision strand (see ticket_queue::strand_type); only observePace() is thread safe.
class dispatch_service
{
public:
    using strand_type = ticket_queue::strand_type;

    /// Preconditions: \p network, \p tickets and \p counters outlive the service.
    dispatch_service(strand_type strand, std::string dataCentre, dispatcher_settings limits, peer_links &network,
                     ticket_queue &tickets, counter_registry &counters);
    ~dispatch_service();

    /// Returns the callbacks through which the ticket queue reaches the dispatchers.
    auto port() -> dispatch_port;

    /// Applies a new configuration.
    auto setView(std::shared_ptr<const router_view> view) -> void;

    /// Handles a message from another router.
    auto receive(incarnation_id from, const wire::Envelope &message) -> void;

    /// Callbacks of readDispatchMessages(), each for one item of a message from another router.
    auto handle(const running_request &running) -> void;
    auto handle(const addressed_ticket &addressed) -> void;
    auto handle(const grant &issued) -> void;
    auto handle(const refusal &refused) -> void;
    auto handle(const suspension &requested) -> void;
    auto handle(const pull_request &pull) -> void;
    auto handle(const pace_sample &sample) -> void;
    auto handleWithdrawal(ticket_id id) -> void;
    auto handleProgress(const request_use &use) -> void;
    auto handleSettlement(const request_use &use) -> void;
    auto reject(const last_reason &why) -> void;

    /// Handles a router that joined or was lost. Dispatcher roles may move to other routers.
    auto onMember(const member_event &event) -> void;

    /// Sets whether a backend server accepts new requests. The state may come from any source.
    auto setServerState(object_id server, server_state state) -> void;

    /// Passes a backend server's load report to the local dispatcher of its pool.
    auto observeLoad(const load_report &report) -> void;

    /// Passes a call's measurement of a backend server's speed to the dispatcher of its pool. Thread safe.
    auto observePace(const pace_sample &sample) -> void;

    /// Expires tickets, reports progress, resubmits tickets and sends digests. Call every tickPeriod.
    auto tick(time_point now) -> void;

    /// Period of tick().
    static constexpr auto tickPeriod = std::chrono::milliseconds(50);

    /// Whether the dispatcher of \p pool runs on this router.
    [[nodiscard]] auto isDispatcherOf(const pool_id &pool) const -> bool;

    /// Number of pools whose dispatcher runs on this router.
    [[nodiscard]] auto dispatchedPoolCount() const -> std::size_t;

private:
    auto selfIncarnation() const -> incarnation_id;
    auto dispatchingRouter(const pool_id &pool) -> incarnation_id;
    auto refreshDispatcherRoles() -> void;
    auto syncDispatcher(const pool_id &pool, incarnation_id router) -> void;
    auto sendRunningRequests(const pool_id &pool, incarnation_id router) -> void;
    auto handleConfirmedPools(incarnation_id from, const wire::Envelope &message) -> void;

    auto submit(const ticket &waiting, const pool_id &pool) -> void;
    auto withdraw(const pool_id &pool, ticket_id id) -> void;
    auto progress(const grant &granted, double cost, double costDelta) -> void;
    auto settle(const grant &granted, double cost, double costDelta) -> void;

    auto envelopeFor(incarnation_id to) -> wire::Envelope &;
    auto envelopeToDispatcher(const pool_id &pool) -> wire::Envelope *;
    auto scheduleDispatchPass(const pool_id &pool) -> void;
    auto scheduleDispatchPass() -> void;
    auto runDispatchPass() -> void;
    auto applyDecisions(dispatch_decisions decisions) -> void;
    auto deliver(const grant &issued) -> void;
    auto deliver(const refusal &refused) -> void;
    auto deliver(const suspension &requested) -> void;
    auto sendPull(const pull_request &pull) -> void;
    auto answerPull(const pull_request &pull) -> void;
    auto flush() -> void;
    auto handleDigest(const pool_digest &digest) -> void;
    auto publishDigests(time_point now) -> void;

    strand_type m_strand;
    std::string m_dataCentre;
    peer_links &m_network;
    ticket_queue &m_tickets;
    counter &m_grants;
    counter &m_suspensions;
    counter &m_pulls;
    counter &m_droppedMessages; ///< Messages that could not be sent to their router.
    counter &m_rejectedItems; ///< Items of received messages that could not be decoded.
    share_ledger m_ledger;
    local_dispatchers m_localDispatchers;
    digest_exchange<peer_links> m_digests;
    totals_exchange<peer_links> m_totals;
    std::map<pool_id, incarnation_id> m_dispatchingRouters; ///< Cache; cleared when the membership changes.
    /// Router whose dispatcher was last sent this router's running and waiting requests of the pool.
    std::map<pool_id, incarnation_id> m_syncedRouters;
    std::unordered_map<incarnation_id, std::unique_ptr<wire::Envelope>> m_outbox;
    std::set<pool_id> m_changedPools; ///< Pools whose local dispatchers decide in the next pass.
    bool m_dispatchPassScheduled = false;
    std::uint64_t m_ticks = 0;
};

} // namespace marjoramloom
