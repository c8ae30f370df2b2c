#include "marjoramloom/gateway/decisions/engine_decision.h"

#include <algorithm>

namespace marjoramloom {

auto decideEngine(gateway_state &state, const placement_query &query, time_point now, last_reason &why,
                  memory_scope scope) -> std::optional<engine_decision>
{
    const auto *service = state.routes ? state.routes->findService(query.service) : nullptr;
    if (service == nullptr || !service->engine) {
        return why.fail(failure_kind::notFound, "choose engine", query.service, "no such service of engines");
    }
    auto chosen = chooseEngine(state, *service, query.shard, query.prompt, query.triedServers(), now, why, scope);
    if (!chosen) {
        return why.kind == failure_kind::overloaded
            ? std::optional(engine_decision{ .chosen = std::nullopt, .allEnginesFull = true })
            : std::nullopt;
    }
    const auto accountShare = state.accounts.fleetShare(query.account, now);
    const auto prefillTime = chosen->firstEvent - chosen->wait;
    const auto evenShare = state.accounts.evenShare();
    const auto maxWait = state.admission.maxWait(query.objective, prefillTime, accountShare, evenShare);
    // Accounts under an even share are not refused for the sake of those over it.
    const auto delayToOthers = accountShare < evenShare ? duration::zero() : chosen->delayToOthers;
    if (!query.alreadySent && chosen->wait + delayToOthers > maxWait) {
        why.fail(failure_kind::overloaded, "choose engine", chosen->server->id, "the first event would be late");
        return engine_decision{ .chosen = std::nullopt, .allEnginesFull = false };
    }
    return engine_decision{ .chosen = std::move(chosen), .allEnginesFull = false };
}

auto decidePlainServer(gateway_state &state, const placement_query &query, double knownFraction, time_point now,
                       last_reason &why) -> std::optional<engine_decision>
{
    const auto *service = state.routes ? state.routes->findService(query.service) : nullptr;
    if (service == nullptr) {
        return why.fail(failure_kind::notFound, "choose server", query.service, "no such service");
    }
    // All requests for a service meet the same limit. Otherwise those with a long objective would fill the queues, and
    // those with a short one would be refused.
    const auto shortest = state.routes->shortestObjective(query.service);
    const auto demand =
        plain_demand{ .objective = shortest ? std::min<duration>(*shortest, query.objective) : query.objective,
                      .accountShare = state.plainShares.note(query.service, query.account, now),
                      .knownFraction = knownFraction };
    auto chosen =
        choosePlainServer(state, *service, query.shard, demand, query.dataCentre, query.triedServers(), now, why);
    if (!chosen && why.kind != failure_kind::overloaded) {
        return std::nullopt;
    }
    const auto areAllFull = !chosen.has_value();
    return engine_decision{ .chosen = std::move(chosen), .allEnginesFull = areAllFull };
}

} // namespace marjoramloom
