#include "support/gateway_fleet.h"
#include "support/raw_connection.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace marjoramloom::test;
using tcp = boost::asio::ip::tcp;

namespace {

/// Memory that a router may use, in kilobytes.
constexpr auto memoryLimitKb = 64L * 1'024;
/// Half of the callers' deadline: bytes without end are known to be no answer long before it.
constexpr auto decisionTimeMs = 2'000;

/// An answer that begins with \p start and repeats \p repeated until the router closes the connection.
struct endless_answer
{
    std::string name;
    std::string path;
    std::string start;
    std::string repeated;
};

auto answerForms() -> std::vector<endless_answer>
{
    const auto ok = std::string("HTTP/1.1 200 OK\r\n");
    const auto chunked = ok + "Transfer-Encoding: chunked\r\n";
    const auto filler = std::string(4'096, 'a');
    return {
        { "head", "/open/x", ok + "X-Filler: ", filler },
        { "interim heads", "/open/x", "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
        { "no HTTP", "/open/x", "", filler },
        { "body", "/open/x", ok + "Connection: close\r\n\r\n", filler },
        { "chunk extension", "/open/x", chunked + "\r\n1;", filler },
        { "trailer", "/open/x", chunked + "\r\n0\r\nX-Filler: ", filler },
        { "event", "/talk/x", chunked + "Content-Type: text/event-stream\r\n\r\n", "1000\r\n" + filler + "\r\n" },
        { "other answers", "/open/x", "", ok + "X-Attempt-Id: other\r\nContent-Length: 0\r\n\r\n" },
        { "refusal", "/open/x", "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nConnection: close\r\n\r\n", filler },
    };
}

/// Answers every request by the same endless bytes.
class endless_server
{
public:
    explicit endless_server(endless_answer answer)
        : m_answer(std::move(answer))
        , m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        while (m_block.size() < blockBytes) {
            m_block += m_answer.repeated;
        }
        boost::asio::co_spawn(m_context, acceptAll(), boost::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~endless_server()
    {
        m_context.stop();
        m_thread.join();
    }

    endless_server(const endless_server &) = delete;
    auto operator=(const endless_server &) -> endless_server & = delete;

    [[nodiscard]] auto address() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    static constexpr std::size_t blockBytes = 64 * 1'024;

    auto acceptAll() -> boost::asio::awaitable<void>
    {
        while (true) {
            auto socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            boost::asio::co_spawn(m_context, serve(std::move(socket)), boost::asio::detached);
        }
    }

    auto serve(tcp::socket socket) -> boost::asio::awaitable<void>
    {
        auto pause = boost::asio::steady_timer(m_context);
        auto request = std::string();
        try {
            co_await boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                                   boost::asio::use_awaitable);
            co_await boost::asio::async_write(socket, boost::asio::buffer(m_answer.start), boost::asio::use_awaitable);
            while (true) {
                co_await boost::asio::async_write(socket, boost::asio::buffer(m_block), boost::asio::use_awaitable);
                pause.expires_after(std::chrono::milliseconds(1));
                co_await pause.async_wait(boost::asio::use_awaitable);
            }
        } catch (const boost::system::system_error &) {
            co_return; // The router closed the connection.
        }
    }

    endless_answer m_answer;
    std::string m_block;
    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

/// A complete request to \p path with an id of its own.
auto requestFor(const std::string &path, int number) -> std::string
{
    return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key-alpha\r\nX-Attempt-Id: many-"
        + std::to_string(number) + "\r\nX-Deadline-Ms: 4000\r\n\r\n";
}

} // namespace

BOOST_AUTO_TEST_SUITE(endless_answer_test)

BOOST_AUTO_TEST_CASE(a_server_that_answers_without_end_costs_bounded_memory_and_time_and_counts_as_failing)
{
    constexpr auto concurrentRequests = std::size_t(8);
    for (const auto &form : answerForms()) {
        BOOST_TEST_CONTEXT(form.name)
        {
            auto server = endless_server(form);
            auto plan = gateway_plan();
            plan.routers = 1;
            plan.servers = 1;
            plan.listedServerAddress = [&](const std::string &) {
                return server.address();
            };
            auto fleet = gateway_fleet(std::move(plan));
            const auto &router = fleet.routers().front();
            auto statuses = std::vector<unsigned>(concurrentRequests);
            auto waits = std::vector<std::chrono::milliseconds>(concurrentRequests);
            auto callers = std::vector<std::thread>();
            for (auto index = std::size_t(0); index < concurrentRequests; ++index) {
                callers.emplace_back([&, index] {
                    const auto begin = std::chrono::steady_clock::now();
                    statuses[index] =
                        fleet.call(router, form.path, form.name.substr(0, 4) + std::to_string(index)).status;
                    waits[index] =
                        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begin);
                });
            }
            for (auto &caller : callers) {
                caller.join();
            }
            for (auto index = std::size_t(0); index < concurrentRequests; ++index) {
                // Only a server that says so has not run the request.
                const auto status = statuses[index];
                const auto isTrue = form.name == "refusal" ? status == 429 : status == 502 || status == 504;
                BOOST_TEST(isTrue, "status " << status);
                BOOST_TEST(waits[index].count() <= decisionTimeMs);
            }
            BOOST_TEST(router.process->peakMemoryKb() <= memoryLimitKb);
            BOOST_TEST(fleet.readLog(router).find("event=server_failed") != std::string::npos);
        }
    }
}

// Bytes without end from a faulty server must not fill the memory, however many requests it answers at once.
BOOST_AUTO_TEST_CASE(many_endless_answers_at_once_cost_bounded_memory_and_others_are_served)
{
    constexpr auto concurrentRequests = 120;
    for (const auto &form : answerForms()) {
        BOOST_TEST_CONTEXT(form.name)
        {
            auto server = endless_server(form);
            auto plan = gateway_plan();
            plan.routers = 1;
            plan.servers = 1;
            plan.listedServerAddress = [&](const std::string &) {
                return server.address();
            };
            auto fleet = gateway_fleet(std::move(plan));
            auto &router = fleet.routers().front();
            auto callers = std::vector<std::unique_ptr<raw_connection>>();
            for (auto index = 0; index < concurrentRequests; ++index) {
                callers.push_back(std::make_unique<raw_connection>(router.callers));
                callers.back()->send(requestFor(form.path, index));
            }
            const auto other = fleet.call(router, "/no-such-route/", "other");
            BOOST_TEST(other.status == 404U);
            for (auto &caller : callers) {
                BOOST_TEST(caller->read(8).starts_with("HTTP/1.1"));
            }
            BOOST_TEST(router.process->running());
            BOOST_TEST(router.process->peakMemoryKb() <= memoryLimitKb);
        }
    }
}

// A caller that does not read, behind a server that sends a stream without end, must not fill the memory.
BOOST_AUTO_TEST_CASE(callers_that_do_not_read_an_endless_stream_cost_bounded_memory)
{
    constexpr auto concurrentRequests = 120;
    auto server = endless_server({ "events", "/talk/x",
                                   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
                                   "data: " + std::string(300, 'a') + "\n\n" });
    auto plan = gateway_plan();
    plan.routers = 1;
    plan.servers = 1;
    plan.listedServerAddress = [&](const std::string &) {
        return server.address();
    };
    auto fleet = gateway_fleet(std::move(plan));
    auto &router = fleet.routers().front();
    auto callers = std::vector<std::unique_ptr<raw_connection>>();
    for (auto index = 0; index < concurrentRequests; ++index) {
        callers.push_back(std::make_unique<raw_connection>(router.callers));
        callers.back()->send(requestFor("/talk/x", index));
    }
    sleepMs(3'000);
    BOOST_TEST(fleet.call(router, "/no-such-route/", "other").status == 404U);
    BOOST_TEST(router.process->running());
    BOOST_TEST(router.process->peakMemoryKb() <= memoryLimitKb);
}

BOOST_AUTO_TEST_SUITE_END()
