#pragma once

#include "marjoramloom/gateway/decisions/decision_trace.h"
#include "marjoramloom/gateway/decisions/engine_shards.h"
#include "marjoramloom/gateway/decisions/server_choice.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include <string>

namespace marjoramloom {

/// A request to place a prompt on one of a service's engines.
struct placement_query
{
    std::string service;
    engine_shard shard; ///< Only its engines may be chosen.
    prompt_summary prompt;
    std::uint64_t account = 0; ///< From account_usage::accountId().
    duration objective{}; ///< Latency objective of the first event.
    tried_servers failedServers; ///< Engines at which this request has just failed; they are not chosen again.
    tried_servers fullServers; ///< Servers that have just refused this request as they were full.
    bool plain = false; ///< A request without a prompt; the service's servers are chosen by plain_placement.
    std::string dataCentre; ///< Of the router that sends the request.
    /// Set to explain the decision without effect: the reasons are recorded there, and no state changes.
    decision_trace *trace = nullptr;
    bool alreadySent = false; ///< An engine was already sent the request, so it is not refused for its expected wait.

    tried_servers coldServers = {}; ///< Of the cold servers, those to which the querying router may send a request now.
    std::optional<region_set> regions = std::nullopt; ///< Of the servers that may be chosen; nothing for all.

    bool beginsStream = false; ///< A stream that may be resumed begins, which does not happen at a new version.
    std::uint64_t softwareVersion = 0; ///< Of the servers that may be chosen, from softwareVersionId(); 0 for any.

    /// The servers that are not chosen again.
    [[nodiscard]] auto triedServers() const -> tried_servers
    {
        auto tried = failedServers;
        tried.insert(fullServers.begin(), fullServers.end());
        return tried;
    }
};

/// The engine chosen for a prompt, or a refusal.
struct engine_decision
{
    std::optional<chosen_server> chosen; ///< Empty if the request is refused.
    bool allEnginesFull = false; ///< Refused because no engine has a free slot, not for a late first event.
    stated_level level{}; ///< Of the shard, as this router knows it; not set for plain services.
};

/// Chooses the engine from this router's own load data, and decides whether to refuse the request because its expected
/// wait is too long. Returns nothing, with the reason in \p why, if no engine of the service can be used. \p scope
/// limits the KV memory that the request may commit.
auto decideEngine(gateway_state &state, const placement_query &query, time_point now, last_reason &why,
                  memory_scope scope = memory_scope::dispatcher) -> std::optional<engine_decision>;

/// Chooses a plain server for the request of \p query, like decideEngine(). \p knownFraction is the fraction of the
/// fleet whose load this router knows.
auto decidePlainServer(gateway_state &state, const placement_query &query, double knownFraction, time_point now,
                       last_reason &why) -> std::optional<engine_decision>;

} // namespace marjoramloom
