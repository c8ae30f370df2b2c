#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/gateway_settings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marjoramloom {

/// Settings of one router process; docs/SETTINGS.md lists every key.
struct settings
{
    std::string source; ///< File that the settings were read from.

    std::string instance; ///< Unique name.
    std::string dataCentre;
    std::string region;

    std::string callersListen; ///< IP:port.
    std::string operatorsListen;
    std::string peersListen;
    std::string operatorKeyHash; ///< SHA-256 of the operators' bearer key, hexadecimal.
    std::string peersAddress; ///< IP:port at which other routers reach peersListen, where it is another one.
    std::vector<std::string> peers; ///< Peers to dial before the instance list is known, IP:port.

    std::vector<std::string> platform; ///< Addresses of the object API, IP:port.
    std::chrono::milliseconds platformTimeout{ 2'000 };

    std::uint32_t threads = 2;
    std::uint32_t bodyLimitBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{ 10'000 };
    std::chrono::milliseconds idleTimeout{ 60'000 };
    std::chrono::milliseconds drainLimit{ 3'600'000 }; ///< Longest wait for running requests at a stop.
    std::uint32_t queueLimit = 20'000; ///< Waiting requests of all accounts.

    std::chrono::milliseconds heartbeat{ 500 };
    std::chrono::milliseconds peerTimeout{ 2'000 };
    std::chrono::milliseconds digestPeriod{ 500 };

    double pullThreshold = 1'000; ///< Weighted tokens.
    bool suspendLongWork = true;
    double hedgeBudget = 0.05; ///< Hedges as a fraction of calls.
    double retryBudget = 0.1; ///< Retries as a fraction of calls.

    std::optional<gateway_settings> gateway; ///< Set where routes and backend servers come from the platform.

    log_level logLevel = log_level::info;
};

/// Reads and checks a settings file. Every unknown key, wrong type, value out of range or contradiction is an error
/// that names the line and the allowed range. Thread safe.
auto loadSettings(const std::string &path, last_reason &why) -> std::optional<settings>;

/// Checks settings text; \p source names it in errors. Thread safe.
auto parseSettings(const std::string &text, const std::string &source, last_reason &why) -> std::optional<settings>;

} // namespace marjoramloom
