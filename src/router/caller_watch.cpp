#include "router/caller_watch.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace marjoramloom {

namespace asio = boost::asio;

auto cancelOnCallerDisconnect(http_exchange &exchange, std::shared_ptr<call_control> control) -> asio::awaitable<void>
{
    co_await exchange.waitForCallerDisconnect();
    control->cancel();
    auto neverExpires = asio::steady_timer(co_await asio::this_coro::executor, time_point::max());
    co_await neverExpires.async_wait(asio::use_awaitable);
}

} // namespace marjoramloom
