#include "support/keep_alive_client.h"

#include "marjoramloom/core/endpoint.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

namespace marjoramloom::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

keep_alive_client::keep_alive_client(std::string address)
    : m_address(std::move(address))
{
}

auto keep_alive_client::call(const http_request &request) -> http_answer
{
    auto answer = http_answer();
    asio::co_spawn(m_context, exchange(request, answer), asio::detached);
    m_context.restart();
    m_context.run();
    if (!answer.complete) {
        m_stream.reset();
    }
    return answer;
}

auto keep_alive_client::exchange(const http_request &request, http_answer &answer) -> asio::awaitable<void>
{
    auto error = boost::system::error_code();
    const auto isNewConnection = !m_stream;
    if (isNewConnection) {
        m_buffer.clear();
        m_stream.emplace(m_context);
    }
    m_stream->expires_after(request.timeout);
    if (isNewConnection) {
        auto why = last_reason();
        co_await m_stream->async_connect(*parseEndpoint(m_address, why),
                                         asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            answer.error = "connect: " + error.message();
            co_return;
        }
    }
    auto message = http::request<http::string_body>(http::string_to_verb(request.method), request.target, 11);
    message.set(http::field::host, m_address);
    for (const auto &[name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    co_await http::async_write(*m_stream, message, asio::redirect_error(asio::use_awaitable, error));
    auto parser = http::response_parser<http::string_body>();
    parser.body_limit(boost::none);
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(*m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    answer.complete = parser.is_done();
    answer.error = error.message();
    if (parser.is_header_done()) {
        answer.status = parser.get().result_int();
        answer.body = parser.get().body();
        for (const auto &field : parser.get()) {
            answer.headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] = field.value();
        }
    }
    if (!parser.is_done() || !parser.get().keep_alive()) {
        m_stream.reset();
    }
}

} // namespace marjoramloom::test
