#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/gateway/decisions/tunnel_choice.h"
#include "marjoramloom/gateway/decisions/tunnel_time_limit.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/traffic/connection_tunnel.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <list>
#include <memory>
#include <optional>
#include <unordered_map>

namespace marjoramloom {

/// The tunnels of this router: chooses the router that serves a connection, tries another one if it cannot be reached,
/// answers requests that the other router does not answer in time, and closes tunnels that no longer serve anybody.
///
/// With few tunnels, bytes are copied as they arrive; with many, in periods of BATCH_PERIOD, so that the cost of a
/// tunnel does not grow with the number of its events. Not thread safe: belongs to the router's only thread.
class connection_tunnels
{
public:
    /// Fraction of the file descriptors for connections of callers and tunnels, of which each needs two.
    static constexpr double MAX_DESCRIPTORS = 0.8;
    /// Routers that are tried for one connection.
    static constexpr int MAX_ATTEMPTS = 2;
    /// A router of the same data centre takes a tunnel within a fraction of this, unless it stands still.
    static constexpr duration OPENING_TIMEOUT = std::chrono::milliseconds(300);
    /// Time for the rest of a connection of which one side has ended.
    static constexpr duration LINGER_TIME = std::chrono::milliseconds(1'000);
    /// While this router stops, a connection without a request stays open for this time.
    static constexpr duration IDLE_TIME_IF_STOPPING = std::chrono::milliseconds(2'000);
    /// From this number of tunnels on, bytes are copied in periods.
    static constexpr std::size_t BATCH_TUNNELS = 16;
    static constexpr duration BATCH_PERIOD = std::chrono::milliseconds(25);

    /// Preconditions: \p state and \p budget outlive this object.
    connection_tunnels(boost::asio::any_io_executor executor, gateway_state &state, memory_budget &budget);

    /// Takes over the newest reports of other routers of the data centre.
    auto setReports(const std::vector<router_use> &reports, time_point now) -> void;

    /// Whether another router has room, while callers hold \p connections here.
    [[nodiscard]] auto mayOpen(std::size_t connections, time_point now) const -> bool;

    /// Tunnels the connection with the descriptor \p caller and takes it over. The connection is closed unread if no
    /// router can be reached. Returns false, and leaves the descriptor alone, if no router has room.
    [[nodiscard]] auto open(int caller) -> bool;

    /// Copies bytes, until the executor stops.
    auto run() -> boost::asio::awaitable<void>;

    /// Ends what takes too long. Call every few hundred milliseconds.
    auto tick(time_point now) -> void;

    /// Number of connections that are tunnelled.
    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct entry
    {
        entry(int caller, memory_budget *budget)
            : tunnel(caller, budget)
        {
        }

        connection_tunnel tunnel;
        tunnel_time_limit timeLimit;
        time_point lastProgress{};
        int attempts = 0;
    };

    auto choose(time_point now) -> std::optional<std::uint64_t>;
    auto connect(entry &opened, std::optional<std::uint64_t> router, time_point now) -> void;
    auto giveUp(entry &opened, std::string_view reason) -> void;
    auto handleEvents(time_point now) -> std::size_t;
    auto removeClosed() -> void;
    auto endpointOf(std::uint64_t router) -> const boost::asio::ip::tcp::endpoint *;
    [[nodiscard]] auto hasTimedOut(entry &one, time_point now, boot_time bootNow) const -> bool;
    auto endTimedOut(entry &one, time_point now, boot_time bootNow) -> void;
    [[nodiscard]] auto isOverdue(const entry &one, time_point now) const -> bool;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    memory_budget &m_budget;
    tunnel_choice m_choice;
    boost::asio::posix::stream_descriptor m_events; ///< The epoll set of all tunnels.
    std::list<entry> m_tunnels;
    std::unordered_map<const connection_tunnel *, std::list<entry>::iterator> m_places;
    std::vector<const connection_tunnel *> m_closing; ///< Closed, but not yet forgotten.
    std::unordered_map<std::uint64_t, boost::asio::ip::tcp::endpoint> m_endpoints;
    counter &m_opened;
    counter &m_failed;
    counter &m_notTaken;
    counter &m_closed;
    counter &m_timedOut;
};

} // namespace marjoramloom
