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

/// Serves `/services/<service>/<path>`: calls to plain services, which are all services other than models. Thread safe.
class plain_handler
{
public:
    /// Preconditions: the objects that \p context refers to and \p orders outlive the handler.
    plain_handler(request_context &context, order_handler &orders);

    /// Runs the call, or passes it to the order handler if the service is not repeatable. Precondition: the exchange's
    /// target starts with servicesPrefix.
    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>;

    static constexpr std::string_view servicesPrefix = "/services/";

private:
    auto runCall(http_exchange &exchange, const admitted_request &admitted, plain_request request)
        -> boost::asio::awaitable<void>;

    request_context &m_context;
    order_handler &m_orders;
};

/// Returns the work of one plain call: \p request with the account, service and profile of \p admitted. Thread safe.
auto plainWork(const admitted_request &admitted, plain_request request) -> plain_work;

/// Returns the reply to a plain call that ended with \p result. Thread safe.
auto plainReply(const plain_result &result, const std::string &requestId) -> http_reply;

} // namespace marjoramloom
