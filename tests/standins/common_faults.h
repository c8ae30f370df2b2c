#pragma once

#include "http_server.h"

#include <functional>

namespace standins {

/// Applies the faults that all stand-ins have in common, before a request is executed. \p key is compared with the
/// faults' `match`. Returns true if the exchange has ended and the request must not be executed.
auto applyRequestFaults(http_exchange &exchange, standin_context &shared, std::string key)
    -> boost::asio::awaitable<bool>;

/// Executes a request and sends the reply. With the fault lose_answer, the request is executed but gets no reply; with
/// land_late, it is executed after a delay and gets no reply.
auto executeAndReply(http_exchange &exchange, standin_context &shared, std::string key,
                     std::function<http_reply()> execute) -> void_awaitable;

} // namespace standins
