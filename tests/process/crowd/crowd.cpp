#include "crowd.h"

#include "marjoramloom/core/endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <thread>

namespace marjoramloom::test {

namespace asio = boost::asio;

namespace {

/// Longest time that the clients get for sending. A router that stops reading keeps some of them from finishing.
constexpr auto maxSendTime = std::chrono::seconds(20);
/// How long the clients stay after the last byte was sent.
constexpr auto stayTime = std::chrono::seconds(2);
constexpr auto slowSenderPause = std::chrono::milliseconds(20);
constexpr auto smallReceiveBytes = 4'096;

} // namespace

crowd::crowd(const std::string &address)
{
    auto why = last_reason();
    m_endpoint = *parseEndpoint(address, why);
}

crowd::~crowd() = default;

auto crowd::addSenders(int count, std::string head, std::string block, int repeats) -> void
{
    auto sent = script();
    sent.head = std::move(head);
    sent.block = std::move(block);
    sent.repeats = repeats;
    add(count, std::move(sent));
}

auto crowd::addSlowSenders(int count, std::string bytes) -> void
{
    auto sent = script();
    sent.head = std::move(bytes);
    sent.pauses = true;
    add(count, std::move(sent));
}

auto crowd::addSilent(int count) -> void
{
    add(count, script());
}

auto crowd::addNonReaders(int count, const std::string &id) -> void
{
    for (auto index = 0; index < count; ++index) {
        auto sent = script();
        sent.head = "GET /read/x HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-alpha\r\n"
                    "X-Attempt-Id: "
            + id + std::to_string(index) + "\r\nX-Deadline-Ms: 4000\r\n\r\n";
        sent.smallReceiveBuffer = true;
        add(1, std::move(sent));
    }
}

auto crowd::add(int count, script sent) -> void
{
    const auto &kept = m_scripts.emplace_back(std::move(sent));
    for (auto index = 0; index < count; ++index) {
        auto &socket = m_sockets.emplace_back(m_context);
        ++m_sending;
        asio::co_spawn(m_context, play(socket, kept), asio::detached);
    }
}

auto crowd::run() -> void
{
    const auto end = std::chrono::steady_clock::now() + maxSendTime;
    while (m_sending > 0 && std::chrono::steady_clock::now() < end) {
        m_context.run_one_until(end);
    }
    m_context.poll();
    std::this_thread::sleep_for(stayTime);
}

auto crowd::play(tcp::socket &socket, const script &sent) -> asio::awaitable<void>
{
    try {
        co_await send(socket, sent);
    } catch (const boost::system::system_error &) {
        // The router may close the connection at any time.
        auto ignored = boost::system::error_code();
        socket.close(ignored);
    }
    --m_sending;
}

auto crowd::send(tcp::socket &socket, const script &sent) -> asio::awaitable<void>
{
    socket.open(m_endpoint.protocol());
    if (sent.smallReceiveBuffer) {
        socket.set_option(tcp::socket::receive_buffer_size(smallReceiveBytes));
    }
    co_await socket.async_connect(m_endpoint, asio::use_awaitable);
    auto pause = asio::steady_timer(m_context);
    if (sent.pauses) {
        for (const auto &byte : sent.head) {
            co_await asio::async_write(socket, asio::buffer(&byte, 1), asio::use_awaitable);
            pause.expires_after(slowSenderPause);
            co_await pause.async_wait(asio::use_awaitable);
        }
        co_return;
    }
    co_await asio::async_write(socket, asio::buffer(sent.head), asio::use_awaitable);
    for (auto index = 0; index < sent.repeats; ++index) {
        co_await asio::async_write(socket, asio::buffer(sent.block), asio::use_awaitable);
    }
}

} // namespace marjoramloom::test
