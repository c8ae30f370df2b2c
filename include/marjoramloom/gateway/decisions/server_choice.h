#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/gateway/decisions/decision_trace.h"
#include "marjoramloom/gateway/decisions/engine_shards.h"
#include "marjoramloom/gateway/decisions/memory_limit.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"
#include "marjoramloom/gateway/traffic/routed_request.h"
#include "marjoramloom/gateway/traffic/slot_lease.h"

#include <memory>
#include <set>

namespace marjoramloom {

/// Incarnations of the backend servers at which a request failed.
using tried_servers = std::set<std::uint64_t>;

/// The backend server for one attempt of a request, and the load estimates at the time of the choice.
struct chosen_server
{
    server_directory::server_ptr server;
    std::uint32_t prefillTokens = 0; ///< Prompt tokens that the server is expected to prefill.
    duration wait{}; ///< Expected time until the server starts on the request.
    duration firstEvent{}; ///< Expected time to the first event; 0 for plain services.
    duration delayToOthers{}; ///< See engine_choice.
    std::uint32_t running = 0; ///< Requests at the server, as far as known.
    std::size_t candidates = 0; ///< Servers among which it was chosen.
    std::shared_ptr<slot_lease> lease; ///< The place that a dispatcher granted there; null for none.
    std::shared_ptr<slot_lease> memoryLease = nullptr; ///< The KV memory that a dispatcher granted there.
    /// Fraction of the server's KV memory that requests commit, this one included; 0 if memory is not limited.
    double memoryUse = 0;
};

/// One of \p route's services, at random in proportion to their weights. Precondition: the route has targets.
auto chooseService(const route_rule &route, boost::random::mt19937_64 &random) -> const std::string &;

/// Chooses an engine in \p shard of \p service for \p prompt that is not among \p tried. Returns nothing if none is
/// left (failure kind notFound) or all are full (overloaded). \p scope limits the KV memory that it commits. A \p trace
/// gets the reasons. Precondition: the service is one of engines.
auto chooseEngine(gateway_state &state, const routed_service &service, const engine_shard &shard,
                  const prompt_summary &prompt, const tried_servers &tried, time_point now, last_reason &why,
                  memory_scope scope = memory_scope::dispatcher, decision_trace *trace = nullptr)
    -> std::optional<chosen_server>;

/// Chooses a server of a plain service that is not among \p tried for a request of a router in \p dataCentre; fails
/// like chooseEngine().
auto choosePlainServer(gateway_state &state, const routed_service &service, const engine_shard &shard,
                       const plain_demand &demand, const std::string &dataCentre, const tried_servers &tried,
                       time_point now, last_reason &why, decision_trace *trace = nullptr)
    -> std::optional<chosen_server>;

} // namespace marjoramloom
