#include "marjoramloom/call/plain_call.h"

#include "marjoramloom/call/connection_pool.h"

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
    if (!request.contentType.empty()) {
        message.set(http::field::content_type, request.contentType);
    }
    message.keep_alive(request.repeatable);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

/// An open connection, from the pool only where the call may be repeated.
auto openConnection(connection_pool &connections, const std::string &address, bool repeatable, duration limit,
                    last_reason &why) -> asio::awaitable<std::shared_ptr<http_connection>>
{
    const auto executor = co_await asio::this_coro::executor;
    auto connection = repeatable ? connections.take(address, executor) : nullptr;
    if (!connection) {
        connection = std::make_shared<http_connection>(executor, address);
        const auto opened = co_await connection->connect(limit, why);
        if (!opened) {
            co_return nullptr;
        }
    }
    co_return connection;
}

} // namespace

auto callPlainService(connection_pool &connections, std::string address, plain_request request, plain_limits limits)
    -> asio::awaitable<plain_result>
{
    auto result = plain_result();
    const auto connection =
        co_await openConnection(connections, address, request.repeatable, limits.connect, result.reason);
    if (!connection) {
        co_return result;
    }
    result.state = call_state::unknownOutcome;
    const auto message = toMessage(request, address);
    if (!co_await connection->send(message, limits.answer, result.reason)) {
        co_return result;
    }
    if (!co_await connection->readHead(limits.answer, result.reason)) {
        co_return result;
    }
    auto answer = plain_answer();
    answer.status = connection->status();
    answer.contentType = connection->header("Content-Type");
    const auto leaving = answer.status == static_cast<unsigned>(http::status::service_unavailable)
        && connection->header("X-Leaving") == "true";
    auto body = co_await connection->readRest(limits.answerBytes, limits.answer, result.reason);
    if (leaving) {
        result.leaving = true;
        result.state = call_state::notRun;
        result.reason.fail(failure_kind::leaving, "send request", address, "leaving");
    } else if (body) {
        result.state = call_state::complete;
        answer.body = std::move(*body);
        result.answer = std::move(answer);
    }
    if (request.repeatable) {
        connections.giveBack(connection);
    }
    co_return result;
}

} // namespace marjoramloom
