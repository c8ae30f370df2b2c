#pragma once

#include "workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom::bench {

/// What became of one request.
struct request_outcome
{
    std::size_t account = 0;
    std::size_t kind = 0;
    double arrivedSeconds = 0; ///< Since the start of the run.
    double waitSeconds = 0; ///< Until it first ran on an engine.
    double firstTokenSeconds = 0; ///< From arrival, as its router saw it.
    bool started = false;
    bool refused = false;
    bool finished = false;
};

/// The service that each account received, at one moment.
struct service_sample
{
    double seconds = 0;
    std::vector<double> received; ///< Weighted tokens, by account.
};

/// How busy the engines were at one moment.
struct load_sample
{
    double seconds = 0;
    double busyPart = 0; ///< Of all slots.
    bool workWaits = false; ///< Some request has waited for longer than control messages take.
    std::size_t waiting = 0;
};

/// Messages between routers.
struct control_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< As the routers' codec writes them.
    std::vector<std::uint64_t> bytesByRouter; ///< Sent.
};

/// Everything that one run recorded.
struct run_results
{
    std::vector<request_outcome> requests;
    std::vector<service_sample> service;
    std::vector<load_sample> load;
    control_traffic control;
    double seconds = 0; ///< Measured, after the warm-up.
    double largestRequestCost = 0; ///< Weighted tokens of the costliest request.
    double longTokens = 0; ///< Generated for long work.
    double shortTokens = 0;
    double repeatedPrefillTokens = 0; ///< Prompt tokens read again after suspensions and hedges.
    std::uint64_t suspensions = 0;
    std::uint64_t hedges = 0;
    std::uint64_t remoteGrants = 0;
    std::uint64_t grants = 0;
};

} // namespace marjoramloom::bench
