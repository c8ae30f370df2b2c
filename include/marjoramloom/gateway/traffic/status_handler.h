#pragma once

#include "marjoramloom/core/counters.h"
#include "marjoramloom/gateway/traffic/request_explainer.h"
#include "marjoramloom/router/http_exchange.h"

#include <functional>
#include <string>

namespace marjoramloom {

/// Serves the health checks of the load balancer (/healthz and /readyz), the metrics, the state of data centres and
/// engines as JSON (/status/places), and operators' questions about a request (POST /v1/explain, with the operators'
/// key). Not thread safe: runs on the router's only thread.
class status_handler
{
public:
    using text_source = std::function<std::string()>;

    /// Preconditions: \p ready, \p counters and \p explainer outlive the handler; \p keyHash is the SHA-256 of the
    /// operators' key, in hexadecimal; \p places returns the JSON text of /status/places.
    status_handler(const bool &ready, counter_registry &counters, text_source places, request_explainer &explainer,
                   std::string keyHash);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    auto explain(http_exchange &exchange) -> boost::asio::awaitable<http_reply>;

    const bool &m_ready;
    counter_registry &m_counters;
    text_source m_places;
    request_explainer &m_explainer;
    std::string m_keyHash;
};

} // namespace marjoramloom
