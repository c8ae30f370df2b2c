#include "support/http_call.h"

#include "marjoramloom/core/endpoint.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <sstream>

namespace marjoramloom::test {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

auto exchange(std::string address, http_request request, http_answer &answer) -> asio::awaitable<void>
{
    auto why = last_reason();
    const auto endpoint = parseEndpoint(address, why);
    auto error = boost::system::error_code();
    auto stream = beast::tcp_stream(co_await asio::this_coro::executor);
    stream.expires_after(request.timeout);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        answer.error = "connect: " + error.message();
        co_return;
    }
    auto message = http::request<http::string_body>(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, address);
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, error));
    auto buffer = beast::flat_buffer();
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(boost::none);
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    answer.whole = parser.is_done();
    answer.error = error.message();
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.body = parser.get().body();
        for (const auto &field : parser.get()) {
            answer.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = field.value();
        }
    }
}

} // namespace

auto httpCall(const std::string &address, const http_request &request) -> http_answer
{
    auto answer = http_answer();
    auto context = asio::io_context(1);
    asio::co_spawn(context, exchange(address, request, answer), [](std::exception_ptr) {});
    context.run();
    return answer;
}

auto streamedText(const std::string &events) -> std::string
{
    auto text = std::string();
    auto lines = std::istringstream(events);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (!line.starts_with("data: {")) {
            continue;
        }
        auto error = boost::system::error_code();
        const auto event = boost::json::parse(line.substr(6), error);
        const auto content = event.find_pointer("/choices/0/delta/content", error);
        if (content && content->is_string()) {
            text += content->as_string();
        }
    }
    return text;
}

auto streamEnded(const std::string &events) -> bool
{
    return events.find("data: [DONE]") != std::string::npos;
}

} // namespace marjoramloom::test
