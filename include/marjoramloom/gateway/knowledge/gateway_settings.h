#pragma once

#include "marjoramloom/gateway/decisions/gateway_retry_budget.h"

#include <chrono>
#include <cstdint>

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
    std::uint32_t memoryMegabytes = 0; ///< Memory that the process may use, in units of 2^20 bytes; 0 if not known.
    gateway_retry_budget_settings retryBudgetSettings; ///< Limits of the retries to the servers of each service.
};

} // namespace marjoramloom
