#include "marjoramloom/gateway/server_choice.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <cassert>

namespace marjoramloom {

namespace {

using server_list = std::vector<server_directory::server_ptr>;

/// Engines let a few requests wait beyond their slots; plain servers, too.
constexpr std::uint32_t plainQueue = 2;
/// The part of an engine's memory that running requests leave to kept parts.
constexpr double keptShare = 0.85;

/// The servers in \p part of \p service that take new requests and are not among \p tried.
auto openServers(const gateway_state &state, const routed_service &service, const engine_part &part,
                 const tried_servers &tried, last_reason &why) -> std::optional<server_list>
{
    auto servers = server_list();
    for (const auto &server : state.servers.usable(service.name)) {
        const auto wasTried = !tried.empty() && tried.contains(server_loads::runId(*server));
        if (part.holds(server->id) && !wasTried) {
            servers.push_back(server);
        }
    }
    if (servers.empty()) {
        return why.fail(failure_kind::notFound, "choose server", service.name, "no server takes new requests");
    }
    return servers;
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

auto chooseEngine(gateway_state &state, const routed_service &service, const engine_part &part,
                  const prompt_outline &prompt, const tried_servers &tried, time_point now, last_reason &why)
    -> std::optional<chosen_server>
{
    assert(service.engine);
    const auto servers = openServers(state, service, part, tried, why);
    if (!servers) {
        return std::nullopt;
    }
    const auto shared = sharedPart(prompt);
    const auto keptCapacity = static_cast<std::uint64_t>(static_cast<double>(service.engine->memoryTokens) * keptShare);
    state.fleet.expire(now);
    state.placements.expire(now);
    auto candidates = std::vector<engine_candidate>();
    candidates.reserve(servers->size());
    for (const auto &server : *servers) {
        auto &load = state.loads.at(*server);
        load.parts.setCapacity(keptCapacity);
        const auto run = server_loads::runId(*server);
        const auto others = state.fleet.onEngine(run);
        const auto placed = state.placements.onEngine(run);
        candidates.push_back({ .home = prompt_placement::homeScore(server->id, shared),
                               .running = load.running + others.running + placed.running,
                               .slots = server->slots,
                               .unreadTokens = load.unreadTokens + others.unreadTokens + placed.unreadTokens,
                               .keptTokens = load.parts.keptTokens(prompt),
                               .avoided = load.isAvoided(now) });
    }
    const auto choice = state.placement.choose(candidates, prompt.promptTokens);
    if (!choice) {
        return why.fail(failure_kind::overloaded, "choose engine", "", "every engine is full");
    }
    return chosen_server{ .server = (*servers)[choice->index],
                          .tokensToRead = choice->tokensToRead,
                          .wait = choice->wait,
                          .firstEvent = choice->firstEvent,
                          .running = candidates[choice->index].running,
                          .candidates = servers->size() };
}

/// Takes the server with the fewest own requests; among equals one of the own data centre, then any.
auto choosePlain(gateway_state &state, const routed_service &service, const tried_servers &tried, time_point now,
                 last_reason &why) -> std::optional<chosen_server>
{
    const auto servers = openServers(state, service, {}, tried, why);
    if (!servers) {
        return std::nullopt;
    }
    using rank = std::tuple<bool, std::uint32_t, bool, std::uint64_t>;
    auto best = server_directory::server_ptr();
    auto bestRank = rank();
    for (const auto &server : *servers) {
        const auto &load = state.loads.at(*server);
        if (load.running >= server->slots + plainQueue) {
            continue;
        }
        const auto own =
            rank(load.isAvoided(now), load.running, server->dataCentre != state.dataCentre, state.random());
        if (!best || own < bestRank) {
            best = server;
            bestRank = own;
        }
    }
    if (!best) {
        return why.fail(failure_kind::overloaded, "choose server", "", "every server is full");
    }
    return chosen_server{ .server = best,
                          .tokensToRead = 0,
                          .wait = {},
                          .firstEvent = {},
                          .running = std::get<1>(bestRank),
                          .candidates = servers->size() };
}

} // namespace marjoramloom
