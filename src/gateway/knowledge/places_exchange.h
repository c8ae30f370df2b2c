#pragma once

#include "load.pb.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include <functional>

namespace marjoramloom {

/// Adds the evacuated data centres to \p datagram and, if it has a report, the servers that stated lately that they are
/// cold. A router whose data centre is cut off from the store thus learns of evacuations from other data centres. Not
/// thread safe: belongs to the router's only thread.
auto writePlaces(const gateway_state &state, time_point now, wire::RouterDatagram &datagram) -> void;

/// Passes the evacuated data centres in \p datagram to \p onEvacuations, if it is not empty, and applies its report's
/// cold servers to \p state. Not thread safe, like writePlaces().
auto applyPlaces(const wire::RouterDatagram &datagram, const std::function<void(evacuation_set)> &onEvacuations,
                 time_point now, gateway_state &state) -> void;

} // namespace marjoramloom
