#pragma once

#include "http_server.h"

#include <functional>

namespace standins {

/// Applies the faults that every stand-in knows before a request is executed. Yields whether the exchange is over.
auto appliesBefore(http_exchange &exchange, standin_context &shared, std::string key) -> boost::asio::awaitable<bool>;

/// Executes a request, and answers it unless the faults lose_answer or land_late apply.
auto executeAndReply(http_exchange &exchange, standin_context &shared, std::string key,
                     std::function<http_reply()> execute) -> nothing_awaitable;

} // namespace standins
