#include "marjoramloom/router/operator_handler.h"

#include "marjoramloom/contract/operator_api.h"
#include "marjoramloom/router/caller_handler.h"
#include "marjoramloom/router/operator_key.h"
#include "marjoramloom/store/store_client.h"

#include <boost/json/serialize.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

operator_handler::operator_handler(operator_api<store_client> &api, counter_registry &counters,
                                   std::atomic<bool> &ready, std::string keyHash)
    : m_api(api)
    , m_counters(counters)
    , m_ready(ready)
    , m_keyHash(std::move(keyHash))
{
}

auto operator_handler::handle(http_exchange &exchange) -> asio::awaitable<void>
{
    if (auto health = healthReply(exchange, m_ready)) {
        co_await exchange.reply(std::move(*health));
        co_return;
    }
    auto answer = http_reply();
    if (exchange.target() == "/metrics") {
        answer.contentType = "text/plain; version=0.0.4";
        answer.body = m_counters.text();
        co_await exchange.reply(std::move(answer));
        co_return;
    }
    if (!isOperatorKey(exchange.bearerToken(), m_keyHash)) {
        auto why = last_reason();
        why.fail(failure_kind::unauthorized, "authenticate", exchange.peer(), "this is not the operators' key");
        co_await exchange.reply(errorReply(why));
        co_return;
    }
    auto method = std::string(exchange.request().method_string());
    auto response = co_await m_api.handle(std::move(method), std::string(exchange.target()), exchange.request().body());
    answer.status = response.status;
    answer.body = boost::json::serialize(response.body) + "\n";
    co_await exchange.reply(std::move(answer));
}

} // namespace marjoramloom
