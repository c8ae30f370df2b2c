#pragma once

#include "marjoramloom/core/enum_names.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace marjoramloom::soak {

/// Faults and planned operations that a run injects.
enum class fault_kind {
    pauseRouter, ///< SIGSTOP; SIGCONT at the end.
    killRouter, ///< SIGKILL; restart at the end.
    killAllRouters, ///< SIGKILL of all routers at once; restart at the end.
    stopRouter, ///< SIGTERM; restart when the process has exited.
    reloadRouter, ///< SIGHUP.
    storeOutage, ///< The store answers 503.
    storeSilent, ///< One router's connections to the store, also new ones, carry no more data.
    storeReset, ///< All connections of one router to the store are reset.
    serverPaused, ///< SIGSTOP of a backend server; SIGCONT at the end.
    serverSilent, ///< Open connections to a server carry no more data; new ones work.
    serverAnswersLost, ///< Answers of a server on open connections are lost; its requests arrive.
    serverReset, ///< Connections to a server are reset.
    serverLeaves, ///< A server is listed as draining; at the end it is listed as ready, as a new incarnation.
    serverSaysLeaving, ///< A server says in its answers that it leaves; at the end it is listed as a new incarnation.
    serverAsksPause, ///< A server refuses all requests and asks for a pause by Retry-After.
    keyRevoked, ///< The key of a client account is replaced.
    configurationChange, ///< A new configuration version with the same content is written.
    storeRestored, ///< At the end, the store returns from its copy of the start; all is then written again.
    versionJoins, ///< The servers of a second software version are listed for the first time. Not drawn at random.
};

/// One fault of a run.
struct planned_fault
{
    fault_kind kind = fault_kind::pauseRouter;
    std::chrono::milliseconds at{ 0 }; ///< Start, from the start of the run.
    std::chrono::milliseconds duration{ 0 };
    std::uint32_t target = 0; ///< Index of the router or server, modulo their number.
};

/// Generates random faults that start within \p length, sorted by start: some alone, some overlapping, some in series
/// on one target. The same \p seed gives the same faults.
auto generateFaults(std::uint64_t seed, std::chrono::milliseconds length) -> std::vector<planned_fault>;

/// Whether the servers of a second software version join in the run with \p seed. In other runs they are there from the
/// start.
auto doesVersionJoin(std::uint64_t seed) -> bool;

} // namespace marjoramloom::soak

template<>
struct marjoramloom::enum_names<marjoramloom::soak::fault_kind>
{
    using kind = marjoramloom::soak::fault_kind;
    using row = enum_name<kind>;
    static constexpr std::array table{
        row{ kind::pauseRouter, "pause_router" },
        row{ kind::killRouter, "kill_router" },
        row{ kind::killAllRouters, "kill_all_routers" },
        row{ kind::stopRouter, "stop_router" },
        row{ kind::reloadRouter, "reload_router" },
        row{ kind::storeOutage, "store_outage" },
        row{ kind::storeSilent, "store_silent" },
        row{ kind::storeReset, "store_reset" },
        row{ kind::serverPaused, "server_paused" },
        row{ kind::serverSilent, "server_silent" },
        row{ kind::serverAnswersLost, "server_answers_lost" },
        row{ kind::serverReset, "server_reset" },
        row{ kind::serverLeaves, "server_leaves" },
        row{ kind::serverSaysLeaving, "server_says_leaving" },
        row{ kind::serverAsksPause, "server_asks_pause" },
        row{ kind::keyRevoked, "key_revoked" },
        row{ kind::configurationChange, "configuration_change" },
        row{ kind::storeRestored, "store_restored" },
        row{ kind::versionJoins, "version_joins" },
    };
};
