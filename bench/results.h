#pragma once

#include "workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom::bench {

/// Times and result of one request.
struct request_outcome
{
    std::size_t account = 0;
    std::size_t classIndex = 0;
    double arrivedSeconds = 0; ///< Since the end of the warm-up; -1 during it.
    double waitSeconds = 0; ///< Until it first ran on an engine.
    double firstTokenSeconds = 0; ///< From its arrival until the token reached its router.
    bool started = false;
    bool refused = false;
    bool finished = false;
};

/// The service that each account has received up to one time.
struct service_sample
{
    double seconds = 0; ///< Since the end of the warm-up.
    std::vector<double> received; ///< Weighted tokens, by account.
};

/// Load of the engines at one time.
struct load_sample
{
    double seconds = 0; ///< Since the end of the warm-up.
    double busyFraction = 0; ///< Of all slots.
    bool hasDelayedRequest = false; ///< Some request has waited for longer than control messages take.
    std::size_t waiting = 0; ///< Requests for the model that no engine runs.
};

/// Envelopes between routers.
struct control_traffic
{
    std::uint64_t envelopes = 0;
    std::uint64_t bytes = 0; ///< Encoded size.
    std::vector<std::uint64_t> bytesByRouter; ///< Sent bytes.
};

/// Measurements of one run.
struct run_results
{
    std::vector<request_outcome> requests;
    std::vector<service_sample> service;
    std::vector<load_sample> load;
    control_traffic control;
    double seconds = 0; ///< Measured time, without the warm-up.
    double largestRequestCost = 0; ///< Weighted tokens of the costliest request.
    double longTokens = 0; ///< Tokens generated for long work.
    double shortTokens = 0;
    double repeatedPrefillTokens = 0; ///< Uncached prompt tokens prefilled again after suspensions and in hedges.
    std::uint64_t suspensions = 0;
    std::uint64_t hedges = 0;
    std::uint64_t remoteGrants = 0; ///< By a dispatcher other than the one the ticket was submitted to.
    std::uint64_t grants = 0;
};

} // namespace marjoramloom::bench
