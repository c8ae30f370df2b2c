#include "fake_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace marjoramloom::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

fake_service::fake_service(asio::io_context &context)
    : m_context(context)
    , m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

auto fake_service::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

auto fake_service::stopListening() -> void
{
    m_acceptor.close();
}

auto fake_service::accept() -> asio::awaitable<void>
{
    while (true) {
        auto error = error_code();
        auto accepted = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        auto peer = std::make_shared<socket>(std::move(accepted));
        const auto behaviour = m_accepted < plan.size() ? plan[m_accepted] : service_behaviour::answer;
        ++m_accepted;
        if (behaviour != service_behaviour::closeBeforeRead) {
            asio::co_spawn(m_context, serve(std::move(peer), behaviour), asio::detached);
        }
    }
}

auto fake_service::serve(std::shared_ptr<socket> peer, service_behaviour behaviour) -> asio::awaitable<void>
{
    auto buffer = boost::beast::flat_buffer();
    while (true) {
        auto received = http::request<http::string_body>();
        auto error = error_code();
        co_await http::async_read(*peer, buffer, received, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const auto leaving = behaviour == service_behaviour::refuseLeaving;
        auto reply = http::response<http::string_body>(leaving ? http::status::service_unavailable : http::status::ok,
                                                       received.version());
        if (leaving) {
            reply.set("X-Leaving", "true");
        } else {
            executed.emplace_back(received["X-Request-Id"]);
        }
        if (behaviour == service_behaviour::closeAfterRun) {
            co_return;
        }
        if (behaviour == service_behaviour::silentAfterRun) {
            m_silent.push_back(peer);
            co_return;
        }
        reply.body() = "{\"echo\":\"" + received.body() + "\"}";
        if (behaviour == service_behaviour::largeAnswer) {
            reply.body().assign(100'000, 'x');
        }
        reply.keep_alive(received.keep_alive());
        reply.prepare_payload();
        if (behaviour == service_behaviour::closeInAnswer) {
            const auto part = std::string("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"echo\":");
            co_await asio::async_write(*peer, asio::buffer(part), asio::redirect_error(asio::use_awaitable, error));
            co_return;
        }
        co_await http::async_write(*peer, reply, asio::redirect_error(asio::use_awaitable, error));
        if (behaviour == service_behaviour::answerOnceThenSilent) {
            m_silent.push_back(peer);
            co_return;
        }
    }
}

} // namespace marjoramloom::test
