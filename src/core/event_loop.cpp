#include "marjoramloom/core/event_loop.h"

#include "marjoramloom/core/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <exception>

namespace marjoramloom {

namespace asio = boost::asio;

namespace {

/// Delay before a task that failed starts again.
constexpr auto restartDelay = std::chrono::milliseconds(100);

auto noteFailure(counter_registry &counters, std::string_view task, std::string_view detail) -> void
{
    counters.at("marjoramloom_unexpected_exceptions_total", "task=\"" + std::string(task) + "\"").add();
    log_line(log_level::error, "unexpected_exception").with("task", task).with("detail", detail);
}

/// Describes the exception that is being handled.
auto describeException() -> std::string
{
    try {
        throw;
    } catch (const std::exception &failure) {
        return failure.what();
    } catch (...) {
        return "not a standard exception";
    }
}

auto runRepeatedly(std::string name, counter_registry &counters, std::function<asio::awaitable<void>()> task)
    -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (true) {
        try {
            co_await task();
            co_return;
        } catch (...) {
            noteFailure(counters, name, describeException());
        }
        auto error = boost::system::error_code();
        timer.expires_after(restartDelay);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

} // namespace

auto runEventLoop(asio::io_context &context, counter_registry &counters) -> void
{
    while (true) {
        try {
            context.run();
            return;
        } catch (...) {
            noteFailure(counters, "event loop", describeException());
        }
    }
}

auto runTask(const asio::any_io_executor &executor, std::string name, counter_registry &counters,
             std::function<asio::awaitable<void>()> task) -> void
{
    asio::co_spawn(executor, runRepeatedly(std::move(name), counters, std::move(task)), asio::detached);
}

} // namespace marjoramloom
