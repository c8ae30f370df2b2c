#pragma once

#include "marjoramloom/call/call_control.h"
#include "marjoramloom/router/http_exchange.h"

#include <memory>

namespace marjoramloom {

/// Cancels \p control once the caller closed its connection. Ends only by cancellation, so that a call beside it always
/// ends first. Call on the connection's strand.
auto cancelWhenCallerLeaves(http_exchange &exchange, std::shared_ptr<call_control> control)
    -> boost::asio::awaitable<void>;

} // namespace marjoramloom
