#pragma once

#include <map>
#include <string>
#include <vector>

namespace marjoramloom::load {

/// Parameters of the load: its targets and size.
struct load_plan
{
    std::vector<std::string> routers; ///< IP:port of the routers' listeners for callers.
    std::vector<std::string> accounts;
    std::vector<std::string> orderServers; ///< IP:port of the stand-ins that execute orders.
    int requests = 300;
    int concurrency = 16; ///< Requests in flight at once.
    int seed = 1;
};

/// Result of one request.
struct load_outcome
{
    std::string account;
    std::string profile;
    std::string idempotencyKey; ///< Set for orders only.
    bool correct = false; ///< The answer is complete and has the expected content.
    bool refused = false; ///< The router reported that the request was not run.
    double seconds = 0;
    std::string problem; ///< Status, error and start of the body if the answer is not correct.
};

/// Sends the requests of \p plan and waits for every answer. Returns the results in the order of the requests.
auto runLoad(const load_plan &plan) -> std::vector<load_outcome>;

/// Returns how often each idempotency key was executed, from the execution records of the stand-ins \p orderServers.
auto countExecutions(const std::vector<std::string> &orderServers) -> std::map<std::string, int>;

} // namespace marjoramloom::load
