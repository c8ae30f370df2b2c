#include "marjoramloom/gateway/decisions/server_choice.h"

#include "marjoramloom/gateway/decisions/cold_choice.h"
#include "marjoramloom/gateway/decisions/engine_memory.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cassert>

namespace marjoramloom {

namespace {

using server_list = std::vector<server_directory::server_ptr>;

/// Fraction of an engine's KV memory that running requests leave to the prefix cache.
constexpr double prefixCacheFraction = 0.85;

/// The servers in \p shard of \p service that accept new requests and are not among \p tried.
auto eligibleServers(const gateway_state &state, const routed_service &service, const engine_shard &shard,
                     const tried_servers &tried, last_reason &why, decision_trace *trace) -> std::optional<server_list>
{
    auto servers = server_list();
    for (const auto &server : state.servers.usable(service.name)) {
        const auto wasTried = !tried.empty() && tried.contains(server_loads::incarnationId(*server));
        if (shard.contains(server->id) && !wasTried) {
            servers.push_back(server);
        } else if (trace != nullptr) {
            trace->reject(server->id, wasTried ? rejection::tried : rejection::otherShard);
        }
    }
    if (servers.empty()) {
        return why.fail(failure_kind::notFound, "choose server", service.name, "no server takes new requests");
    }
    return servers;
}

auto traceEngines(const gateway_state &state, const server_list &servers,
                  const std::vector<engine_candidate> &candidates, std::uint32_t promptTokens, decision_trace &trace)
    -> void
{
    for (auto index = std::size_t(0); index < servers.size(); ++index) {
        const auto &candidate = candidates[index];
        const auto expected = state.placement.estimate(candidate, promptTokens);
        auto &entry = trace.candidate(servers[index]->id);
        entry.hasEstimates = true;
        entry.running = candidate.running;
        entry.slots = candidate.slots;
        entry.pendingPrefillTokens = candidate.pendingPrefillTokens;
        entry.cachedTokens = candidate.cachedTokens;
        entry.wait = expected.wait;
        entry.firstEvent = expected.firstEvent;
        if (!state.placement.hasFreeSlot(candidate)) {
            trace.reject(servers[index]->id, rejection::slots);
        }
        if (candidate.outOfMemory) {
            trace.reject(servers[index]->id, rejection::memory);
        }
        if (candidate.avoided) {
            trace.reject(servers[index]->id, rejection::failing);
        }
    }
}

auto tracePlainServers(const server_list &servers, const std::vector<plain_candidate> &candidates,
                       decision_trace &trace) -> void
{
    for (auto index = std::size_t(0); index < servers.size(); ++index) {
        const auto &candidate = candidates[index];
        auto &entry = trace.candidate(servers[index]->id);
        entry.hasEstimates = true;
        entry.running = candidate.running;
        entry.slots = candidate.slots;
        if (candidate.full) {
            trace.reject(servers[index]->id, rejection::slots);
        }
        if (candidate.avoided) {
            trace.reject(servers[index]->id, rejection::failing);
        }
    }
}

} // namespace

auto chooseService(const route_rule &route, boost::random::mt19937_64 &random) -> const std::string &
{
    assert(!route.targets.empty());
    auto total = std::uint64_t(0);
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    auto draw = boost::random::uniform_int_distribution<std::uint64_t>(1, total)(random);
    for (const auto &target : route.targets) {
        if (draw <= target.weight) {
            return target.service;
        }
        draw -= target.weight;
    }
    return route.targets.back().service;
}

auto chooseEngine(gateway_state &state, const routed_service &service, const engine_shard &shard,
                  const prompt_summary &prompt, const tried_servers &tried, time_point now, last_reason &why,
                  memory_scope scope, decision_trace *trace) -> std::optional<chosen_server>
{
    assert(service.engine);
    const auto servers = eligibleServers(state, service, shard, tried, why, trace);
    if (!servers) {
        return std::nullopt;
    }
    const auto prefixId = sharedPrefixId(prompt);
    const auto prefixCacheTokens =
        static_cast<std::uint64_t>(static_cast<double>(service.engine->kvCapacityTokens) * prefixCacheFraction);
    state.fleet.expire(now);
    state.placements.expire(now);
    const auto memory = engine_memory(state, service, prompt, scope, now);
    auto candidates = std::vector<engine_candidate>();
    candidates.reserve(servers->size());
    for (const auto &server : *servers) {
        auto &load = state.loads.at(*server);
        load.prefixCache.setCapacity(prefixCacheTokens);
        const auto incarnation = server_loads::incarnationId(*server);
        const auto others = state.fleet.loadOnEngine(incarnation);
        const auto pending = state.placements.loadOnEngine(incarnation);
        candidates.push_back(
            { .homeScore = prompt_placement::homeScore(server->id, prefixId),
              .running = load.running + others.running + pending.running,
              .slots = server->slots,
              .pendingPrefillTokens = load.pendingPrefillTokens + others.pendingPrefillTokens
                  + pending.pendingPrefillTokens + coldPrefillTokens(state, service, *server, prompt, now),
              .cachedTokens = load.prefixCache.cachedTokens(prompt),
              .avoided = load.isAvoided(now) || load.capacity.isFull(now),
              .outOfMemory = !memory.fits(*server, incarnation, load.committedTokens + others.committedTokens) });
    }
    if (trace != nullptr) {
        traceEngines(state, *servers, candidates, prompt.promptTokens, *trace);
    }
    const auto choice = state.placement.choose(candidates, prompt.promptTokens, memory.rereadCost());
    if (!choice) {
        if (memory.anyRejected()) {
            state.counters.at("marjoramloom_memory_refusals_total").add();
        }
        const auto *detail = memory.anyRejected() ? "no engine has enough free memory" : "every engine is full";
        return why.fail(failure_kind::overloaded, "choose engine", "", detail);
    }
    return chosen_server{ .server = (*servers)[choice->index],
                          .prefillTokens = choice->prefillTokens,
                          .wait = choice->wait,
                          .firstEvent = choice->firstEvent,
                          .delayToOthers = choice->delayToOthers,
                          .running = candidates[choice->index].running,
                          .candidates = servers->size(),
                          .lease = nullptr,
                          .memoryUse = memory.useWith(*(*servers)[choice->index]) };
}

auto choosePlainServer(gateway_state &state, const routed_service &service, const engine_shard &shard,
                       const plain_demand &demand, const std::string &dataCentre, const tried_servers &tried,
                       time_point now, last_reason &why, decision_trace *trace) -> std::optional<chosen_server>
{
    const auto servers = eligibleServers(state, service, shard, tried, why, trace);
    if (!servers) {
        return std::nullopt;
    }
    state.fleet.expire(now);
    state.slotGrants.expire(now);
    auto candidates = std::vector<plain_candidate>();
    candidates.reserve(servers->size());
    for (const auto &server : *servers) {
        const auto &load = state.loads.at(*server);
        const auto incarnation = server_loads::incarnationId(*server);
        candidates.push_back({ .running = load.running + state.fleet.loadOnEngine(incarnation).running
                                   + state.slotGrants.running(incarnation),
                               .slots = std::max(1U, server->slots),
                               .serviceTime = load.capacity.serviceTime(),
                               .acceptedRequests = load.capacity.acceptedRequests(now),
                               .full = load.capacity.isFull(now),
                               .avoided = load.isAvoided(now),
                               .remote = server->dataCentre != dataCentre,
                               .tieBreak = state.random() });
    }
    if (trace != nullptr) {
        tracePlainServers(*servers, candidates, *trace);
    }
    const auto choice = state.plainPlacement.choose(candidates, demand);
    if (!choice) {
        return why.fail(failure_kind::overloaded, "choose server", service.name, "the answer would be late");
    }
    return chosen_server{ .server = (*servers)[choice->index],
                          .prefillTokens = 0,
                          .wait = choice->wait,
                          .firstEvent = {},
                          .delayToOthers = {},
                          .running = candidates[choice->index].running,
                          .candidates = servers->size(),
                          .lease = nullptr };
}

} // namespace marjoramloom
