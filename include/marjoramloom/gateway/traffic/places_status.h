#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include <string>

namespace marjoramloom {

/// JSON text with the evacuated data centres and the cold servers, as this router knows them, and how much of its share
/// of each cold server it has used. Not thread safe: belongs to the router's only thread.
auto placesStatus(gateway_state &state) -> std::string;

} // namespace marjoramloom
