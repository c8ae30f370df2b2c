#include "marjoramloom/gateway/engine_decision.h"

namespace marjoramloom {

auto decideEngine(gateway_state &state, const placement_query &query, time_point now, last_reason &why)
    -> std::optional<engine_decision>
{
    const auto *service = state.routes ? state.routes->findService(query.service) : nullptr;
    if (service == nullptr || !service->engine) {
        return why.fail(failure_kind::notFound, "choose engine", query.service, "no such service of engines");
    }
    auto chosen = chooseEngine(state, *service, query.shard, query.prompt, query.triedServers(), now, why);
    if (!chosen) {
        return why.kind == failure_kind::overloaded
            ? std::optional(engine_decision{ .chosen = std::nullopt, .allEnginesFull = true })
            : std::nullopt;
    }
    const auto accountShare = state.accounts.fleetShare(query.account, now);
    const auto prefillTime = chosen->firstEvent - chosen->wait;
    if (!query.alreadySent && chosen->wait > state.admission.maxWait(query.objective, prefillTime, accountShare)) {
        why.fail(failure_kind::overloaded, "choose engine", chosen->server->id, "the first event would be late");
        return engine_decision{ .chosen = std::nullopt, .allEnginesFull = false };
    }
    return engine_decision{ .chosen = std::move(chosen), .allEnginesFull = false };
}

} // namespace marjoramloom
