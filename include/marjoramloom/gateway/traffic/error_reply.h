#pragma once

#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/traffic/routed_request.h"
#include "marjoramloom/router/http_exchange.h"

#include <string_view>

namespace marjoramloom {

/// A reply that the router itself generates: \p status with \p reason as text, and with a Retry-After header if the
/// status means that the request was not executed (429, 503): a short time beyond \p unservableFor.
auto makeErrorReply(gateway_state &state, const routed_request &request, unsigned status, std::string_view reason,
                    duration unservableFor = duration::zero()) -> http_reply;

/// \p reply as the bytes of an HTTP/1.1 response with the reason phrase \p phrase, after which the connection closes.
/// The answer to a HEAD request, \p ofHead, has no body. Thread safe.
auto formatReply(const http_reply &reply, std::string_view phrase, bool ofHead) -> std::string;

} // namespace marjoramloom
