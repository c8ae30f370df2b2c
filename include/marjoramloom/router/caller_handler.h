#pragma once

#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/model_handler.h"
#include "marjoramloom/router/plain_handler.h"
#include "marjoramloom/router/request_context.h"

namespace marjoramloom {

/// Routes each request of the callers' listener to the handler for its path, and answers the load balancer's health
/// checks. Thread safe.
class caller_handler
{
public:
    /// Preconditions: the objects that \p context refers to and \p orders outlive the handler.
    caller_handler(request_context &context, order_handler &orders);

    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

private:
    request_context &m_context;
    model_handler m_modelHandler;
    plain_handler m_plainHandler;
};

/// Returns the reply to `GET /healthz` and `GET /readyz`, and nothing for other targets. Thread safe.
auto healthReply(const http_exchange &exchange, bool ready) -> std::optional<http_reply>;

} // namespace marjoramloom
