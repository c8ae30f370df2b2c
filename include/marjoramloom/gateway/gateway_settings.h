#pragma once

#include "marjoramloom/gateway/gateway_retry_budget.h"

#include <chrono>
#include <cstdint>

namespace marjoramloom {

/// Settings of a router that takes its routes from the platform; docs/SETTINGS.md lists their keys.
struct gateway_settings
{
    /// Keys stop being served this long before a revocation must be in force: for the way to a backend server.
    static constexpr std::chrono::milliseconds KEY_MARGIN{ 500 };

    std::chrono::milliseconds keyLifetime{ 4'500 }; ///< How long keys are served after a proof that they are in force.
    std::chrono::milliseconds graceTime{ 8'000 }; ///< From the signal to stop until the process is ended.
    double cores = 1; ///< Share of a processor core that the router may use; large ones dispatch for the others.
    std::uint32_t descriptors = 1'024; ///< File descriptors that the process may use.
    gateway_retry_budget_settings repeats;
};

} // namespace marjoramloom
