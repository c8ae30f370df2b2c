#pragma once

#include "marjoramloom/gateway/decisions/engine_decision.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"

namespace marjoramloom {

/// Excludes the servers that asked this router for a pause. If none is left in the shard of \p query, the query becomes
/// one for all servers of the service. Not thread safe.
auto excludePausedServers(const gateway_state &state, boot_time now, placement_query &query) -> void;

} // namespace marjoramloom
