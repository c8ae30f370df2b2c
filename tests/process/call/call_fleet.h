#pragma once

#include "support/fleet.h"

#include <string>
#include <thread>
#include <vector>

namespace marjoramloom::test {

/// One data centre with \p engines engines, every other of which serves "chat", and \p routers routers.
auto oneCentre(int engines, int routers, double tokenMs) -> fleet_plan;

/// Calls that run at the same time, each on a thread of its own.
class parallel_calls
{
public:
    explicit parallel_calls(fleet &all);

    /// Starts a streamed or plain chat; its prompt asks for \p tokens tokens.
    auto start(const router_handle &router, const std::string &prompt, int tokens, bool stream,
               const std::string &model = "chat") -> void;

    /// Waits for all, and checks each answer byte for byte. Returns how many were not whole.
    auto finish() -> std::size_t;

private:
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

/// The running engine of the request whose prompt holds \p text, or null.
auto engineOf(fleet &all, const std::string &text) -> standin *;

/// How many requests \p engine has started.
auto startedAt(standin &engine) -> std::size_t;

} // namespace marjoramloom::test
