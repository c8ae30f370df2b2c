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
        } else {
            query.trace->reject(server->id, rejection::newVersion);
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

/// Recent work of a client account in the whole fleet.
struct account_standing
{
    double tokens = 0; ///< With what this router placed and no report includes yet.
    double share = 0; ///< Of all work, from 0 to 1.
    double evenShare = 0; ///< The share that each account would have if all had the same.
    double evenTokens = 0;
};

auto standingOf(gateway_state &state, std::uint64_t account, time_point now) -> account_standing
{
    const auto tokens = state.accounts.fleetTokensOf(account, now) + state.placements.tokensOfAccount(account);
    const auto evenShare = state.accounts.evenShare();
    return { .tokens = static_cast<double>(tokens),
             .share = state.accounts.fleetShare(account, now),
             .evenShare = evenShare,
             .evenTokens = evenShare * static_cast<double>(state.accounts.fleetTokens(now)) };
}

/// Longest expected wait with which a prompt that takes \p prefillTime by itself is accepted.
auto longestWait(const gateway_state &state, const account_standing &standing, const account_level &level,
                 duration objective, duration prefillTime) -> duration
{
    const auto free = state.admission.maxWait(objective, prefillTime, standing.share, standing.evenShare);
    const auto contended =
        state.admission.maxContendedWait(objective, prefillTime, level.fractionOfLevel(standing.tokens));
    const auto blended = admission_policy::blend(free, contended, level.contention());
    // Contention is caused by others than the small accounts.
    return admission_policy::isSmall(standing.share, standing.evenShare) ? std::max(free, blended) : blended;
}

/// Counts a decision about a prompt for the log.
auto record(gateway_state &state, const placement_query &query, memory_scope scope, admission_decision decision) -> void
{
    if (query.trace == nullptr) {
        decision.alone = scope == memory_scope::alone;
        decision.account = query.account;
        decision.tokens = query.prompt.costTokens();
        state.admissions.note(decision);
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
        if (why.kind != failure_kind::overloaded) {
            return std::nullopt;
        }
    }
    const auto standing = standingOf(state, query.account, now);
    auto &level = state.accountLevels[{ query.service, query.shard.index }];
    const auto noteAsked = [&](duration wait, duration longest) {
        if (query.trace == nullptr) {
            const auto fraction = longest > duration::zero() ? toSeconds(wait) / toSeconds(longest) : 1.0;
            level.noteAsked(query.prompt.costTokens(), standing.tokens, fraction, standing.evenTokens, now);
        }
    };
    const auto prefillTime = chosen ? chosen->firstEvent - chosen->wait : duration::zero();
    // Accounts under an even share are not refused for the sake of those over it.
    const auto delayToOthers =
        !chosen || standing.share < standing.evenShare ? duration::zero() : chosen->delayToOthers;
    const auto wait = chosen ? chosen->wait + delayToOthers : query.objective;
    noteAsked(wait, state.admission.maxContendedWait(query.objective, prefillTime, 0));
    const auto stated = stated_level{ .levelTokens = level.limitTokens(),
                                      .accountTokens = static_cast<std::uint64_t>(standing.tokens) };
    if (!chosen) {
        record(state, query, scope,
               { .result = admission_result::noRoom,
                 .accountShare = standing.share,
                 .fractionOfLevel = level.fractionOfLevel(standing.tokens),
                 .contention = level.contention() });
        return engine_decision{ .chosen = std::nullopt, .allEnginesFull = true, .level = stated };
    }
    const auto ofLevel = level.fractionOfLevel(standing.tokens);
    const auto maxWait = longestWait(state, standing, level, query.objective, prefillTime);
    if (query.trace != nullptr) {
        query.trace->note("share",
                          formatPercent(standing.share) + " of the tokens, an even one is "
                              + formatPercent(standing.evenShare) + ", " + formatPercent(ofLevel)
                              + " of the level of the engines");
        query.trace->note("admission",
                          "expected wait " + formatMs(chosen->wait) + ", delay to others " + formatMs(delayToOthers)
                              + ", limit " + formatMs(maxWait) + ", objective " + formatMs(query.objective));
    }
    const auto isLate = !query.alreadySent && wait > maxWait;
    record(state, query, scope,
           { .result = isLate ? admission_result::expectedLate : admission_result::placed,
             .accountShare = standing.share,
             .fractionOfLevel = ofLevel,
             .wait = chosen->wait,
             .maxWait = maxWait,
             .contention = level.contention() });
    if (isLate) {
        why.fail(failure_kind::overloaded, "choose engine", chosen->server->id, "the first event would be late");
        return engine_decision{ .chosen = std::nullopt, .allEnginesFull = false, .level = stated };
    }
    return engine_decision{ .chosen = std::move(chosen), .allEnginesFull = false, .level = stated };
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
