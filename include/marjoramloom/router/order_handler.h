#pragma once

#include "marjoramloom/call/plain_call.h"
#include "marjoramloom/order/order_ledger.h"
#include "marjoramloom/peer/member.h"
#include "marjoramloom/router/http_exchange.h"
#include "marjoramloom/router/request_context.h"
#include "marjoramloom/store/store_client.h"

#include <boost/json/object.hpp>

namespace marjoramloom {

struct admitted_request;

/// Serves calls to services that are not repeatable (orders): each runs at most once in the whole fleet for its
/// Idempotency-Key.
///
/// An admitted order is executed even if its caller disconnects. The caller gets the stored answer when it retries with
/// the same key. Thread safe.
class order_handler
{
public:
    /// Precondition: the objects that \p context refers to, \p platform and \p counters outlive the handler.
    order_handler(request_context &context, store_client &platform, const member &self, counter_registry &counters);

    /// Runs the order, or replies with its stored outcome. Precondition: the admitted service is not repeatable.
    auto handle(http_exchange &exchange, const admitted_request &admitted, plain_request request)
        -> boost::asio::awaitable<void>;

    /// Stores outcomes that could not be stored when their calls ended. Runs until the process ends.
    auto run() -> boost::asio::awaitable<void>;

    /// Returns the orders without a stored outcome, for operators. Reads all order records of the platform.
    auto openOrders() -> boost::asio::awaitable<boost::json::object>;

    /// Number of outcomes that are not stored yet.
    [[nodiscard]] auto unsettled() const -> std::size_t;

private:
    auto runCall(const admitted_request &admitted, plain_request request, order_permit permit)
        -> boost::asio::awaitable<plain_result>;
    auto replyTo(const order_admission &admission, const last_reason &why) const -> http_reply;

    request_context &m_context;
    order_ledger<store_client> m_ledger;
};

} // namespace marjoramloom
