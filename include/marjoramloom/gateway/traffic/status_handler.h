#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/router/http_exchange.h"

namespace marjoramloom {

/// Serves the health checks of the load balancer (/healthz and /readyz) and the metrics. Thread safe.
class status_handler
{
public:
    /// Precondition: \p ready and \p counters outlive the handler.
    status_handler(const bool &ready, counter_registry &counters);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    const bool &m_ready;
    counter_registry &m_counters;
};

} // namespace marjoramloom
