#include "marjoramloom/gateway/decisions/cold_choice.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// Extra prefill of a cold engine, as a fraction of the prompt. Queued tokens are taken to be prefilled about twice as
/// fast as the prompt's own, so this amounts to half of the prompt's prefill time.
constexpr std::uint64_t coldPrefillFactor = 1;

auto hasColdLimit(const gateway_state &state, const routed_service &service) -> bool
{
    return state.settings.coldOvershoot > 0 && service.coldPerSecond > 0;
}

/// Whether \p query may not be answered with a server of a new version: a stream begins, and servers of other versions
/// can take it.
auto avoidsNewVersions(const gateway_state &state, const placement_query &query, time_point now) -> bool
{
    if (!query.beginsStream || !state.servedVersions.isMixed(query.service, now)) {
        return false;
    }
    const auto &servers = state.servers.usable(query.service);
    return std::any_of(servers.begin(), servers.end(), [&](const auto &server) {
        return isInRegions(state, query.regions, *server)
            && !state.servedVersions.isNew(query.service, server->softwareVersion, now);
    });
}

} // namespace

auto isColdLimited(const gateway_state &state, const routed_service &service, const listed_server &server,
                   time_point now) -> bool
{
    return hasColdLimit(state, service) && state.coldEngines.mayBeCold(now)
        && state.coldEngines.remaining(server_loads::incarnationId(server), service.coldTime, now) > duration::zero();
}

auto coldShare(gateway_state &state, const routed_service &service, const listed_server &server, time_point now)
    -> std::uint32_t
{
    // Before the other routers are known, any number of them may have a share.
    if (state.stopping || !state.roster.isComplete() || now - state.startedAt < cold_budget::START_DELAY) {
        return 0;
    }
    const auto limit =
        cold_budget::fleetLimit(service.coldPerSecond, state.settings.coldOvershoot, state.settings.coldTolerance);
    const auto routers = state.roster.size();
    auto &known = state.coldRanks[server_loads::incarnationId(server)];
    if (known.routers != routers) {
        known = { .routers = routers,
                  .rank = cold_budget::rankOf(server.id, state.roster.self(), state.roster.others()) };
    }
    return cold_budget::shareOf(limit, known.rank, routers);
}

auto reserveCold(gateway_state &state, const routed_service &service, const listed_server &server, time_point now)
    -> std::unique_ptr<cold_lease>
{
    const auto incarnation = server_loads::incarnationId(server);
    if (!state.coldBudget.hasRoom(incarnation, coldShare(state, service, server, now), now)) {
        return nullptr;
    }
    return std::make_unique<cold_lease>(state.coldBudget, incarnation, state.coldBudget.reserve(incarnation, now));
}

auto restrictToPlaces(gateway_state &state, std::optional<region_set> regions, time_point now, placement_query &query,
                      last_reason &why) -> bool
{
    query.regions = std::move(regions);
    const auto *service = state.routes ? state.routes->findService(query.service) : nullptr;
    if (service == nullptr) {
        return true; // The choice fails for this reason.
    }
    const auto mayBeCold = hasColdLimit(state, *service) && state.coldEngines.mayBeCold(now);
    if (!mayBeCold && !query.regions && query.softwareVersion == 0 && !avoidsNewVersions(state, query, now)) {
        return true;
    }
    const auto noteRoom = [&] {
        query.coldServers.clear();
        for (const auto &server : state.servers.usable(query.service)) {
            const auto isCandidate = mayBeCold && query.shard.contains(server->id)
                && isColdLimited(state, *service, *server, now) && isInRegions(state, query.regions, *server);
            const auto incarnation = server_loads::incarnationId(*server);
            if (isCandidate && state.coldBudget.hasRoom(incarnation, coldShare(state, *service, *server, now), now)) {
                query.coldServers.insert(incarnation);
            }
        }
    };
    noteRoom();
    auto excluded = excludedServers(state, query, now);
    if (query.shard.count > 1 && !excluded.isAnyLeft) {
        query.shard = {};
        noteRoom();
        excluded = excludedServers(state, query, now);
    }
    if (!excluded.isAnyLeft && excluded.areOthersCold) {
        why.fail(failure_kind::overloaded, "choose server", query.service,
                 "the cold servers have got their requests of this second");
    } else if (!excluded.isAnyLeft && query.softwareVersion != 0) {
        why.fail(failure_kind::unavailable, "choose server", query.service,
                 "no server of the software version that began the stream takes new requests");
    } else if (!excluded.isAnyLeft) {
        why.fail(failure_kind::notFound, "choose server", query.service,
                 query.regions ? "no server in the regions of the request takes new requests"
                               : "no server takes new requests");
    }
    return excluded.isAnyLeft;
}

auto excludedServers(const gateway_state &state, const placement_query &query, time_point now) -> excluded_servers
{
    auto excluded = excluded_servers{ .servers = query.triedServers() };
    const auto *service = state.routes ? state.routes->findService(query.service) : nullptr;
    const auto mayBeCold = service != nullptr && hasColdLimit(state, *service) && state.coldEngines.mayBeCold(now);
    const auto isNewExcluded = avoidsNewVersions(state, query, now);
    if (!mayBeCold && !query.regions && query.softwareVersion == 0 && !isNewExcluded) {
        return excluded;
    }
    excluded.isAnyLeft = false;
    for (const auto &server : state.servers.usable(query.service)) {
        if (!query.shard.contains(server->id)) {
            continue;
        }
        const auto incarnation = server_loads::incarnationId(*server);
        const auto isTooNew = isNewExcluded && state.servedVersions.isNew(query.service, server->softwareVersion, now);
        if (!isInRegions(state, query.regions, *server) || !isOfVersion(query.softwareVersion, *server) || isTooNew) {
            excluded.servers.insert(incarnation);
        } else if (mayBeCold && !query.coldServers.contains(incarnation)
                   && isColdLimited(state, *service, *server, now)) {
            excluded.areOthersCold = excluded.servers.insert(incarnation).second || excluded.areOthersCold;
        }
        excluded.isAnyLeft = excluded.isAnyLeft || !excluded.servers.contains(incarnation);
    }
    return excluded;
}

auto isInRegions(const gateway_state &state, const std::optional<region_set> &regions, const listed_server &server)
    -> bool
{
    return !regions || regions->contains(state.regionOf(server.dataCentre));
}

auto isOfVersion(std::uint64_t softwareVersion, const listed_server &server) -> bool
{
    return softwareVersion == 0 || softwareVersionId(server.softwareVersion) == softwareVersion;
}

auto coldPrefillTokens(const gateway_state &state, const routed_service &service, const listed_server &server,
                       const prompt_summary &prompt, time_point now) -> std::uint64_t
{
    return isColdLimited(state, service, server, now) ? coldPrefillFactor * prompt.promptTokens : 0;
}

} // namespace marjoramloom
