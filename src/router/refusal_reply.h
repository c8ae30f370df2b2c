#pragma once

#include "marjoramloom/router/http_exchange.h"

namespace marjoramloom {

/// Returns an error response with the X-Not-Run header, which tells the caller that no backend server ran the request.
/// Precondition: it is certain that none did. Thread safe.
auto notRunReply(const last_reason &why) -> http_reply;

} // namespace marjoramloom
