#include "marjoramloom/core/event_loop.h"

#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/test/unit_test.hpp>
#include <stdexcept>

using namespace marjoramloom;

BOOST_AUTO_TEST_SUITE(event_loop_test)

// An exception that left a handler ended the process.
BOOST_AUTO_TEST_CASE(an_exception_in_a_handler_is_counted_and_the_other_handlers_run)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto handled = 0;
    boost::asio::post(context, [&] { ++handled; });
    boost::asio::post(context, [] { throw std::length_error("field value too large"); });
    boost::asio::post(context, [] { throw 5; });
    boost::asio::post(context, [&] { ++handled; });
    runEventLoop(context, counters);
    BOOST_TEST(handled == 2);
    BOOST_TEST(counters.at("marjoramloom_unexpected_exceptions_total", "task=\"event loop\"").value() == 2U);
}

// A background task that an exception ended was never started again.
BOOST_AUTO_TEST_CASE(a_task_that_an_exception_ended_starts_again)
{
    auto context = boost::asio::io_context(1);
    auto counters = counter_registry();
    auto runs = 0;
    runTask(context.get_executor(), "servers", counters, [&]() -> boost::asio::awaitable<void> {
        if (++runs < 3) {
            throw std::runtime_error("unreadable");
        }
        co_return;
    });
    runEventLoop(context, counters);
    BOOST_TEST(runs == 3);
    BOOST_TEST(counters.at("marjoramloom_unexpected_exceptions_total", "task=\"servers\"").value() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
