#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/decisions/rotation_policy.h"

#include <cstdint>

namespace marjoramloom {

/// Running totals of a router's process, from which router_use_meter forms rates.
struct process_totals
{
    double cpuSeconds = 0; ///< Processor time used.
    double arrivals = 0; ///< New connections, refused ones included.
    double refusals = 0; ///< Connections and requests refused.
    double tunnels = 0; ///< Connections passed to other routers.
    double requests = 0; ///< Requests read.
};

/// Forms rates from a router's running totals, and the processor time that its arrivals would need.
///
/// The demand includes refused connections and those to be expected after SLOPE_TIME if the arrivals go on growing, so
/// that a router that will be overloaded acts before it is. Not thread safe.
class router_use_meter
{
public:
    /// Shortest time between two measurements.
    static constexpr duration PERIOD = std::chrono::milliseconds(250);
    /// How far ahead arrivals are extrapolated: the balancer needs one to two seconds to follow a router's readiness.
    static constexpr duration SLOPE_TIME = std::chrono::milliseconds(1'000);
    /// Processor time of a request before it was measured, in seconds of a core. A request on a new connection took
    /// 0.14 ms of a full core on a development machine, and about 0.35 ms under a quota of 0.12 of a core.
    static constexpr double INITIAL_COST = 0.35e-3;
    /// Processor time of a tunnel, as a fraction of that of a request.
    static constexpr double TUNNEL_COST = 0.25;

    /// Precondition: \p cores is positive: the CPU cores that the process may use.
    explicit router_use_meter(double cores);

    /// Takes over a change of the cores. Precondition: \p cores is positive.
    auto setCores(double cores) -> void;

    /// Takes \p totals into account. Returns whether a measurement ended with it.
    auto update(const process_totals &totals, time_point now) -> bool;

    /// The newest measurement; `router` and the fields on absence are not set.
    [[nodiscard]] auto use() const -> const router_use &;

    /// Processor time that one new connection and its requests need, in seconds of a core.
    [[nodiscard]] auto connectionCost() const -> double;

    /// Processor time that one request needs, in seconds of a core.
    [[nodiscard]] auto requestCost() const -> double;

private:
    router_use m_use;
    process_totals m_last;
    double m_lastArrivalRate = 0;
    double m_connectionCost = INITIAL_COST;
    double m_requestCost = INITIAL_COST;
    bool m_hasStarted = false;
};

} // namespace marjoramloom
