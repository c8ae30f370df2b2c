#include "marjoramloom/gateway/traffic/status_handler.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/router/caller_handler.h"
#include "marjoramloom/router/operator_key.h"

#include <boost/json/serialize.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

status_handler::status_handler(const bool &ready, counter_registry &counters, text_source places,
                               request_explainer &explainer, std::string keyHash)
    : m_ready(ready)
    , m_counters(counters)
    , m_places(std::move(places))
    , m_explainer(explainer)
    , m_keyHash(std::move(keyHash))
{
}

auto status_handler::handle(http_exchange &exchange) -> asio::awaitable<void>
{
    auto answer = http_reply();
    if (auto health = healthReply(exchange, m_ready)) {
        answer = std::move(*health);
    } else if (exchange.target() == "/metrics") {
        answer.contentType = "text/plain; version=0.0.4";
        answer.body = m_counters.text();
    } else if (exchange.target() == "/v1/explain") {
        answer = co_await explain(exchange);
    } else if (exchange.target() == "/status/places") {
        answer.body = m_places();
    } else {
        answer.status = 404;
        answer.body = "{}\n";
    }
    co_await exchange.reply(std::move(answer));
}

auto status_handler::explain(http_exchange &exchange) -> asio::awaitable<http_reply>
{
    auto why = last_reason();
    if (!isOperatorKey(exchange.bearerToken(), m_keyHash)) {
        why.fail(failure_kind::unauthorized, "authenticate", exchange.peer(), "this is not the operators' key");
        co_return errorReply(why);
    }
    auto asked = parseExplainedRequest(exchange.request().body(), why);
    if (!asked) {
        co_return errorReply(why);
    }
    auto answer = http_reply();
    const auto explanation = co_await m_explainer.explain(std::move(*asked));
    log_line(log_level::info, "explained").with("peer", exchange.peer());
    answer.body = boost::json::serialize(explanation) + "\n";
    co_return answer;
}

} // namespace marjoramloom
