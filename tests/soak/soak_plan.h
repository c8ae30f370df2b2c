#pragma once

#include "marjoramloom/core/enum_names.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <vector>

namespace marjoramloom::soak {

enum class fault_kind {
    pauseRouter, ///< SIGSTOP, and SIGCONT at the end.
    killRouter, ///< SIGKILL, and a new start at the end.
    stopRouter, ///< SIGTERM, and a new start when the process has ended.
    reloadRouter, ///< SIGHUP.
    storeOutage, ///< The store answers 503.
    storeSilent, ///< One router's connections to the store go silent, new ones too.
    storeReset, ///< All connections of one router to the store end.
    serverPaused, ///< SIGSTOP of a backend server.
    serverSilent, ///< Connections to a server go silent; new ones work.
    serverAnswersLost, ///< What a server answers on connections open now is lost.
    serverReset, ///< Connections to a server end.
    serverLeaves, ///< A server says that it leaves, and comes back as another run at the end.
    keyRevoked, ///< The key of an account is replaced.
    configurationChange, ///< A new version that changes nothing.
};

/// One fault of a run.
struct planned_fault
{
    fault_kind kind = fault_kind::pauseRouter;
    std::chrono::milliseconds at{ 0 };
    std::chrono::milliseconds lasts{ 0 };
    std::uint32_t target = 0; ///< Number of the router or server, taken modulo their count.
};

/// Faults drawn from \p seed over \p length: some alone, some overlapping, some in series on one target.
auto drawFaults(std::uint64_t seed, std::chrono::milliseconds length) -> std::vector<planned_fault>;

} // namespace marjoramloom::soak

template<>
struct marjoramloom::enum_names<marjoramloom::soak::fault_kind>
{
    using kind = marjoramloom::soak::fault_kind;
    using row = enum_name<kind>;
    static constexpr std::array table{
        row{ kind::pauseRouter, "pause_router" },   row{ kind::killRouter, "kill_router" },
        row{ kind::stopRouter, "stop_router" },     row{ kind::reloadRouter, "reload_router" },
        row{ kind::storeOutage, "store_outage" },   row{ kind::storeSilent, "store_silent" },
        row{ kind::storeReset, "store_reset" },     row{ kind::serverPaused, "server_paused" },
        row{ kind::serverSilent, "server_silent" }, row{ kind::serverAnswersLost, "server_answers_lost" },
        row{ kind::serverReset, "server_reset" },   row{ kind::serverLeaves, "server_leaves" },
        row{ kind::keyRevoked, "key_revoked" },     row{ kind::configurationChange, "configuration_change" },
    };
};
