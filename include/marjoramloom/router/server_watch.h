#pragma once

#include "marjoramloom/call/stop_calendar.h"
#include "marjoramloom/router/dispatch_service.h"
#include "marjoramloom/router/router_view.h"

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace marjoramloom {

class load_watch;
class peer_links;
class store_client;
class start_gate;
class ticket_queue;

/// Learns which backend servers take no new work, from the platform's instance list, planned stops, the servers' own
/// answers and other routers, and tells the dispatchers and the other routers.
///
/// Belongs to the decision strand; not thread safe but for noteLeaving().
class server_watch
{
public:
    using strand_type = ticket_queue::strand_type;

    /// Precondition: all outlive the watch.
    server_watch(strand_type strand, store_client &platform, dispatch_service &dispatch, ticket_queue &tickets,
                 peer_links &links, start_gate &gate);

    /// Takes over a new configuration with its planned stops.
    auto setView(std::shared_ptr<const router_view> view) -> void;

    /// Reads the instance list again and again.
    auto pollInstances() -> boost::asio::awaitable<void>;

    /// A backend server refused a call because it is leaving. Thread safe.
    auto noteLeaving(object_id server) -> void;

    /// Handles other routers' notices.
    auto receive(const wire::Envelope &message) -> void;

    /// A router joined: it is told what holds now.
    auto onMember(const member_event &event) -> void;

    /// Begins and ends planned stops, and polls the loads of the servers that this router dispatches to. To be called
    /// several times a second.
    auto tick() -> void;

    /// Ends the polls. The watch is not used afterwards.
    auto stop() -> void;

private:
    auto apply() -> void;
    auto applyPhase(object_id server, stop_phase phase) -> void;
    auto absorb(const server_notice &notice, incarnation_id heardFrom) -> void;
    auto tell(incarnation_id peer, const std::vector<server_notice> &notices) -> void;
    auto watchLoads() -> void;

    strand_type m_strand;
    store_client &m_platform;
    dispatch_service &m_dispatch;
    ticket_queue &m_tickets;
    peer_links &m_links;
    start_gate &m_gate;
    std::shared_ptr<const router_view> m_view;
    stop_calendar m_calendar;
    std::map<object_id, stop_phase> m_phases; ///< Of servers that are not open, as told to the dispatchers.
    std::shared_ptr<load_watch> m_loads;
    std::set<object_id> m_watched; ///< Servers whose load is polled.
};

} // namespace marjoramloom
