#pragma once

#include "marjoramloom/store/store_client.h"
#include "support/fleet.h"
#include "support/run_coroutine.h"

namespace marjoramloom::test {

/// A test server that implements the platform's object API and injects faults, and a context for its clients.
struct store_fixture
{
    boost::asio::io_context context;
    counter_registry counters;
    standin platform{ "platform", { "platform" }, "/dev/null" };

    template<typename Value>
    auto run(boost::asio::awaitable<Value> work) -> Value
    {
        auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
        context.restart();
        context.run();
        return result.get();
    }
};

} // namespace marjoramloom::test
