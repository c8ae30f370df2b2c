#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/router/http_exchange.h"

namespace marjoramloom {

/// Answers the balancer's question whether this router is ready, and serves the counters. Thread safe.
class status_handler
{
public:
    /// Precondition: both outlive the handler.
    status_handler(const bool &ready, counter_registry &counters);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    const bool &m_ready;
    counter_registry &m_counters;
};

} // namespace marjoramloom
