#include "marjoramloom/gateway/decisions/engine_decision.h"

#include "marjoramloom/gateway/decisions/cold_choice.h"

#include <algorithm>

namespace marjoramloom {

namespace {

auto formatMs(duration span) -> std::string
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count()) + " ms";
}

auto formatPercent(double fraction) -> std::string
{
    constexpr auto percent = 100;
    return std::to_string(static_cast<int>(fraction * percent)) + " %";
}

/// Records why the servers that the query itself does not exclude are excluded.
auto traceExcluded(const gateway_state &state, const routed_service &service, const placement_query &query,
                   const excluded_servers &excluded, time_point now) -> void
{
    const auto tried = query.triedServers();
    for (const auto &server : state.servers.usable(query.service)) {
        const auto incarnation = server_loads::incarnationId(*server);
        if (!excluded.servers.contains(incarnation) || tried.contains(incarnation)) {
            continue;
        }
        const auto isOutside = !isInRegions(state, query.regions, *server);
        if (!isOfVersion(query.softwareVersion, *server)) {
            query.trace->reject(server->id, rejection::otherVersion);
        } else if (isOutside || isColdLimited(state, service, *server, now)) {
            query.trace->reject(server->id, isOutside ? rejection::otherRegion : rejection::coldBudget);
        }
    }
}

/// Sets the reason of a choice that found no server: servers that are only cold for now are not missing.
auto noteNoneLeft(const placement_query &query, const excluded_servers &excluded, last_reason &why) -> void
{
    if (excluded.areOthersCold && why.kind == failure_kind::notFound) {
        why.fail(failure_kind::overloaded, "choose server", query.service,
                 "the cold servers have got their requests of this second");
    }
}

/// Recent tokens of \p account in relation to those of the accounts that are being refused; 0 if none is.
auto fractionOfLevel(gateway_state &state, std::uint64_t account, time_point now) -> double
{
    const auto evenTokens = state.accounts.evenShare() * static_cast<double>(state.accounts.fleetTokens(now));
    return state.accountLevel.fractionOfLevel(
        account, [&](std::uint64_t other) { return state.accounts.fleetTokensOf(other, now); }, evenTokens, now);
}

/// Counts a decision about a prompt. Those of the dispatcher of the prompt's engines are also logged.
auto record(gateway_state &state, const placement_query &query, memory_scope scope, admission_result result,
            duration wait, duration maxWait, time_point now) -> void
{
    if (query.trace != nullptr) {
        return;
    }
    if (result == admission_result::placed) {
        state.accountLevel.notePlaced(query.prompt.costTokens(), now);
    } else {
        state.accountLevel.noteRefused(query.account, query.prompt.costTokens(), now);
    }
    if (scope == memory_scope::dispatcher) {
        state.admissions.note({ .account = query.account,
                                .tokens = query.prompt.costTokens(),
                                .result = result,
                                .accountShare = state.accounts.fleetShare(query.account, now),
                                .fractionOfLevel = fractionOfLevel(state, query.account, now),
                                .wait = wait,
                                .maxWait = maxWait,
                                .contention = state.accountLevel.contention(now) });
    }
}

} // namespace

auto decideEngine(gateway_state &state, const placement_query &query, time_point now, last_reason &why,
                  memory_scope scope) -> std::optional<engine_decision>
{
    const auto *service = state.routes ? state.routes->findService(query.service) : nullptr;
    if (service == nullptr || !service->engine) {
        return why.fail(failure_kind::notFound, "choose engine", query.service, "no such service of engines");
    }
    const auto excluded = excludedServers(state, query, now);
    if (query.trace != nullptr) {
        traceExcluded(state, *service, query, excluded, now);
    }
    auto chosen =
        chooseEngine(state, *service, query.shard, query.prompt, excluded.servers, now, why, scope, query.trace);
    if (!chosen) {
        noteNoneLeft(query, excluded, why);
        if (why.kind == failure_kind::overloaded) {
            record(state, query, scope, admission_result::noRoom, duration::zero(), duration::zero(), now);
        }
        return why.kind == failure_kind::overloaded
            ? std::optional(engine_decision{ .chosen = std::nullopt, .allEnginesFull = true })
            : std::nullopt;
    }
    const auto accountShare = state.accounts.fleetShare(query.account, now);
    const auto prefillTime = chosen->firstEvent - chosen->wait;
    const auto evenShare = state.accounts.evenShare();
    const auto ofLevel = fractionOfLevel(state, query.account, now);
    const auto maxWait = admission_policy::blend(
        state.admission.maxWait(query.objective, prefillTime, accountShare, evenShare),
        state.admission.maxContendedWait(query.objective, prefillTime, ofLevel), state.accountLevel.contention(now));
    // Accounts under an even share are not refused for the sake of those over it.
    const auto delayToOthers = accountShare < evenShare ? duration::zero() : chosen->delayToOthers;
    if (query.trace != nullptr) {
        query.trace->note("share",
                          formatPercent(accountShare) + " of the tokens, an even one is " + formatPercent(evenShare)
                              + ", " + formatPercent(ofLevel) + " of the level of refused accounts");
        query.trace->note("admission",
                          "expected wait " + formatMs(chosen->wait) + ", delay to others " + formatMs(delayToOthers)
                              + ", limit " + formatMs(maxWait) + ", objective " + formatMs(query.objective));
    }
    if (!query.alreadySent && chosen->wait + delayToOthers > maxWait) {
        record(state, query, scope, admission_result::expectedLate, chosen->wait, maxWait, now);
        why.fail(failure_kind::overloaded, "choose engine", chosen->server->id, "the first event would be late");
        return engine_decision{ .chosen = std::nullopt, .allEnginesFull = false };
    }
    record(state, query, scope, admission_result::placed, chosen->wait, maxWait, now);
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
                      .accountShare = query.trace == nullptr
                          ? state.plainShares.note(query.service, query.account, now)
                          : state.plainShares.share(query.service, query.account, now),
                      .knownFraction = knownFraction };
    const auto excluded = excludedServers(state, query, now);
    if (query.trace != nullptr) {
        traceExcluded(state, *service, query, excluded, now);
    }
    auto chosen = choosePlainServer(state, *service, query.shard, demand, query.dataCentre, excluded.servers, now, why,
                                    query.trace);
    if (!chosen) {
        noteNoneLeft(query, excluded, why);
    }
    if (!chosen && why.kind != failure_kind::overloaded) {
        return std::nullopt;
    }
    if (query.trace != nullptr) {
        query.trace->note("share", formatPercent(demand.accountShare) + " of the requests for the service");
        query.trace->note("admission",
                          "objective " + formatMs(demand.objective) + ", load known of " + formatPercent(knownFraction)
                              + " of the fleet");
    }
    const auto areAllFull = !chosen.has_value();
    return engine_decision{ .chosen = std::move(chosen), .allEnginesFull = areAllFull };
}

} // namespace marjoramloom
