#include "service_standin.h"

#include "common_faults.h"

#include "marjoramloom/core/hash.h"

namespace standins {

service_standin::service_standin(standin_context &shared, service_options options)
    : m_shared(shared)
    , m_options(std::move(options))
{
}

auto service_standin::handle(http_exchange &exchange) -> void_awaitable
{
    const auto entry = exchange.entry();
    if (co_await applyRequestFaults(exchange, m_shared, entry.requestId)) {
        co_return;
    }
    if (m_options.callMs > 0) {
        co_await sleepFor(m_options.callMs);
    }
    const auto run = std::function<http_reply()>([this, entry] { return execute(entry); });
    co_await executeAndReply(exchange, m_shared, entry.requestId, run);
}

auto service_standin::execute(execution_entry entry) -> http_reply
{
    entry.state = "finished";
    m_shared.record.append(entry);
    auto body = boost::json::object();
    body["served_by"] = m_options.name;
    body["execution"] = ++m_executions;
    body["method"] = entry.method;
    body["path"] = entry.path;
    body["body_hash"] = std::to_string(marjoramloom::hash64(entry.body));
    auto answer = http_reply();
    answer.body = boost::json::serialize(body);
    return answer;
}

auto service_standin::control(http_exchange &, const boost::json::value &) -> http_reply
{
    auto answer = http_reply();
    answer.status = http::status::not_found;
    return answer;
}

} // namespace standins
