#include "support/scripted_server.h"

#include "marjoramloom/core/text.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace marjoramloom::test {

namespace asio = boost::asio;

namespace {

/// Value of the field \p name in \p head; empty if there is none.
auto fieldOf(std::string_view head, std::string_view name) -> std::string
{
    while (!head.empty()) {
        const auto end = std::min(head.find("\r\n"), head.size());
        const auto line = head.substr(0, end);
        const auto colon = line.find(':');
        if (colon != std::string_view::npos && equalsIgnoringCase(line.substr(0, colon), name)) {
            return std::string(trimmed(line.substr(colon + 1)));
        }
        head.remove_prefix(std::min(end + 2, head.size()));
    }
    return {};
}

} // namespace

scripted_server::scripted_server(script answerFor)
    : m_answerFor(std::move(answerFor))
    , m_acceptor(m_context, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    asio::co_spawn(m_context, acceptAll(), asio::detached);
    m_thread = std::thread([this] { m_context.run(); });
}

scripted_server::~scripted_server()
{
    m_context.stop();
    m_thread.join();
}

auto scripted_server::address() const -> std::string
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

auto scripted_server::lastField(const std::string &id, const std::string &name) const -> std::string
{
    const auto lock = std::lock_guard(m_mutex);
    const auto head = m_lastHeads.find(id);
    return head == m_lastHeads.end() ? std::string() : fieldOf(head->second, name);
}

auto scripted_server::acceptAll() -> asio::awaitable<void>
{
    while (true) {
        auto socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

auto scripted_server::serve(tcp::socket socket) -> asio::awaitable<void>
{
    constexpr auto headEnd = "\r\n\r\n";
    auto received = std::string();
    try {
        for (auto number = 0;; ++number) {
            const auto size =
                co_await asio::async_read_until(socket, asio::dynamic_buffer(received), headEnd, asio::use_awaitable);
            const auto head = received.substr(0, size);
            received.erase(0, size);
            ++requests;
            onKeptConnection += number > 0 ? 1 : 0;
            const auto id = fieldOf(head, "X-Attempt-Id");
            {
                const auto lock = std::lock_guard(m_mutex);
                m_lastHeads[id] = head;
            }
            const auto answer = m_answerFor(id);
            co_await asio::async_write(socket, asio::buffer(answer.bytes), asio::use_awaitable);
            if (answer.end == connection_end::reset) {
                co_await pauseBeforeReset();
                socket.set_option(asio::socket_base::linger(true, 0));
            }
            if (answer.end != connection_end::keep) {
                socket.close();
                co_return;
            }
        }
    } catch (const boost::system::system_error &) {
        co_return; // The router closed the connection.
    }
}

/// Lets the router read what was written, which a reset would discard.
auto scripted_server::pauseBeforeReset() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context, std::chrono::milliseconds(100));
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace marjoramloom::test
