#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/router/http_exchange.h"

#include <functional>
#include <string>

namespace marjoramloom {

/// Serves the health checks of the load balancer (/healthz and /readyz), the metrics, and the state of data centres and
/// engines as JSON (/status/places). Thread safe if the source of that state is.
class status_handler
{
public:
    /// Precondition: \p ready and \p counters outlive the handler.
    /// \p places returns the JSON text of /status/places.
    status_handler(const bool &ready, counter_registry &counters, std::function<std::string()> places);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    const bool &m_ready;
    counter_registry &m_counters;
    std::function<std::string()> m_places;
};

} // namespace marjoramloom
