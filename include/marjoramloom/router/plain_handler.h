#pragma once

#include "marjoramloom/call/plain_call.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/request_context.h"

#include <memory>
#include <optional>
#include <string_view>

namespace marjoramloom {

class call_control;
class order_handler;
struct admitted_request;

/// Serves `/services/<service>/<path>`: calls to plain services. Thread safe.
class plain_handler
{
public:
    /// Preconditions: what \p context refers to and \p orders outlive the handler.
    plain_handler(request_context &context, order_handler &orders);

    /// Precondition: the exchange's target starts with servicesPrefix.
    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

    static constexpr std::string_view servicesPrefix = "/services/";

private:
    auto carryOut(http_exchange &exchange, const admitted_request &admitted, plain_request request)
        -> boost::asio::awaitable<void>;

    request_context &m_context;
    order_handler &m_orders;
};

/// The work of one plain call of \p admitted. Thread safe.
auto plainWork(const admitted_request &admitted, plain_request request) -> plain_work;

/// The reply for a plain call that ended with \p result. Thread safe.
auto plainReply(const plain_result &result, const std::string &requestId) -> http_reply;

} // namespace marjoramloom
