#pragma once

#include "marjoramloom/peer/member.h"
#include "marjoramloom/router/ticket_queue.h"

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

namespace marjoramloom {

class configuration_store;
class dispatch_service;
class peer_links;

/// Reports this router's state and the fleet members that it knows, with their configuration sequences. Thread safe.
class status_report
{
public:
    /// Precondition: all referenced objects outlive the report.
    status_report(ticket_queue::strand_type strand, peer_links &links, configuration_store &store,
                  dispatch_service &dispatch, ticket_queue &tickets);

    /// Returns the report as JSON.
    auto json() -> boost::asio::awaitable<boost::json::object>;

private:
    auto collect() -> boost::asio::awaitable<boost::json::object>;

    ticket_queue::strand_type m_strand;
    peer_links &m_links;
    configuration_store &m_store;
    dispatch_service &m_dispatch;
    ticket_queue &m_tickets;
};

} // namespace marjoramloom
