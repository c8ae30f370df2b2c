#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/router/http_exchange.h"

#include <memory>

namespace marjoramloom {

/// Cancels \p control when the caller closes its connection. Completes only by cancellation, so that the call that is
/// awaited together with it always completes first. Call on the connection's strand.
auto cancelOnCallerDisconnect(http_exchange &exchange, std::shared_ptr<call_control> control)
    -> boost::asio::awaitable<void>;

} // namespace marjoramloom
