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

/// The id by which prompts that share all but their last part find the same engine.
auto sharedPart(const prompt_outline &prompt) -> std::uint64_t
{
    if (prompt.parts.empty()) {
        return 0;
    }
    return prompt.parts.size() == 1 ? prompt.parts.front().id : prompt.parts[prompt.parts.size() - 2].id;
}

auto chooseEngine(gateway_state &state, const engine_profile &profile, const prompt_outline &prompt,
                  const server_list &servers, time_point now, last_reason &why) -> std::optional<chosen_server>
{
    const auto shared = sharedPart(prompt);
    state.fleet.expire(now);
    auto candidates = std::vector<engine_candidate>();
    for (const auto &server : servers) {
        auto &load = state.loads.at(*server);
        load.parts.setCapacity(static_cast<std::uint64_t>(static_cast<double>(profile.memoryTokens) * keptShare));
        const auto others = state.fleet.onEngine(server_loads::runId(*server));
        candidates.push_back({ .home = prompt_placement::homeScore(server->id, shared),
                               .running = load.running + others.running,
                               .slots = server->slots,
                               .unreadTokens = load.unreadTokens + others.unreadTokens,
                               .keptTokens = load.parts.keptTokens(prompt),
                               .avoided = load.isAvoided(now) });
    }
    const auto choice = state.placement.choose(candidates, prompt.promptTokens);
    if (!choice) {
        return why.fail(failure_kind::overloaded, "choose engine", "", "every engine is full");
    }
    return chosen_server{ .server = servers[choice->index],
                          .tokensToRead = choice->tokensToRead,
                          .wait = choice->wait,
                          .firstEvent = choice->firstEvent,
                          .running = candidates[choice->index].running,
                          .candidates = servers.size() };
}

/// The server with the fewest own requests; among equals one of the own data centre, then any.
auto choosePlain(gateway_state &state, const server_list &servers, time_point now, last_reason &why)
    -> std::optional<chosen_server>
{
    using rank = std::tuple<bool, std::uint32_t, bool, std::uint64_t>;
    auto best = server_directory::server_ptr();
    auto bestRank = rank();
    for (const auto &server : servers) {
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
                          .candidates = servers.size() };
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

auto chooseServer(gateway_state &state, const routed_service &service, const route_rule &route,
                  const prompt_outline &prompt, const std::set<std::string> &tried, time_point now, last_reason &why)
    -> std::optional<chosen_server>
{
    auto servers = server_list();
    for (const auto &server : state.servers.usable(service.name)) {
        if (!tried.contains(server->id)) {
            servers.push_back(server);
        }
    }
    if (servers.empty()) {
        return why.fail(failure_kind::notFound, "choose server", service.name, "no server takes new requests");
    }
    if (service.engine && route.carriesPrompt) {
        return chooseEngine(state, *service.engine, prompt, servers, now, why);
    }
    return choosePlain(state, servers, now, why);
}

} // namespace marjoramloom
