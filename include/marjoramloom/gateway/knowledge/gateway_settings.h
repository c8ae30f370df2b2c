#pragma once

#include "marjoramloom/gateway/decisions/gateway_retry_budget.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace marjoramloom {

/// Settings of a router that reads its routes from the platform. docs/SETTINGS.md lists the keys of the settings file.
struct gateway_settings
{
    /// The router stops accepting keys this long before a revocation must be in force, as a request takes time to reach
    /// its backend server.
    static constexpr std::chrono::milliseconds KEY_EXPIRY_MARGIN{ 500 };

    std::chrono::milliseconds keyLifetime{ 4'500 }; ///< How long keys are accepted after they were validated.
    std::chrono::milliseconds gracePeriod{ 8'000 }; ///< From the stop signal until the process is killed.
    double cores = 1; ///< CPU cores that the router may use; routers with more cores are preferred as dispatchers.
    std::uint32_t maxFileDescriptors = 1'024; ///< File descriptors that the process may use.
    bool limitEngineMemory = false; ///< Placements must not exceed the engines' KV memory: the contract `pressure`.
    /// The routers of a data centre decide together which of them take new connections.
    bool sharedRotation = false;
    /// A router that is behind refuses requests by the accounts' shares, not all of them.
    bool fairRefusals = false;
    /// A router with too little processor time for its callers passes their connections to others of its data centre.
    bool tunnels = true;
    std::uint32_t memoryMegabytes = 0; ///< Memory that the process may use, in units of 2^20 bytes; 0 if not known.
    gateway_retry_budget_settings retryBudgetSettings; ///< Limits of the retries to the servers of each service.
    /// From the store's acknowledgement of an evacuation until nothing is sent to the data centre any more; 0 where
    /// data centres are not evacuated.
    std::chrono::milliseconds evacuationLimit{ 0 };
    /// A cold engine gets at most its service's rate times this, plus the tolerance, in any second; 0 for no limit.
    double coldOvershoot = 0;
    double coldTolerance = 0; ///< Requests.
    /// Regions by data centre, in addition to what the routers state about their own data centres.
    std::map<std::string, std::string> regions = {};
};

} // namespace marjoramloom
