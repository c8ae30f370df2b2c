#include "marjoramloom/router/plain_handler.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/router/admission.h"
#include "marjoramloom/router/order_handler.h"
#include "router/caller_watch.h"
#include "router/refusal_reply.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr std::size_t requestIdBytes = 12;

/// Splits "/services/<service>/<path>" into service and path. The path keeps its leading slash and the query.
auto splitTarget(std::string_view target) -> std::pair<std::string, std::string>
{
    target.remove_prefix(plain_handler::servicesPrefix.size());
    const auto end = target.find_first_of("/?");
    auto path = end == std::string_view::npos ? std::string() : std::string(target.substr(end));
    if (!path.starts_with('/')) {
        path.insert(0, "/");
    }
    return { std::string(target.substr(0, end)), path };
}

auto makeRequest(const http_exchange &exchange, const admitted_request &admitted, std::string path) -> plain_request
{
    auto request = plain_request();
    request.requestId = randomHex(requestIdBytes);
    request.method = exchange.request().method_string();
    request.target = std::move(path);
    request.contentType = exchange.header("Content-Type");
    request.body = exchange.request().body();
    request.idempotencyKey = exchange.header("Idempotency-Key");
    request.accountName = admitted.account->name;
    request.repeatable = admitted.target->repeatable;
    return request;
}

} // namespace

plain_handler::plain_handler(request_context &context, order_handler &orders)
    : m_context(context)
    , m_orders(orders)
{
}

auto plain_handler::handle(http_exchange &exchange) -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto [name, path] = splitTarget(exchange.target());
    const auto admitted = admit(m_context.view.read(), exchange, name, service_kind::plain, why);
    if (!admitted) {
        co_await exchange.reply(notRunReply(why));
        co_return;
    }
    auto request = makeRequest(exchange, *admitted, path);
    if (admitted->target->repeatable) {
        co_await runCall(exchange, *admitted, std::move(request));
    } else {
        co_await m_orders.handle(exchange, *admitted, std::move(request));
    }
}

auto plain_handler::runCall(http_exchange &exchange, const admitted_request &admitted, plain_request request)
    -> asio::awaitable<void>
{
    using namespace asio::experimental::awaitable_operators;
    const auto requestId = request.requestId;
    auto control = call_control::make(co_await asio::this_coro::executor);
    auto work = plainWork(admitted, std::move(request));
    const auto ended = co_await (runPlainCall(m_context.calls, m_context.tickets, control, std::move(work))
                                 || cancelOnCallerDisconnect(exchange, control));
    const auto &result = std::get<0>(ended);
    const auto labels = "account=\"" + admitted.account->name + "\",service=\"" + admitted.target->name + "\",state=\""
        + std::string(nameOf(result.state)) + "\"";
    m_context.counters.at("marjoramloom_requests_total", labels).add();
    auto answer = plainReply(result, requestId);
    co_await exchange.reply(std::move(answer));
}

auto plainWork(const admitted_request &admitted, plain_request request) -> plain_work
{
    auto work = plain_work();
    work.request = std::move(request);
    work.accountName = admitted.account->name;
    work.account = admitted.account->id;
    work.target = *admitted.target;
    work.treatment = *admitted.treatment;
    work.arrived = system_clock_source().now();
    return work;
}

auto plainReply(const plain_result &result, const std::string &requestId) -> http_reply
{
    auto answer = http_reply();
    if (result.state == call_state::complete) {
        answer.status = result.answer->status;
        answer.contentType = result.answer->contentType;
        answer.body = result.answer->body;
    } else if (result.state == call_state::notRun) {
        answer = notRunReply(result.reason);
    } else {
        answer = errorReply(result.reason);
        answer.status = statusOf(failure_kind::unknownOutcome);
    }
    answer.headers.emplace_back("X-Request-Id", requestId);
    return answer;
}

} // namespace marjoramloom
