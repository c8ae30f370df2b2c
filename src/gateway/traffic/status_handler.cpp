#include "marjoramloom/gateway/traffic/status_handler.h"

#include "marjoramloom/router/caller_handler.h"

namespace marjoramloom {

status_handler::status_handler(const bool &ready, counter_registry &counters, std::function<std::string()> places)
    : m_ready(ready)
    , m_counters(counters)
    , m_places(std::move(places))
{
}

auto status_handler::handle(http_exchange &exchange) -> boost::asio::awaitable<void>
{
    auto answer = http_reply();
    if (auto health = healthReply(exchange, m_ready)) {
        answer = std::move(*health);
    } else if (exchange.target() == "/metrics") {
        answer.contentType = "text/plain; version=0.0.4";
        answer.body = m_counters.text();
    } else if (exchange.target() == "/status/places") {
        answer.body = m_places();
    } else {
        answer.status = 404;
        answer.body = "{}\n";
    }
    co_await exchange.reply(std::move(answer));
}

} // namespace marjoramloom
