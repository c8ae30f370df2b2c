#include "marjoramloom/router/order_handler.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/router/admission.h"
#include "marjoramloom/router/plain_handler.h"
#include "router/refusal_reply.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json/array.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maxKeyBytes = 256; ///< Of an Idempotency-Key.
constexpr unsigned unprocessableContent = 422; ///< HTTP status code.

auto makeOrderOptions(const member &self) -> order_options
{
    auto options = order_options();
    options.incarnation = self.incarnation;
    options.router = self.instance;
    options.seed = self.incarnation;
    return options;
}

auto makeOrder(const admitted_request &admitted, const plain_request &request, std::string_view key) -> order_request
{
    auto order = order_request();
    order.accountName = admitted.account->name;
    order.idempotencyKey = key;
    order.service = admitted.target->name;
    order.bodyHash = sha256Hex(request.method + "\n" + request.target + "\n" + request.body);
    return order;
}

auto makeConclusion(const plain_result &result) -> order_conclusion
{
    auto conclusion = order_conclusion();
    if (result.state == call_state::complete) {
        conclusion.result = sending_result::answered;
        conclusion.answer = { result.answer->status, result.answer->contentType, result.answer->body };
    } else if (result.state == call_state::notRun) {
        conclusion.result = sending_result::notSent;
    }
    return conclusion;
}

auto describe(const open_order &order) -> boost::json::object
{
    return {
        { "name", order.name },     { "account", order.account },     { "service", order.service },
        { "router", order.router }, { "state", nameOf(order.state) }, { "claimed_unix_ms", order.unixMs },
    };
}

} // namespace

order_handler::order_handler(request_context &context, store_client &platform, const member &self,
                             counter_registry &counters)
    : m_context(context)
    , m_ledger(platform, makeOrderOptions(self), counters)
{
}

auto order_handler::handle(http_exchange &exchange, const admitted_request &admitted, plain_request request)
    -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto key = exchange.header("Idempotency-Key");
    if (key.empty() || key.size() > maxKeyBytes) {
        why.fail(failure_kind::invalidInput, "read Idempotency-Key", exchange.peer(),
                 "this service needs an Idempotency-Key header of 1 to 256 bytes");
        co_await exchange.reply(notRunReply(why));
        co_return;
    }
    const auto requestId = request.requestId;
    auto order = makeOrder(admitted, request, key);
    auto admission = co_await m_ledger.admit(std::move(order), why);
    auto answer = http_reply();
    if (admission.permit) {
        const auto result = co_await runCall(admitted, std::move(request), std::move(*admission.permit));
        answer = plainReply(result, requestId);
    } else {
        answer = replyTo(admission, why);
        answer.headers.emplace_back("X-Request-Id", requestId);
    }
    co_await exchange.reply(std::move(answer));
}

auto order_handler::runCall(const admitted_request &admitted, plain_request request, order_permit permit)
    -> asio::awaitable<plain_result>
{
    auto result = plain_result();
    const auto requestId = request.requestId;
    if (permit.beginSending()) {
        auto control = call_control::make(co_await asio::this_coro::executor);
        auto work = plainWork(admitted, std::move(request));
        result = co_await runPlainCall(m_context.calls, m_context.tickets, control, std::move(work));
    }
    log_line(log_level::info, "order_concluded")
        .with("request", requestId)
        .with("account", admitted.account->name)
        .with("service", admitted.target->name)
        .with("state", nameOf(result.state))
        .with("reason", nameOf(result.reason.kind));
    const auto labels = "account=\"" + admitted.account->name + "\",service=\"" + admitted.target->name + "\",state=\""
        + std::string(nameOf(result.state)) + "\"";
    m_context.counters.at("marjoramloom_requests_total", labels).add();
    auto conclusion = makeConclusion(result);
    co_await m_ledger.conclude(std::move(permit), std::move(conclusion));
    co_return result;
}

auto order_handler::replyTo(const order_admission &admission, const last_reason &why) const -> http_reply
{
    auto answer = errorReply(why);
    switch (admission.verdict) {
    case order_verdict::answered:
        answer.status = admission.answer.status;
        answer.contentType = admission.answer.contentType;
        answer.body = admission.answer.body;
        answer.headers.emplace_back("Idempotency-Replayed", "true");
        break;
    case order_verdict::bodyDiffers:
        answer = notRunReply(why);
        answer.status = unprocessableContent;
        break;
    case order_verdict::inProgress:
        answer.status = statusOf(failure_kind::conflict);
        answer.headers.emplace_back("Retry-After", "1");
        break;
    case order_verdict::notRun:
        answer = notRunReply(why);
        break;
    case order_verdict::attemptNotRun:
        answer.status = statusOf(failure_kind::unavailable);
        answer.headers.emplace_back("Retry-After", "1");
        break;
    case order_verdict::none:
    case order_verdict::unknownOutcome:
        answer.status = statusOf(failure_kind::unknownOutcome);
        break;
    }
    return answer;
}

auto order_handler::run() -> asio::awaitable<void>
{
    co_await m_ledger.run();
}

auto order_handler::openOrders() -> asio::awaitable<boost::json::object>
{
    auto why = last_reason();
    const auto open = co_await m_ledger.listOpen(why);
    auto report = boost::json::object();
    if (!open) {
        report["error"] = why.text();
        co_return report;
    }
    auto orders = boost::json::array();
    for (const auto &order : *open) {
        orders.push_back(describe(order));
    }
    report["orders"] = std::move(orders);
    co_return report;
}

auto order_handler::unsettled() const -> std::size_t
{
    return m_ledger.unsettled();
}

} // namespace marjoramloom
