#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/gateway/decisions/connection_pacing.h"

namespace marjoramloom {

/// What a router does with a new connection of a caller.
enum class connection_action {
    serve, ///< This router reads and answers its requests.
    tunnel, ///< Another router of the data centre does; this one copies the bytes.
    refuse, ///< It is closed unread.
};

template<>
struct enum_names<connection_action>
{
    static constexpr std::array table{
        enum_name<connection_action>{ connection_action::serve, "serve" },
        enum_name<connection_action>{ connection_action::tunnel, "tunnel" },
        enum_name<connection_action>{ connection_action::refuse, "refuse" },
    };
};

/// Decides what a router does with each new connection, before anything of it is read.
///
/// The load balancer assigns a caller's connections to one router by a hash, whatever that router's size. An account
/// whose traffic reaches a small router must get what the dispatchers grant it in the whole fleet, not what that router
/// has processor time for. A router serves requests up to its share of processor time and tunnels the connections
/// beyond it to routers with room; copying bytes takes a fraction of the time that serving takes. Only what it can
/// neither serve nor tunnel in time is refused. While the event loop is late, it serves less first, and tunnels less
/// only once it serves next to nothing. Not thread safe.
class connection_admission
{
public:
    /// Fraction of the processor time that requests served here may use while others have room. The rest is for
    /// tunnels, dispatching and the exchange between routers.
    static constexpr double SERVED_FRACTION = 0.4;
    /// Fraction of the processor time that serving and tunnelling may use together. The more connections arrive, the
    /// fewer are served here, so that time is left to tunnel the others.
    static constexpr double TOTAL_FRACTION = 0.6;
    /// Time over which arrivals are counted.
    static constexpr duration ARRIVAL_PERIOD = std::chrono::milliseconds(200);
    /// Fraction of the processor time that tunnels may use however late the event loop is. The limit by its delay
    /// follows work that was accepted long before, so that it would fall far below what the router can do.
    static constexpr double MIN_TUNNEL_FRACTION = 0.5;
    /// Requests that may be served at once: those of this time.
    static constexpr duration BURST_TIME = std::chrono::milliseconds(100);
    /// Time for which requests on open connections may use processor time in advance.
    static constexpr duration MAX_DEBT_TIME = std::chrono::milliseconds(500);
    /// Refusals further apart than this count as separate ones.
    static constexpr duration MAX_REFUSAL_GAP = std::chrono::milliseconds(500);

    /// Sets the processor time that this router may use, in cores, and that one request takes, in seconds of a core.
    /// Precondition: both are positive.
    auto setCapacity(double cores, double requestSeconds) -> void;

    /// Call whenever the event loop's timer fires, with its delay.
    auto onTimer(duration delay, time_point now) -> void;

    /// Decides about the next new connection. Call once for each. \p mayServe tells whether requests would be answered
    /// here, \p mayTunnel whether another router has room.
    [[nodiscard]] auto decide(bool mayServe, bool mayTunnel, time_point now) -> connection_action;

    /// Counts a request after the first one on a connection that is served here.
    auto noteFurtherRequest(time_point now) -> void;

    /// Whether requests on open connections use more than the served fraction, so that their callers should open new
    /// connections.
    [[nodiscard]] auto isOverServed(time_point now) -> bool;

    /// How long connections have been refused without a longer interruption; 0 if they are not.
    [[nodiscard]] auto refusingFor(time_point now) const -> duration;

    /// Connections a second that are served; infinite without a limit by the event loop's delay.
    [[nodiscard]] auto servedLimit() const -> double;

    /// Connections a second that are tunnelled; infinite without a limit.
    [[nodiscard]] auto tunnelLimit() const -> double;

private:
    auto refill(time_point now) -> void;
    auto countArrivals(time_point now) -> void;
    auto noteRefusal(time_point now) -> void;

    connection_pacing m_served;
    connection_pacing m_tunnelled;
    double m_cores = 0;
    double m_requestSeconds = 0; ///< Of a core.
    double m_ratePerSecond = 0; ///< Requests a second that are served.
    double m_arrivals = 0; ///< Connections in this period.
    double m_arrivalsPerSecond = 0;
    time_point m_periodStart{};
    double m_budget = 0; ///< Requests that may be served at once; negative if served in advance.
    time_point m_lastRefill{};
    time_point m_refusingSince{};
    time_point m_lastRefusal{};
};

} // namespace marjoramloom
