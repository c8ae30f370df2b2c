#include "places_exchange.h"

#include "datagram_codec.h"

namespace marjoramloom {

namespace {

/// Servers in a report that stated that they are cold.
constexpr std::size_t maxColdServers = 32;

auto write(const cold_statement &statement, wire::ColdServer &message) -> void
{
    message.set_server(statement.server);
    message.set_left_ms(
        static_cast<std::uint32_t>(std::chrono::ceil<std::chrono::milliseconds>(statement.left).count()));
}

} // namespace

auto writePlaces(const gateway_state &state, time_point now, wire::RouterDatagram &datagram) -> void
{
    if (state.evacuations.isKnown()) {
        write(state.evacuations.current(), *datagram.mutable_evacuated());
    }
    if (!datagram.has_report()) {
        return;
    }
    for (const auto &statement : state.coldEngines.recentStatements(maxColdServers, now)) {
        write(statement, *datagram.mutable_report()->add_cold_servers());
    }
}

auto applyPlaces(const wire::RouterDatagram &datagram, const std::function<void(evacuation_set)> &onEvacuations,
                 time_point now, gateway_state &state) -> void
{
    if (datagram.has_evacuated() && onEvacuations) {
        onEvacuations(readEvacuations(datagram.evacuated()));
    }
    for (const auto &cold : datagram.report().cold_servers()) {
        state.noteCold({ .server = cold.server(), .left = std::chrono::milliseconds(cold.left_ms()) },
                       cold_source::router, now);
    }
}

} // namespace marjoramloom
