#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/peer/digest_exchange.h"
#include "marjoramloom/peer/peer_links.h"
#include "marjoramloom/peer/role.h"
#include "marjoramloom/peer/totals_exchange.h"
#include "marjoramloom/peer/wire_codec.h"
#include "marjoramloom/router/held_dispatchers.h"
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

/// Connects this router's ticket queue with the dispatchers of all pools: those it holds the duty for, and those that
/// other routers hold.
///
/// Belongs to the decision strand; not thread safe but for observePace().
class dispatch_service
{
public:
    using strand_type = ticket_queue::strand_type;

    /// Preconditions: \p network, \p tickets and \p counters outlive the service.
    dispatch_service(strand_type strand, std::string dataCentre, dispatcher_settings limits, peer_links &network,
                     ticket_queue &tickets, counter_registry &counters);
    ~dispatch_service();

    /// The ticket queue's way to the dispatchers.
    auto port() -> dispatch_port;

    /// Takes over a new configuration.
    auto setView(std::shared_ptr<const router_view> view) -> void;

    /// Handles what another router sent.
    auto receive(incarnation_id from, const wire::Envelope &message) -> void;

    /// Each handles one message of another router, as readDispatchMessages() hands them over.
    auto take(const running_request &running) -> void;
    auto take(const addressed_ticket &addressed) -> void;
    auto take(const grant &given) -> void;
    auto take(const refusal &refused) -> void;
    auto take(const suspension &asked) -> void;
    auto take(const pull_request &pull) -> void;
    auto take(const pace_sample &sample) -> void;
    auto takeWithdrawal(ticket_id id) -> void;
    auto takeProgress(const request_use &use) -> void;
    auto takeSettlement(const request_use &use) -> void;
    auto reject(const last_reason &why) -> void;

    /// A router joined or is gone: duties may have moved.
    auto onMember(const member_event &event) -> void;

    /// Whether a backend server takes new work, by whatever source knew first.
    auto setServerState(object_id server, server_state state) -> void;

    /// A backend server's own report of its load.
    auto observeLoad(const load_report &report) -> void;

    /// A call's observation of a backend server. Thread safe.
    auto observePace(const pace_sample &sample) -> void;

    /// Deadlines, progress, resubmission and digests. To be called every tickPeriod.
    auto tick(time_point now) -> void;

    /// Period of tick().
    static constexpr auto tickPeriod = std::chrono::milliseconds(50);

    /// Whether this router holds the dispatcher of \p pool.
    [[nodiscard]] auto holds(const pool_id &pool) const -> bool;

    /// Pools whose dispatcher this router holds.
    [[nodiscard]] auto heldPools() const -> std::size_t;

private:
    auto selfIncarnation() const -> incarnation_id;
    auto holderOf(const pool_id &pool) -> incarnation_id;
    auto refreshDuties() -> void;
    auto moveWorkTo(const pool_id &pool, incarnation_id holder) -> void;
    auto tellRunning(const pool_id &pool, incarnation_id holder) -> void;
    auto takeConfirmed(incarnation_id from, const wire::Envelope &message) -> void;

    auto submit(const ticket &waiting, const pool_id &pool) -> void;
    auto withdraw(const pool_id &pool, ticket_id id) -> void;
    auto progress(const grant &granted, double cost, double growth) -> void;
    auto settle(const grant &granted, double cost, double growth) -> void;

    auto envelopeFor(incarnation_id to) -> wire::Envelope &;
    auto envelopeToHolder(const pool_id &pool) -> wire::Envelope *;
    auto schedulePass(const pool_id &pool) -> void;
    auto schedulePass() -> void;
    auto runPass() -> void;
    auto carryOut(dispatch_decisions decisions) -> void;
    auto deliver(const grant &given) -> void;
    auto deliver(const refusal &refused) -> void;
    auto deliver(const suspension &asked) -> void;
    auto ask(const pull_request &pull) -> void;
    auto answerPull(const pull_request &pull) -> void;
    auto flush() -> void;
    auto absorbDigest(const pool_digest &digest) -> void;
    auto publishDigests(time_point now) -> void;

    strand_type m_strand;
    std::string m_dataCentre;
    peer_links &m_network;
    ticket_queue &m_tickets;
    counter &m_grants;
    counter &m_suspensions;
    counter &m_pulls;
    counter &m_dropped; ///< Messages that a link did not take.
    counter &m_rejected; ///< Items of messages that make no sense.
    share_ledger m_ledger;
    held_dispatchers m_held;
    digest_exchange<peer_links> m_digests;
    totals_exchange<peer_links> m_totals;
    std::map<pool_id, incarnation_id> m_holders; ///< As last seen; empty after a change of membership.
    std::map<pool_id, incarnation_id> m_followed; ///< Holder that knows this router's work in the pool.
    std::unordered_map<incarnation_id, std::unique_ptr<wire::Envelope>> m_outbox;
    std::set<pool_id> m_dirty;
    bool m_passScheduled = false;
    std::uint64_t m_ticks = 0;
};

} // namespace marjoramloom
