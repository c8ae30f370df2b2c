#include "marjoramloom/router/caller_handler.h"

#include "router/refusal_reply.h"

namespace marjoramloom {

namespace asio = boost::asio;

caller_handler::caller_handler(request_context &context, order_handler &orders)
    : m_context(context)
    , m_modelHandler(context)
    , m_plainHandler(context, orders)
{
}

auto caller_handler::handle(http_exchange &exchange) -> asio::awaitable<void>
{
    const auto target = exchange.target();
    const auto method = exchange.request().method();
    if (auto health = healthReply(exchange, m_context.ready)) {
        co_await exchange.reply(std::move(*health));
        co_return;
    }
    if (m_context.view.read()->config().sequence == 0) {
        auto why = last_reason();
        why.fail(failure_kind::unavailable, "route request", exchange.peer(), "this router has no configuration yet");
        co_await exchange.reply(notRunReply(why));
        co_return;
    }
    if (target == "/v1/chat/completions" && method == boost::beast::http::verb::post) {
        co_await m_modelHandler.handle(exchange);
        co_return;
    }
    if (target.starts_with(plain_handler::servicesPrefix)) {
        co_await m_plainHandler.handle(exchange);
        co_return;
    }
    auto why = last_reason();
    why.fail(failure_kind::notFound, "route request", exchange.peer(),
             "use POST /v1/chat/completions or /services/<service>/<path>");
    co_await exchange.reply(notRunReply(why));
}

auto healthReply(const http_exchange &exchange, bool ready) -> std::optional<http_reply>
{
    const auto target = exchange.target();
    if (target != "/healthz" && target != "/readyz") {
        return std::nullopt;
    }
    const auto healthy = target == "/healthz" || ready;
    auto answer = http_reply();
    answer.status = healthy ? 200 : 503;
    answer.contentType = "text/plain";
    answer.body = healthy ? "ok\n" : "not ready\n";
    return answer;
}

} // namespace marjoramloom
