#include "marjoramloom/gateway/decisions/paused_choice.h"

namespace marjoramloom {

auto excludePausedServers(const gateway_state &state, boot_time now, placement_query &query) -> void
{
    if (state.pauses.size() == 0) {
        return;
    }
    const auto exclude = [&] {
        auto isAnyLeft = false;
        for (const auto &server : state.servers.usable(query.service)) {
            const auto incarnation = server_loads::incarnationId(*server);
            const auto isPaused = state.pauses.remaining(incarnation, now) > duration::zero();
            if (isPaused && query.shard.contains(server->id)) {
                query.fullServers.insert(incarnation);
            }
            isAnyLeft = isAnyLeft || (!isPaused && query.shard.contains(server->id));
        }
        return isAnyLeft;
    };
    if (!exclude()) {
        query.shard = {};
        exclude();
    }
}

} // namespace marjoramloom
