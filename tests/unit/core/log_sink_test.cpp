#include "marjoramloom/core/log_sink.h"

#include <boost/test/unit_test.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

/// A pipe whose reading end does not block.
struct pipe_fixture
{
    pipe_fixture()
    {
        BOOST_REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
    }
    ~pipe_fixture()
    {
        close(ends[0]);
        close(ends[1]);
    }

    auto readAll() -> std::string
    {
        auto text = std::string();
        char bytes[4096];
        for (auto count = read(ends[0], bytes, sizeof(bytes)); count > 0; count = read(ends[0], bytes, sizeof(bytes))) {
            text.append(bytes, static_cast<std::size_t>(count));
        }
        return text;
    }

    int ends[2];
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(log_sink_test, pipe_fixture)

BOOST_AUTO_TEST_CASE(lines_are_written_in_order)
{
    auto sink = log_sink(ends[1], {});
    const auto now = log_sink::clock::time_point(100s);
    sink.write("one", false, now);
    sink.write("two", true, now);
    sink.flush(now);
    BOOST_TEST(readAll() == "one\ntwo\n");
}

// Guards against a process that blocks when the reader of its log stops: lines are dropped, but urgent ones are kept.
BOOST_AUTO_TEST_CASE(a_stalled_reader_causes_drops_but_never_blocks)
{
    auto sink =
        log_sink(ends[1], { .bufferBytes = 10'000, .urgentBytes = 1'000, .bytesPerSecond = 1e9, .burstBytes = 1e9 });
    const auto now = log_sink::clock::time_point(100s);
    const auto line = std::string(99, 'x');
    for (auto count = 0; count < 2'000; ++count) {
        sink.write(line, false, now + std::chrono::milliseconds(count));
    }
    BOOST_TEST(sink.dropped() > 0U);
    const auto before = sink.dropped();
    sink.write("urgent", true, now + 3s);
    BOOST_TEST(sink.dropped() == before);
    auto text = readAll();
    sink.flush(now + 4s);
    text += readAll();
    sink.flush(now + 5s);
    text += readAll();
    BOOST_TEST(text.find("urgent\n") != std::string::npos);
    BOOST_TEST(text.find("event=log_dropped lines=" + std::to_string(before)) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(lines_beyond_the_rate_limit_are_dropped_except_urgent_ones)
{
    auto sink =
        log_sink(ends[1], { .bufferBytes = 10'000, .urgentBytes = 0, .bytesPerSecond = 100, .burstBytes = 200 });
    const auto now = log_sink::clock::time_point(100s);
    for (auto count = 0; count < 30; ++count) {
        sink.write("123456789", false, now);
    }
    sink.write("urgent", true, now);
    BOOST_TEST(sink.dropped() == 10U);
    sink.write("123456789", false, now + 2s);
    sink.flush(now + 2s);
    BOOST_TEST(sink.dropped() == 10U);
    BOOST_TEST(readAll().find("urgent\n123456789\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
