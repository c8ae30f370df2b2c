#pragma once

#include "marjoramloom/call/connection_pool.h"
#include "marjoramloom/core/counters.h"
#include "marjoramloom/core/latency_histogram.h"
#include "marjoramloom/gateway/account_usage.h"
#include "marjoramloom/gateway/admission_policy.h"
#include "marjoramloom/gateway/event_loop_delay.h"
#include "marjoramloom/gateway/fleet_loads.h"
#include "marjoramloom/gateway/gateway_retry_budget.h"
#include "marjoramloom/gateway/gateway_settings.h"
#include "marjoramloom/gateway/key_freshness.h"
#include "marjoramloom/gateway/pending_placements.h"
#include "marjoramloom/gateway/prompt_placement.h"
#include "marjoramloom/gateway/route_table.h"
#include "marjoramloom/gateway/router_roster.h"
#include "marjoramloom/gateway/server_directory.h"
#include "marjoramloom/gateway/server_loads.h"

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <memory>
#include <string>

namespace marjoramloom {

/// A prompt that an engine reads, to be told to the other routers.
struct prompt_read
{
    std::uint64_t server = 0; ///< Run of the engine.
    std::vector<prompt_part> parts; ///< Without the last one.
    std::uint32_t ownTokens = 0;
};

/// What the requests of a router share. All of it belongs to the router's only thread.
struct gateway_state
{
    gateway_state(const gateway_settings &given, router_identity self, counter_registry &registry, std::uint64_t seed);

    /// Takes over new settings.
    auto applySettings(const gateway_settings &given) -> void;

    /// The engine whose run is \p server reads \p prompt: its shared parts are kept there for others. Returns what was
    /// noted.
    auto noteRead(std::uint64_t server, const prompt_outline &prompt) -> prompt_read;

    /// The budget of repeats to the servers of \p service.
    auto repeatsOf(const std::string &service) -> gateway_retry_budget &;

    /// Idle connections that this router may keep to one server of \p service: its part of half of what the server
    /// accepts from all routers. The other half is for requests that open new ones.
    [[nodiscard]] auto idleLimit(const routed_service &service) const -> std::size_t;

    gateway_settings settings;
    std::string dataCentre;
    counter_registry &counters;
    std::shared_ptr<const route_table> routes; ///< Null before the first configuration.
    bool hasServers = false; ///< Whether the list of backend servers was read.
    bool stopping = false; ///< Connections close after their answers.
    bool refusing = false; ///< Too late in a stop for further requests.
    event_loop_delay lag;
    key_freshness keys;
    server_directory servers;
    server_loads loads;
    router_roster roster;
    fleet_loads fleet;
    pending_placements placements;
    account_usage accounts;
    admission_policy admission;
    std::vector<prompt_read> unreportedReads;
    std::size_t running = 0; ///< Requests that are being carried out.
    prompt_placement placement;
    connection_pool connections;
    boost::random::mt19937_64 random;
    std::map<std::string, gateway_retry_budget> repeats; ///< By service.
    latency_histogram firstEvents; ///< From the send of a prompt to its first event.
    latency_histogram answers; ///< From a request's arrival to its final answer.
    counter &answered; ///< Final answers of backend servers.
    counter &cut; ///< Answers broken off midway.
    counter &abandoned; ///< Requests whose callers had left before they were looked at.
};

} // namespace marjoramloom
