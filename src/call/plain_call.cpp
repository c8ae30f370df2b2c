#include "marjoramloom/call/plain_call.h"

#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/call/http_connection.h"

#include <algorithm>
#include <boost/asio/this_coro.hpp>

namespace marjoramloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto HTTP_VERSION = 11U;

auto toMessage(const plain_request &request, const std::string &host) -> http_connection::request
{
    auto message = http_connection::request();
    message.version(HTTP_VERSION);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, host);
    message.set("X-Request-Id", request.requestId);
    if (!request.idempotencyKey.empty()) {
        message.set("Idempotency-Key", request.idempotencyKey);
    }
    if (!request.accountName.empty()) {
        message.set("X-Account", request.accountName);
    }
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    message.keep_alive(request.repeatable);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// Sends \p message and reads the head of the answer. \p headLimit applies to each of the two steps.
auto exchangeHead(http_connection &connection, const http_connection::request &message, duration headLimit,
                  last_reason &why) -> asio::awaitable<bool>
{
    const auto sent = co_await connection.send(message, headLimit, why);
    if (!sent) {
        co_return false;
    }
    co_return co_await connection.readHead(headLimit, why);
}

/// Reads the body of the answer from \p connection and returns \p result with it.
auto readAnswer(http_connection &connection, const plain_limits &limits, plain_result result)
    -> asio::awaitable<plain_result>
{
    auto answer = plain_answer();
    answer.status = connection.status();
    answer.contentType = connection.header("Content-Type");
    result.leaving = answer.status == static_cast<unsigned>(http::status::service_unavailable)
        && connection.header("X-Leaving") == "true";
    auto body = co_await connection.readRest(limits.answerBytes, limits.answer, result.reason);
    if (result.leaving) {
        result.state = call_state::notRun;
        result.reason.fail(failure_kind::leaving, "send request", connection.peer(), "leaving");
    } else if (body) {
        result.state = call_state::complete;
        answer.body = std::move(*body);
        result.answer = std::move(answer);
    }
    co_return result;
}

} // namespace

auto callPlainService(connection_pool &connections, std::string address, plain_request request, plain_limits limits)
    -> asio::awaitable<plain_result>
{
    auto result = plain_result();
    result.attempts = 1;
    const auto executor = co_await asio::this_coro::executor;
    const auto message = toMessage(request, address);
    auto connection = request.repeatable ? connections.take(address, executor) : nullptr;
    auto answered = false;
    if (connection) {
        // A NAT or firewall may have dropped the state of a reused connection, so it gets a shorter timeout and is
        // replaced by a new one on failure.
        result.state = call_state::unknownOutcome;
        answered = co_await exchangeHead(*connection, message, limits.reconnectAfter, result.reason);
    }
    if (!answered) {
        connection = std::make_shared<http_connection>(executor, address);
        const auto opened = co_await connection->connect(limits.connect, result.reason);
        if (!opened) {
            co_return result;
        }
        result.state = call_state::unknownOutcome;
        answered = co_await exchangeHead(*connection, message, limits.answer, result.reason);
    }
    if (!answered) {
        co_return result;
    }
    result = co_await readAnswer(*connection, limits, std::move(result));
    if (request.repeatable) {
        connections.giveBack(connection);
    }
    co_return result;
}

namespace detail {

auto makePlainTicket(const call_environment &environment, const plain_work &work, ticket_id id,
                     std::vector<object_id> excluded) -> ticket
{
    auto newTicket = ticket();
    newTicket.id = id;
    newTicket.origin = { environment.dataCentre, work.target.id };
    newTicket.account = work.account;
    newTicket.profile = work.treatment.id;
    newTicket.length = work.treatment.length;
    newTicket.expectedCost = work.target.callCost;
    newTicket.submitted = std::chrono::steady_clock::now();
    newTicket.deadline = work.arrived + std::min(work.treatment.maxWait, work.treatment.timeout);
    newTicket.excluded = std::move(excluded);
    return newTicket;
}

auto mergeAttempt(plain_result &result, plain_result attempt) -> void
{
    const auto mayHaveRun = result.state == call_state::unknownOutcome;
    attempt.attempts = result.attempts + 1;
    if (mayHaveRun && attempt.state == call_state::notRun) {
        attempt.state = call_state::unknownOutcome;
    }
    result = std::move(attempt);
}

auto mayRetryPlain(const call_environment &environment, const plain_work &work, const plain_result &attempt,
                   std::uint32_t retries) -> bool
{
    if (attempt.leaving) {
        return true;
    }
    if (attempt.state == call_state::complete || retries >= work.treatment.retries) {
        return false;
    }
    if (attempt.state != call_state::notRun && !work.request.repeatable) {
        return false;
    }
    return !environment.retries || environment.retries->take();
}

} // namespace detail

} // namespace marjoramloom
