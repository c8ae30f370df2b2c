#pragma once

#include <map>
#include <string>
#include <vector>

namespace marjoramloom::load {

/// What to send.
struct load_plan
{
    std::vector<std::string> routers; ///< IP:port of callers' listeners.
    std::vector<std::string> accounts;
    std::vector<std::string> orderServers; ///< IP:port of the stand-ins that carry out orders.
    int requests = 300;
    int concurrency = 16;
    int seed = 1;
};

/// How one request went.
struct load_outcome
{
    std::string account;
    std::string profile;
    std::string idempotencyKey; ///< Of orders.
    bool whole = false; ///< The answer came whole and is the right one.
    bool refused = false; ///< The router said that it was not run.
    double seconds = 0;
    std::string problem;
};

/// Sends the mix of \p plan and waits for every answer.
auto runLoad(const load_plan &plan) -> std::vector<load_outcome>;

/// How often each idempotency key was executed, by the stand-ins' own record, which has one line per execution.
auto countExecutions(const std::vector<std::string> &orderServers) -> std::map<std::string, int>;

} // namespace marjoramloom::load
