#pragma once

#include "marjoramloom/router/http_exchange.h"

namespace marjoramloom {

/// An error response that also says that the request was not run. Precondition: that is proved. Thread safe.
auto notRunReply(const last_reason &why) -> http_reply;

} // namespace marjoramloom
