// Measures what the accounting of memory costs: the processor time of one request on a kept connection, from its first
// byte to the last one of its answer, with and without a memory budget. Both are measured in turns in one run.

#include "marjoramloom/router/http_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <ctime>
#include <thread>
#include <vector>

namespace {

using namespace marjoramloom;
using tcp = boost::asio::ip::tcp;

constexpr auto requestsPerRound = 4'000;
constexpr auto rounds = 15;
constexpr auto bodyBytes = std::size_t(16) << 10U;
/// Cost with the accounting, as a multiple of the cost without it.
constexpr auto targetRatio = 1.1;

/// Does what a gateway does to the memory of a connection, and answers.
struct relaying_handler
{
    auto handle(http_exchange &exchange) -> boost::asio::awaitable<void>
    {
        exchange.memory().setAccount("alpha");
        auto head = boost::beast::http::response_header<>();
        head.result(boost::beast::http::status::ok);
        exchange.memory().hold(memory_use::forwarding, connection_memory::FORWARDING_BYTES);
        exchange.memory().hold(memory_use::answer, answer.capacity());
        co_await exchange.relayComplete(head, answer);
        exchange.memory().hold(memory_use::answer, 0);
        exchange.memory().hold(memory_use::forwarding, 0);
    }

    std::string answer = std::string(1'000, 'a');
};

auto threadSeconds() -> double
{
    auto used = timespec();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    constexpr auto nanosecond = 1e-9;
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) * nanosecond;
}

/// Processor microseconds of the server's thread for each request of one round.
auto measure(bool hasBudget) -> double
{
    auto counters = counter_registry();
    auto budget = memory_budget(memory_budget::limitFor(0), counters); // Outlives the connections.
    auto context = boost::asio::io_context(1);
    auto handler = relaying_handler();
    auto server = std::make_shared<http_server<relaying_handler>>(context, handler, counters, "bench", http_limits(),
                                                                  session_concurrency::singleThread);
    if (hasBudget) {
        server->setMemoryBudget(budget);
    }
    auto why = last_reason();
    const auto port = server->listen("127.0.0.1:0", why);
    if (!port) {
        std::fprintf(stderr, "%s\n", why.text().c_str());
        std::exit(1);
    }
    auto seconds = 0.0;
    auto loop = std::thread([&] {
        const auto begin = threadSeconds();
        context.run();
        seconds = threadSeconds() - begin;
    });
    auto clientContext = boost::asio::io_context();
    auto socket = tcp::socket(clientContext);
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), *port));
    const auto request = "POST / HTTP/1.1\r\nHost: bench\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n"
        + std::string(bodyBytes, 'b');
    const auto answerHead = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
    auto answer = std::vector<char>(std::string_view(answerHead).size() + handler.answer.size());
    for (auto index = 0; index < requestsPerRound; ++index) {
        boost::asio::write(socket, boost::asio::buffer(request));
        boost::asio::read(socket, boost::asio::buffer(answer));
    }
    context.stop();
    loop.join();
    constexpr auto microseconds = 1e6;
    return seconds / requestsPerRound * microseconds;
}

auto median(std::vector<double> values) -> double
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

} // namespace

auto main() -> int
{
    auto without = std::vector<double>();
    auto with = std::vector<double>();
    auto ratios = std::vector<double>();
    for (auto round = 0; round < rounds; ++round) {
        without.push_back(measure(false));
        with.push_back(measure(true));
        ratios.push_back(with.back() / without.back());
    }
    std::printf("request without a memory budget: %.2f us, with: %.2f us, ratio %.3f (target %.1f; medians of %d)\n",
                median(without), median(with), median(ratios), targetRatio, rounds);
    return median(ratios) <= targetRatio ? 0 : 1;
}
