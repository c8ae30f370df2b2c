#pragma once

#include "marjoramloom/gateway/gateway_state.h"
#include "marjoramloom/gateway/routed_request.h"
#include "marjoramloom/router/http_exchange.h"

#include <string_view>

namespace marjoramloom {

/// An answer of the router's own: \p status, the reason as text, and for requests that were not run a time to come
/// back.
auto ownAnswer(gateway_state &state, const routed_request &request, unsigned status, std::string_view reason)
    -> http_reply;

} // namespace marjoramloom
