#include "common_faults.h"

namespace standins {

namespace {

auto errorReply(http::status status) -> http_reply
{
    auto answer = http_reply();
    answer.status = status;
    return answer;
}

/// Sends no reply: keeps the connection open if \p silent, else closes it.
auto dropReply(http_exchange &exchange, bool silent) -> void_awaitable
{
    if (silent) {
        co_await exchange.stall();
    }
    exchange.close();
}

auto executeLate(std::int64_t milliseconds, std::function<http_reply()> execute) -> void_awaitable
{
    co_await sleepFor(milliseconds);
    execute();
}

} // namespace

auto applyRequestFaults(http_exchange &exchange, standin_context &shared, std::string key)
    -> boost::asio::awaitable<bool>
{
    auto &faults = shared.faults;
    const auto subject = exchange.subject(std::move(key));
    if (faults.take(fault_kind::freeze, subject)) {
        co_await exchange.stall();
    }
    if (const auto delay = faults.take(fault_kind::delay, subject)) {
        co_await sleepFor(delay->ms);
    }
    if (faults.take(fault_kind::close, subject)) {
        exchange.close();
        co_return true;
    }
    if (faults.take(fault_kind::outage, subject)) {
        const auto answer = errorReply(http::status::service_unavailable);
        co_await exchange.reply(answer);
        co_return true;
    }
    if (faults.take(fault_kind::refuse, subject)) {
        const auto answer = errorReply(http::status::too_many_requests);
        co_await exchange.reply(answer);
        co_return true;
    }
    if (faults.take(fault_kind::leaving, subject)) {
        auto answer = errorReply(http::status::service_unavailable);
        answer.headers.emplace_back("X-Leaving", "true");
        co_await exchange.reply(answer);
        co_return true;
    }
    co_return false;
}

auto executeAndReply(http_exchange &exchange, standin_context &shared, std::string key,
                     std::function<http_reply()> execute) -> void_awaitable
{
    const auto subject = exchange.subject(std::move(key));
    if (const auto late = shared.faults.take(fault_kind::landLate, subject)) {
        const auto executor = co_await boost::asio::this_coro::executor;
        boost::asio::co_spawn(executor, executeLate(late->ms, execute), boost::asio::detached);
        co_await dropReply(exchange, late->silent);
        co_return;
    }
    const auto answer = execute();
    if (const auto lost = shared.faults.take(fault_kind::loseAnswer, subject)) {
        co_await dropReply(exchange, lost->silent);
        co_return;
    }
    co_await exchange.reply(answer);
}

} // namespace standins
