#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

using namespace marjoramloom::test;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Backend server that answers one request as soon as it has read its head and a little of its body: by a success
/// without a length, of which it sends a part before it resets the connection.
class early_server
{
public:
    /// \p pauseMs passes between the part of the answer and the reset.
    explicit early_server(int pauseMs)
        : m_pauseMs(pauseMs)
        , m_acceptor(m_context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_thread([this] { serve(); })
    {
    }
    ~early_server()
    {
        if (m_thread.joinable()) {
            auto error = boost::system::error_code();
            auto unblock = tcp::socket(m_context);
            unblock.connect(m_acceptor.local_endpoint(), error);
            unblock.close(error);
            m_thread.join();
        }
    }
    early_server(const early_server &) = delete;
    auto operator=(const early_server &) -> early_server & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    auto serve() -> void
    {
        auto error = boost::system::error_code();
        auto socket = tcp::socket(m_context);
        m_acceptor.accept(socket, error);
        auto buffer = asio::streambuf();
        asio::read_until(socket, buffer, "\r\n\r\n", error);
        if (error) {
            return;
        }
        const auto head = std::string(asio::buffers_begin(buffer.data()), asio::buffers_end(buffer.data()));
        constexpr auto field = std::string_view("X-Attempt-Id: ");
        const auto begin = head.find(field) + field.size();
        const auto id = head.substr(begin, head.find("\r\n", begin) - begin);
        asio::write(socket,
                    asio::buffer("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id
                                 + "\r\nX-Response-Seal: seal\r\nConnection: close\r\n\r\nfirst part"),
                    error);
        sleepMs(m_pauseMs);
        socket.set_option(asio::socket_base::linger(true, 0), error);
        socket.close(error);
    }

    int m_pauseMs;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

} // namespace

BOOST_AUTO_TEST_SUITE(early_answer_test)

BOOST_AUTO_TEST_CASE(an_answer_without_length_that_is_reset_during_the_upload_is_not_complete)
{
    // The smaller upload fits into the buffers of the connection; the larger one is still being written at the reset.
    for (const auto bodyBytes : { 300'000, 12'000'000 }) {
        for (const auto pauseMs : { 0, 30, 200 }) {
            BOOST_TEST_CONTEXT("body of " << bodyBytes << " bytes, reset after " << pauseMs << " ms")
            {
                auto server = early_server(pauseMs);
                auto plan = gateway_plan();
                plan.routers = 1;
                plan.servers = 1;
                plan.bodyBytes = 16'000'000;
                plan.listedServerAddress = [&](const std::string &) {
                    return server.address();
                };
                auto fleet = gateway_fleet(std::move(plan));
                const auto answer = fleet.call(fleet.routers().front(), "/post/x", "upload", "POST", "key-alpha",
                                               std::string(static_cast<std::size_t>(bodyBytes), 'b'));
                BOOST_TEST((answer.status == 502U || answer.status == 504U), "status " << answer.status);
                BOOST_TEST(answer.body.find("first part") == std::string::npos);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
