#pragma once

#include "support/fleet.h"

#include <string>
#include <thread>
#include <vector>

namespace marjoramloom::test {

/// Plan of one data centre with \p routers routers and \p engines engines, every second of which serves "chat".
auto oneDataCentre(int engines, int routers, double tokenMs) -> fleet_plan;

/// Runs chat calls in parallel, each on its own thread.
class parallel_calls
{
public:
    explicit parallel_calls(fleet &testFleet);

    /// Starts a chat with or without a streamed answer. Its prompt asks the stand-in engine for \p tokens tokens.
    auto start(const router_handle &router, const std::string &prompt, int tokens, bool stream,
               const std::string &model = "chat") -> void;

    /// Waits for all calls and checks that each answer is complete and exact. Returns the number of answers that are
    /// not.
    auto finish() -> std::size_t;

private:
    /// A call, the thread that makes it, and its answer.
    struct running_call
    {
        std::string prompt;
        bool stream = false;
        http_answer answer;
        std::thread thread;
    };

    fleet &m_fleet;
    std::vector<std::unique_ptr<running_call>> m_calls;
};

/// Returns the live engine that received the request whose body contains \p text, or null.
auto findEngineByPrompt(fleet &testFleet, const std::string &text) -> standin *;

/// Number of requests that \p engine has started.
auto startedRequests(standin &engine) -> std::size_t;

} // namespace marjoramloom::test
