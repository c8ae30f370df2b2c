#pragma once

#include "support/gateway_fleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace marjoramloom::test {

/// Value of a counter or gauge of \p router; 0 if it does not exist.
inline auto metric(const router_handle &router, const std::string &name) -> double
{
    const auto text = "\n" + httpCall(router.operators, { "GET", "/metrics", {}, "" }).body;
    const auto found = text.find("\n" + name + " ");
    return found == std::string::npos ? 0 : std::stod(text.substr(found + name.size() + 2));
}

inline auto openedTunnels(const router_handle &router) -> double
{
    return metric(router, "marjoramloom_tunnels_total{end=\"opened\"}");
}

/// Calls \p work(0) to \p work(threads - 1) at the same time.
inline auto runInThreads(int threads, const std::function<void(int index)> &work) -> void
{
    auto running = std::vector<std::thread>();
    for (auto index = 0; index < threads; ++index) {
        running.emplace_back([&work, index] { work(index); });
    }
    for (auto &thread : running) {
        thread.join();
    }
}

/// Sends requests to the tiny router until all others have answered some, which they do once it has reports of them.
inline auto waitForTunnels(gateway_fleet &fleet) -> void
{
    const auto &routers = fleet.routers();
    auto number = 0;
    BOOST_REQUIRE(waitUntil(10'000, [&] {
        runInThreads(8, [&, first = number](int index) {
            fleet.call(routers.front(), "/read/warm", "warm-" + std::to_string(first + index));
        });
        number += 8;
        return std::all_of(routers.begin() + 1, routers.end(), [](const router_handle &router) {
            return metric(router, "marjoramloom_answer_seconds_count") > 0;
        });
    }));
}

} // namespace marjoramloom::test
