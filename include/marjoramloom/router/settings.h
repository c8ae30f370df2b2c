#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/knowledge/gateway_settings.h"

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

    std::string instance; ///< Unique name of this router.
    std::string dataCentre;
    std::string region;

    std::string callersListen; ///< IP:port.
    std::string operatorsListen;
    std::string peersListen;
    std::string operatorKeyHash; ///< SHA-256 of the operators' bearer key, hexadecimal.
    std::string peersAddress; ///< IP:port at which other routers reach peersListen, if it differs.
    std::vector<std::string> peers; ///< Routers to connect to before the instance list is known, IP:port.

    std::vector<std::string> platform; ///< Addresses of the object API, IP:port.
    std::chrono::milliseconds platformTimeout{ 2'000 };

    std::uint32_t threads = 2;
    std::uint32_t bodyLimitBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{ 10'000 };
    std::chrono::milliseconds idleTimeout{ 60'000 };
    std::chrono::milliseconds drainLimit{ 3'600'000 }; ///< Maximum wait for unfinished requests at a stop.
    std::uint32_t queueLimit = 20'000; ///< Maximum waiting requests of all accounts together.

    std::chrono::milliseconds heartbeat{ 500 };
    std::chrono::milliseconds peerTimeout{ 2'000 };
    std::chrono::milliseconds digestPeriod{ 500 };

    double pullThreshold = 1'000; ///< Weighted tokens; see dispatcher_settings::pullThreshold.
    bool suspendLongWork = true;
    double hedgeBudget = 0.05; ///< Maximum hedges, as a fraction of calls.
    double retryBudget = 0.1; ///< Maximum retries, as a fraction of calls.

    std::optional<gateway_settings>
        gateway; ///< Set if this router gets its routes and backend servers from the platform.

    log_level logLevel = log_level::info;
};

/// Reads and validates a settings file. Every unknown key, wrong type, value out of range or contradiction is an error.
/// The error names the line and, for a value out of range, the allowed range. Thread safe.
auto loadSettings(const std::string &path, last_reason &why) -> std::optional<settings>;

/// Parses and validates settings text. Error messages name it as \p source. Thread safe.
auto parseSettings(const std::string &text, const std::string &source, last_reason &why) -> std::optional<settings>;

} // namespace marjoramloom
