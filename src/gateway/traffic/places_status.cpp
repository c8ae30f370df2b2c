#include "marjoramloom/gateway/traffic/places_status.h"

#include "marjoramloom/gateway/decisions/cold_choice.h"
#include "marjoramloom/store/store_revision.h"

#include <boost/json.hpp>

namespace marjoramloom {

namespace json = boost::json;

namespace {

/// Servers in the answer.
constexpr std::size_t maxColdServers = 256;

auto coldServers(gateway_state &state) -> json::array
{
    const auto now = system_clock_source().now();
    auto cold = json::array();
    if (!state.routes || !state.coldEngines.mayBeCold(now)) {
        return cold;
    }
    for (const auto &service : state.routes->services()) {
        for (const auto &server : state.servers.usable(service.name)) {
            if (cold.size() == maxColdServers || !isColdLimited(state, service, *server, now)) {
                continue;
            }
            const auto incarnation = server_loads::incarnationId(*server);
            const auto left = state.coldEngines.remaining(incarnation, service.coldTime, now);
            cold.push_back(json::object{
                { "server", server->id },
                { "left_ms", std::chrono::duration_cast<std::chrono::milliseconds>(left).count() },
                { "share", coldShare(state, service, *server, now) },
                { "used", state.coldBudget.used(incarnation, now) },
            });
        }
    }
    return cold;
}

} // namespace

auto placesStatus(gateway_state &state) -> std::string
{
    auto evacuations = json::object{ { "known", state.evacuations.isKnown() } };
    if (state.evacuations.isKnown()) {
        const auto &current = state.evacuations.current();
        evacuations["revision"] = revisionNumber(current.revision);
        evacuations["data_centres"] = json::array(current.names.begin(), current.names.end());
    }
    return json::serialize(
               json::object{ { "evacuations", std::move(evacuations) }, { "cold_servers", coldServers(state) } })
        + "\n";
}

} // namespace marjoramloom
