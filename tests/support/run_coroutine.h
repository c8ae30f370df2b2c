#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace marjoramloom {

/// Runs \p work to its end on a new io_context and returns its value. Blocks.
template<typename Value>
auto runCoroutine(boost::asio::awaitable<Value> work) -> Value
{
    auto context = boost::asio::io_context();
    auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
    context.run();
    return result.get();
}

} // namespace marjoramloom
