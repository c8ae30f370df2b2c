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

/// Tracks which backend servers accept no new requests, and reports changes to the dispatchers and to other routers.
///
/// Sources are the platform's instance list, planned stops in the configuration, the servers' own responses and notices
/// of other routers. Call all functions on the decision strand; only noteLeaving() is thread safe.
class server_watch
{
public:
    using strand_type = ticket_queue::strand_type;

    /// Precondition: all referenced objects outlive the watch.
    server_watch(strand_type strand, store_client &platform, dispatch_service &dispatch, ticket_queue &tickets,
                 peer_links &links, start_gate &gate);

    /// Applies a new configuration and its planned stops.
    auto setView(std::shared_ptr<const router_view> view) -> void;

    /// Reads the platform's instance list periodically. Does not complete.
    auto pollInstances() -> boost::asio::awaitable<void>;

    /// Records that a backend server refused a call because it is leaving. Thread safe.
    auto noteLeaving(object_id server) -> void;

    /// Handles the server notices in a message from another router.
    auto receive(const wire::Envelope &message) -> void;

    /// Sends the current server notices to a router that joined.
    auto onMember(const member_event &event) -> void;

    /// Begins and ends planned stops, and updates the set of servers whose loads are polled. Call several times a
    /// second.
    auto tick() -> void;

    /// Stops polling loads. Do not use the watch afterwards.
    auto stop() -> void;

private:
    auto applyStops() -> void;
    auto applyPhase(object_id server, stop_phase phase) -> void;
    auto handleNotice(const server_notice &notice, incarnation_id sender) -> void;
    auto sendNotices(incarnation_id peer, const std::vector<server_notice> &notices) -> void;
    auto updatePolledServers() -> void;

    strand_type m_strand;
    store_client &m_platform;
    dispatch_service &m_dispatch;
    ticket_queue &m_tickets;
    peer_links &m_links;
    start_gate &m_gate;
    std::shared_ptr<const router_view> m_view;
    stop_calendar m_calendar;
    std::map<object_id, stop_phase> m_phases; ///< Phases last applied, of servers that are not open.
    std::shared_ptr<load_watch> m_loadWatch;
    std::set<object_id> m_polledServers; ///< Servers whose load is polled.
};

} // namespace marjoramloom
