#include "marjoramloom/router/output_queue.h"

#include "marjoramloom/core/counters.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr auto smallBufferBytes = 4'096;

/// A queue for one client, whose connection takes few bytes unless it reads.
class queue_fixture
{
public:
    explicit queue_fixture(std::size_t limitBytes, duration stallTimeout = std::chrono::seconds(20))
        : m_budget(limitBytes, m_counters)
        , m_memory(&m_budget, "127.0.0.1:1")
    {
        auto acceptor = tcp::acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        acceptor.set_option(boost::asio::socket_base::receive_buffer_size(smallBufferBytes));
        client.open(tcp::v4());
        client.set_option(boost::asio::socket_base::receive_buffer_size(smallBufferBytes));
        client.connect(acceptor.local_endpoint());
        acceptor.accept(m_socket);
        m_socket.set_option(boost::asio::socket_base::send_buffer_size(smallBufferBytes));
        queue = std::make_shared<output_queue>(m_socket, m_memory, stallTimeout);
    }

    ~queue_fixture()
    {
        queue->detach();
    }

    queue_fixture(const queue_fixture &) = delete;
    auto operator=(const queue_fixture &) -> queue_fixture & = delete;

    /// Starts \p operation, whose result is stored in \p result once it ends.
    auto start(boost::asio::awaitable<bool> operation, std::optional<bool> &result) -> void
    {
        boost::asio::co_spawn(m_context, std::move(operation),
                              [&result](const std::exception_ptr &, bool value) { result = value; });
        m_context.restart();
        m_context.poll();
    }

    /// Runs the event loop until \p result is known.
    auto finish(const std::optional<bool> &result) -> bool
    {
        m_context.restart();
        while (!result) {
            m_context.run_one();
        }
        return *result;
    }

    /// Reads everything up to \p size bytes while the event loop runs.
    auto read(std::size_t size) -> std::string
    {
        auto bytes = std::string(size, '\0');
        auto result = std::optional<bool>();
        boost::asio::async_read(client, boost::asio::buffer(bytes),
                                [&result](const boost::system::error_code &error, std::size_t) { result = !error; });
        BOOST_TEST(finish(result));
        return bytes;
    }

    auto evictByAnother(std::size_t bytes) -> bool
    {
        auto other = connection_memory(&m_budget, "127.0.0.2:1");
        return other.hold(memory_use::request, bytes);
    }

private:
    boost::asio::io_context m_context;
    counter_registry m_counters;
    memory_budget m_budget;
    connection_memory m_memory;
    tcp::socket m_socket{ m_context };

public:
    tcp::socket client{ m_context };
    std::shared_ptr<output_queue> queue;
};

auto numbered(std::size_t size) -> std::string
{
    auto text = std::string();
    for (auto number = 0; text.size() < size; ++number) {
        text += std::to_string(number) + ",";
    }
    text.resize(size);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(output_queue_test)

// A server closes a stream that is unread for some seconds, so a caller that pauses must not keep it from being read.
BOOST_AUTO_TEST_CASE(a_caller_that_pauses_does_not_hold_up_the_stream_and_gets_all_of_it_in_order)
{
    auto fixture = queue_fixture(1'000'000);
    const auto text = numbered(100'000);
    constexpr auto partBytes = std::size_t(500);
    for (auto begin = std::size_t(0); begin < text.size(); begin += partBytes) {
        auto written = std::optional<bool>();
        fixture.start(fixture.queue->write(std::string_view(text).substr(begin, partBytes)), written);
        BOOST_TEST_REQUIRE(written.value_or(false));
    }
    auto drained = std::optional<bool>();
    fixture.start(fixture.queue->drain(), drained);
    BOOST_TEST(!drained.has_value());
    BOOST_TEST((fixture.read(text.size()) == text));
    BOOST_TEST(fixture.finish(drained));
}

// A caller that does not read an endless stream must not fill the memory.
BOOST_AUTO_TEST_CASE(the_stream_is_not_read_on_once_too_much_is_queued_or_there_is_no_room)
{
    for (const auto limit : { std::size_t(20'000), std::size_t(10'000'000) }) {
        auto fixture = queue_fixture(limit);
        const auto part = std::string(1'000, 'a');
        auto count = std::size_t(0);
        auto written = std::optional<bool>(true);
        while (written && count < 1'000) {
            written.reset();
            fixture.start(fixture.queue->write(part), written);
            ++count;
        }
        BOOST_TEST_REQUIRE(!written.has_value());
        constexpr auto socketBytes = std::size_t(100'000);
        BOOST_TEST(count * part.size() < std::min(limit, output_queue::MAX_QUEUED_BYTES) + socketBytes);
        fixture.read(count * part.size());
        BOOST_TEST(fixture.finish(written));
    }
}

BOOST_AUTO_TEST_CASE(a_stalled_caller_loses_its_connection_and_its_memory_is_released)
{
    const auto text = numbered(100'000);
    {
        auto fixture = queue_fixture(1'000'000, std::chrono::milliseconds(50));
        auto written = std::optional<bool>();
        fixture.start(fixture.queue->write(text), written);
        BOOST_TEST(written.value_or(false));
        auto drained = std::optional<bool>();
        fixture.start(fixture.queue->drain(), drained);
        BOOST_TEST(!fixture.finish(drained));
    }
    auto fixture = queue_fixture(110'000);
    auto written = std::optional<bool>();
    fixture.start(fixture.queue->write(text), written);
    BOOST_TEST(written.value_or(false));
    BOOST_TEST(fixture.evictByAnother(50'000));
    BOOST_TEST(fixture.queue->hasFailed());
}

BOOST_AUTO_TEST_SUITE_END()
