#pragma once

#include "marjoramloom/gateway/placement_dispatch.h"
#include "marjoramloom/gateway/store_news.h"

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

namespace wire {
class LoadReport;
class PlacementQuery;
class RouterDatagram;
} // namespace wire

/// What routers tell and ask each other, by datagrams.
///
/// In a small fleet every router tells all others its load several times a second, so each of them can place prompts by
/// its own view. In a larger one it tells only the dispatchers of the engines concerned, which answer with heartbeats:
/// what a router sends then does not grow with the fleet. Each report replaces the one before it, so a lost one is made
/// up for by the next. Belongs to the router's only thread.
class load_exchange
{
public:
    /// Takes questions and news about the store from another router.
    struct store_listeners
    {
        std::function<void(std::uint64_t router, const store_question &question)> onQuestion;
        std::function<void(const store_news &news)> onNews;
    };

    /// Precondition: \p state outlives the exchange.
    load_exchange(boost::asio::any_io_executor executor, gateway_state &state, router_identity self,
                  std::uint64_t incarnation);

    /// Opens the socket at \p address, IP:port, which the others can reach; false where it cannot be had.
    auto listen(const std::string &address, last_reason &why) -> bool;

    /// Call before receive().
    auto setStoreListeners(store_listeners listening) -> void;

    /// Another router is known to exist: this one makes itself known to it where it is new.
    auto meet(router_identity identity) -> void;

    /// Sends reports; ends with its executor.
    auto sendReports() -> boost::asio::awaitable<void>;

    /// Receives datagrams; ends with its executor.
    auto receive() -> boost::asio::awaitable<void>;

    /// Tells the others that this router stops.
    auto leave() -> void;

    auto sendQuestion(std::uint64_t router, const store_question &question) -> void;
    auto sendNews(std::uint64_t router, const store_news &news) -> void;

    /// Asks and answers for the router's placements. Call before run.
    [[nodiscard]] auto dispatch() -> placement_dispatch &;

private:
    using udp = boost::asio::ip::udp;

    /// Engines that one report is about; all of them where no part is named.
    struct report_scope
    {
        std::vector<engine_part> parts;

        [[nodiscard]] auto holds(const std::string &server) const -> bool;
    };

    auto hasFullView() const -> bool;
    auto reportToAll(time_point now) -> void;
    auto reportToDispatchers(time_point now) -> void;
    auto probeSilentDispatchers(const std::string &service, const engine_part &part, time_point now) -> void;
    auto makeReport(const report_scope &scope) -> wire::RouterDatagram;
    auto sendQuery(std::uint64_t router, std::uint64_t number, const placement_query &query) -> void;
    auto send(std::uint64_t router, wire::RouterDatagram &datagram) -> void;
    auto take(std::string_view bytes) -> void;
    auto takeReport(std::uint64_t router, std::uint64_t incarnation, const wire::LoadReport &report) -> void;
    auto takeQuery(std::uint64_t router, std::uint64_t incarnation, const wire::PlacementQuery &query) -> void;
    auto acknowledge(std::uint64_t router, time_point now) -> void;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    router_identity m_self;
    std::uint64_t m_incarnation;
    udp::socket m_socket;
    std::unordered_map<std::uint64_t, udp::endpoint> m_endpoints; ///< Of the known routers.
    std::unordered_map<std::uint64_t, time_point> m_lastHeartbeat; ///< To routers that report here.
    std::unordered_map<std::uint64_t, time_point> m_lastProbe; ///< Of dispatchers that fell silent.
    store_listeners m_listening;
    std::uint64_t m_sequence = 0;
    counter &m_unreadable;
    counter &m_received;
    counter &m_sent;
    placement_dispatch m_dispatch;
};

} // namespace marjoramloom
