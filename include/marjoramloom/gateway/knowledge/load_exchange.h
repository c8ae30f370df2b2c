#pragma once

#include "marjoramloom/gateway/decisions/rotation_policy.h"
#include "marjoramloom/gateway/knowledge/store_update.h"
#include "marjoramloom/gateway/traffic/placement_dispatch.h"
#include "marjoramloom/gateway/traffic/stream_lookup.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

namespace wire {
class LoadReport;
class PlacementQuery;
class RouterDatagram;
} // namespace wire

/// Exchanges load reports, placement queries and store updates between routers by UDP datagrams.
///
/// In a small fleet every router reports its load to all others several times a second, so each can place prompts from
/// its own load data. In a larger fleet it reports only to the dispatchers of the engines that it uses, which answer
/// with heartbeats, so the traffic of a router does not grow with the fleet. Each report replaces the previous one, so
/// a lost report needs no retransmission. Not thread safe: belongs to the router's only thread.
class load_exchange
{
public:
    /// Handlers of the queries and updates about the store that other routers send.
    struct store_handlers
    {
        std::function<void(std::uint64_t router, const store_query &query)> onQuery;
        std::function<void(const store_update &update)> onUpdate;
        std::function<void(evacuation_set evacuations)> onEvacuations; ///< May be empty.
    };

    /// Precondition: \p state outlives this object.
    load_exchange(boost::asio::any_io_executor executor, gateway_state &state, router_identity self,
                  std::uint64_t incarnation);

    /// Opens the socket at \p address, IP:port, at which the other routers reach this one. Returns false, with the
    /// reason in \p why, on failure.
    auto listen(const std::string &address, last_reason &why) -> bool;

    /// Precondition: receive() was not called yet.
    auto setStoreHandlers(store_handlers handlers) -> void;

    /// Sets the handler of the uses that other routers report or relay. Precondition: receive() was not called yet.
    auto setUseHandler(std::function<void(const std::vector<router_use> &reports)> onUses) -> void;

    /// Sends \p reports to the router with the id \p router.
    auto sendUses(std::uint64_t router, const std::vector<router_use> &reports) -> void;

    /// Adds another router to the roster; if it is new, sends it this router's identity.
    auto addRouter(router_identity identity) -> void;

    /// Sends load reports periodically, until the executor stops.
    auto sendReports() -> boost::asio::awaitable<void>;

    /// Receives datagrams until the executor stops.
    auto receive() -> boost::asio::awaitable<void>;

    /// Informs all other routers that this one stops.
    auto announceStop() -> void;

    auto sendStoreQuery(std::uint64_t router, const store_query &query) -> void;
    auto sendStoreUpdate(std::uint64_t router, const store_update &update) -> void;

    /// Sends and answers placement queries for this router.
    [[nodiscard]] auto dispatch() -> placement_dispatch &;

    /// Asks and answers which software versions began streams.
    [[nodiscard]] auto streams() -> stream_lookup &;

private:
    using udp = boost::asio::ip::udp;

    /// Engines that a report covers: those of the shards, or all engines if no shard is given.
    struct report_scope
    {
        std::vector<std::pair<std::string, engine_shard>> shards; ///< With the names of their services.
        std::optional<std::uint64_t> recipient; ///< Router id of the dispatcher that gets the report; nothing for all.

        [[nodiscard]] auto contains(const listed_server &server) const -> bool;
    };

    auto isFullMesh() const -> bool;
    auto reportToAll(time_point now) -> void;
    auto reportToDispatchers(time_point now) -> void;
    auto probeSilentDispatchers(const std::string &service, const engine_shard &shard, time_point now) -> void;
    auto makeReport(const report_scope &scope) -> wire::RouterDatagram;
    auto sendQuery(std::uint64_t router, std::uint64_t number, const placement_query &query) -> void;
    auto sendRelease(std::uint64_t router, const slot_release &release) -> void;
    auto send(std::uint64_t router, wire::RouterDatagram &datagram) -> void;
    auto handleDatagram(std::string_view bytes) -> void;
    auto handleReport(std::uint64_t router, std::uint64_t incarnation, const wire::LoadReport &report) -> void;
    auto handleQuery(std::uint64_t router, std::uint64_t incarnation, const wire::PlacementQuery &query) -> void;
    auto sendHeartbeat(std::uint64_t router, time_point now) -> void;
    auto broadcast(wire::RouterDatagram &datagram) -> void;
    auto handleBlocks(std::uint64_t router, const wire::RouterDatagram &datagram, time_point now) -> void;
    auto handleStreams(std::uint64_t router, const wire::RouterDatagram &datagram) -> void;
    auto handleUses(const wire::RouterDatagram &datagram, time_point now) -> void;
    auto sendBlocks(std::uint64_t router, time_point now) -> void;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    router_identity m_self;
    std::uint64_t m_incarnation;
    udp::socket m_socket;
    std::unordered_map<std::uint64_t, udp::endpoint> m_endpoints; ///< By router id.
    std::unordered_map<std::uint64_t, time_point> m_lastHeartbeatSent; ///< By id of the router that reports here.
    std::unordered_map<std::uint64_t, time_point> m_lastBlocksSent; ///< By id of the router that differed.
    std::unordered_map<std::uint64_t, time_point> m_lastProbeSent; ///< By id of the silent dispatcher.
    store_handlers m_storeHandlers;
    std::function<void(const std::vector<router_use> &reports)> m_onUses;
    std::uint64_t m_reportSequence = 0;
    counter &m_unreadableDatagrams;
    counter &m_receivedDatagrams;
    counter &m_sentDatagrams;
    placement_dispatch m_dispatch;
    stream_lookup m_streams;
};

} // namespace marjoramloom
