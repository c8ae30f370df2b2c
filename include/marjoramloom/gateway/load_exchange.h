#pragma once

#include "marjoramloom/gateway/placement_dispatch.h"
#include "marjoramloom/store/store_client.h"

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <string>
#include <vector>

namespace marjoramloom {

namespace wire {
class LoadReport;
class PlacementQuery;
} // namespace wire

/// Tells the other routers this router's load several times a second, and takes over theirs.
///
/// Datagrams, as each report replaces the one before it. Routers find each other by objects that each writes to the
/// platform's store when it starts, and by the reports themselves. Belongs to the router's only thread.
class load_exchange
{
public:
    /// Preconditions: \p client and \p state outlive the exchange; \p instance is this router's unique name.
    load_exchange(boost::asio::any_io_executor executor, store_client &client, gateway_state &state,
                  std::string instance, std::uint64_t incarnation);

    /// Opens the socket at \p address, IP:port, which the others can reach; false where it cannot be had.
    auto listen(const std::string &address, last_reason &why) -> bool;

    /// Writes this router's own object and reads those of the others, until both succeeded.
    auto join() -> boost::asio::awaitable<void>;

    /// Sends reports; ends with its executor.
    auto sendReports() -> boost::asio::awaitable<void>;

    /// Receives reports; ends with its executor.
    auto receiveReports() -> boost::asio::awaitable<void>;

    /// Tells the others that this router stops.
    auto leave() -> void;

    /// Asks and answers for the router's placements. Call before run.
    [[nodiscard]] auto dispatch() -> placement_dispatch &;

private:
    using udp = boost::asio::ip::udp;

    auto announce(last_reason &why) -> boost::asio::awaitable<bool>;
    auto readRouters(last_reason &why) -> boost::asio::awaitable<bool>;
    auto makeReport(bool leaving) -> std::string;
    auto sendToAll(const std::string &datagram) -> void;
    auto sendQuery(std::uint64_t router, std::uint64_t number, const placement_query &query) -> void;
    auto take(std::string_view bytes, const udp::endpoint &from) -> void;
    auto takeReport(std::uint64_t sender, const wire::LoadReport &report) -> void;
    auto takeQuery(std::uint64_t sender, const wire::PlacementQuery &query, const udp::endpoint &from) -> void;

    boost::asio::any_io_executor m_executor;
    store_client &m_client;
    gateway_state &m_state;
    std::string m_instance;
    std::uint64_t m_incarnation;
    std::string m_address;
    udp::socket m_socket;
    std::map<udp::endpoint, time_point> m_peers; ///< Last time that each was heard of.
    std::map<std::uint64_t, udp::endpoint> m_endpoints; ///< Of the incarnations heard of.
    std::uint64_t m_sequence = 0;
    counter &m_unreadable;
    counter &m_received;
    placement_dispatch m_dispatch;
};

} // namespace marjoramloom
