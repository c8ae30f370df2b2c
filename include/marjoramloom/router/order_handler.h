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

/// Serves calls that may not be repeated: each runs at most once for its Idempotency-Key, in the whole fleet.
///
/// An accepted order is carried out even where its caller leaves: the caller gets the stored answer when it asks again.
/// Thread safe.
class order_handler
{
public:
    /// Precondition: what \p context refers to, \p platform and \p counters outlive the handler.
    order_handler(request_context &context, store_client &platform, const member &self, counter_registry &counters);

    /// Precondition: the admitted service is not repeatable.
    auto handle(http_exchange &exchange, const admitted_request &admitted, plain_request request)
        -> boost::asio::awaitable<void>;

    /// Stores outcomes that could not be stored at once. Runs until the process ends.
    auto run() -> boost::asio::awaitable<void>;

    /// Orders without a stored outcome, for operators. Reads all order records of the platform.
    auto openOrders() -> boost::asio::awaitable<boost::json::object>;

    /// Outcomes that are not stored yet.
    [[nodiscard]] auto unsettled() const -> std::size_t;

private:
    auto carryOut(const admitted_request &admitted, plain_request request, order_permit permit)
        -> boost::asio::awaitable<plain_result>;
    auto replyTo(const order_admission &admission, const last_reason &why) const -> http_reply;

    request_context &m_context;
    order_ledger<store_client> m_ledger;
};

} // namespace marjoramloom
