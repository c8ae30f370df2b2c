#include "marjoramloom/router/model_handler.h"

#include "marjoramloom/call/completion_body.h"
#include "marjoramloom/call/model_call.h"
#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/router/admission.h"
#include "router/answer_writer.h"
#include "router/caller_watch.h"
#include "router/refusal_reply.h"

#include <boost/asio/experimental/awaitable_operators.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

constexpr std::size_t requestIdBytes = 12;

} // namespace

model_handler::model_handler(request_context &context)
    : m_context(context)
{
}

auto model_handler::handle(http_exchange &exchange) -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto view = m_context.view.read();
    if (!authenticate(view, exchange, why)) {
        co_await exchange.reply(notRunReply(why));
        co_return;
    }
    const auto body = completion_body::parse(exchange.request().body(), why);
    if (!body) {
        why.peer = exchange.peer();
        co_await exchange.reply(notRunReply(why));
        co_return;
    }
    const auto admitted = admit(view, exchange, body->model(), service_kind::model, why);
    if (!admitted) {
        co_await exchange.reply(notRunReply(why));
        co_return;
    }
    auto request = makeRequest(*admitted, *body, exchange);
    co_await runCall(exchange, std::move(request), body->stream());
}

auto model_handler::makeRequest(const admitted_request &admitted, const completion_body &body,
                                const http_exchange &exchange) const -> model_request
{
    auto request = model_request();
    request.requestId = randomHex(requestIdBytes);
    request.accountName = admitted.account->name;
    request.account = admitted.account->id;
    request.target = *admitted.target;
    request.treatment = *admitted.treatment;
    request.body = exchange.request().body();
    request.prefixHash = body.prefixHash();
    request.hintTokens = static_cast<double>(body.maxTokens());
    const auto &weights = m_context.calls.weights;
    request.expectedCost = admitted.treatment->expectedTokens * weights.generated
        + static_cast<double>(body.estimatedPromptTokens()) * weights.prompt;
    request.arrived = system_clock_source().now();
    return request;
}

auto model_handler::runCall(http_exchange &exchange, model_request request, bool stream) -> asio::awaitable<void>
{
    using namespace asio::experimental::awaitable_operators;
    auto writer = answer_writer(exchange, request.requestId, request.target.name, stream);
    auto control = call_control::make(co_await asio::this_coro::executor);
    auto call = model_call<ticket_queue, answer_writer>(m_context.calls, m_context.tickets, writer, control, request);
    const auto ended = co_await (call.run() || cancelOnCallerDisconnect(exchange, control));
    const auto &result = std::get<0>(ended);
    co_await finish(exchange, writer, request, result);
}

auto model_handler::finish(http_exchange &exchange, answer_writer &writer, const model_request &request,
                           const call_result &result) -> asio::awaitable<void>
{
    count(request, result);
    if (result.state == call_state::complete) {
        co_await writer.finish(result);
        co_return;
    }
    log_line(log_level::warning, "request_not_completed")
        .with("request", request.requestId)
        .with("account", request.accountName)
        .with("state", nameOf(result.state))
        .with("reason", result.reason.text())
        .with("peer", exchange.peer());
    co_await writer.fail(result);
}

auto model_handler::count(const model_request &request, const call_result &result) -> void
{
    const auto labels = "account=\"" + request.accountName + "\",service=\"" + request.target.name + "\"";
    m_context.counters
        .at("marjoramloom_requests_total", labels + ",state=\"" + std::string(nameOf(result.state)) + "\"")
        .add();
    m_context.counters.at("marjoramloom_generated_tokens_total", labels).add(result.generatedTokens);
}

} // namespace marjoramloom
