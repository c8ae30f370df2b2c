#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/gateway/decisions/rotation_policy.h"
#include "marjoramloom/gateway/decisions/router_use_meter.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/knowledge/router_uses.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <functional>
#include <vector>

namespace marjoramloom {

/// Measures this router's use, exchanges it with the routers of its data centre, and keeps the decision of
/// rotation_policy on whether this router takes new connections.
///
/// Every router sends what it knows to a few random routers of its data centre in each period, so its traffic does not
/// grow with the fleet. Not thread safe: belongs to the router's only thread.
class rotation
{
public:
    /// Sends reports to the router with the given id.
    using report_sender = std::function<void(std::uint64_t router, const std::vector<router_use> &reports)>;

    /// Routers that get a report in each period. With two every 250 ms, a report reaches 85 routers within about 1 s,
    /// at about 3 KB a second.
    static constexpr std::size_t RECEIVERS = 2;
    /// The balancer asks for readiness once a second and removes a router after two misses.
    static constexpr duration BALANCER_DELAY = std::chrono::milliseconds(2'500);
    /// Demand of an absent router beyond which it closes kept connections after their answers.
    static constexpr double MOVE_DEMAND = 0.7;
    /// A router that has just become available is busy with that; its demand does not count yet.
    static constexpr duration START_TIME = std::chrono::milliseconds(3'000);

    /// Preconditions: \p state outlives this object; \p send may be called in run() only.
    rotation(boost::asio::any_io_executor executor, gateway_state &state, report_sender send);

    /// Counts a new connection. Call for each one, also if it is refused.
    auto noteConnection() -> void;

    /// Counts a connection that is passed to another router.
    auto noteTunnel() -> void;

    /// Records whether this router could serve if it had no load.
    auto setAvailable(bool isAvailable, time_point now) -> void;

    /// What setAvailable() recorded last.
    [[nodiscard]] auto isAvailable() const -> bool;

    /// Takes over what another router reports or relays; what is not about routers of this data centre is ignored.
    auto handleReports(const std::vector<router_use> &reports, time_point now) -> void;

    /// Measures, decides and sends reports, until the executor stops. Without the setting, nothing is decided.
    auto run() -> boost::asio::awaitable<void>;

    /// The newest reports of the other routers of the data centre.
    [[nodiscard]] auto reports(time_point now) -> const std::vector<router_use> &;

    /// Whether new connections should go to other routers.
    [[nodiscard]] auto isAbsent() const -> bool;

private:
    auto update(time_point now) -> void;
    auto decide(time_point now) -> void;
    auto sendReports(time_point now) -> void;
    auto logChange(const rotation_policy::decision &decision, time_point now) const -> void;

    boost::asio::any_io_executor m_executor;
    gateway_state &m_state;
    report_sender m_send;
    router_use_meter m_meter;
    rotation_policy m_policy;
    router_uses m_reports;
    router_use m_own;
    rotation_policy::decision m_decision;
    time_point m_absentSince{};
    bool m_isAvailable = false;
    time_point m_availabilityChange{};
    double m_connections = 0; ///< Arrived so far.
    double m_tunnels = 0; ///< Passed to other routers so far.
    const counter &m_refusedConnections;
    counter &m_absences;
};

} // namespace marjoramloom
