// The limit on the requests to cold engines, and the regions of a request.
#include "marjoramloom/core/log.h"
#include "marjoramloom/gateway/traffic/gateway_call.h"

namespace marjoramloom {

namespace asio = boost::asio;

/// Chooses the server for the next attempt, and reserves the request there if it is cold. Returns nothing if there is
/// none or the request is refused; before the first attempt the reason is stored in m_why.
auto gateway_call::chooseServer() -> asio::awaitable<std::optional<chosen_server>>
{
    auto why = last_reason();
    auto chosen = std::optional<chosen_server>();
    m_coldLease.reset();
    for (auto round = 0; round < MAX_CHOICES; ++round) {
        chosen = co_await chooseCandidate(why);
        if (!chosen || mayUse(*chosen, why)) {
            break;
        }
        m_fullServers.insert(server_loads::incarnationId(*chosen->server));
        chosen.reset();
    }
    if (!chosen && m_sendCount == 0) {
        m_why = why;
    }
    co_return chosen;
}

/// Restricts \p query to servers that the request may be sent to. Returns false, with the reason in \p why, if there is
/// none.
auto gateway_call::restrictQuery(placement_query &query, last_reason &why) -> bool
{
    const auto now = system_clock_source().now();
    query.softwareVersion = m_streamVersion;
    query.beginsStream = m_streamVersion == 0 && m_route.kind == route_kind::eventStream && m_route.resumable;
    return restrictToPlaces(m_state, m_routes->regionsOf(m_route, m_account), now, query, why);
}

/// Whether the request may be sent to \p chosen, which another router may have chosen by its own, older view. Reserves
/// the request there if the server is cold.
auto gateway_call::mayUse(const chosen_server &chosen, last_reason &why) -> bool
{
    if (!isOfVersion(m_streamVersion, *chosen.server)) {
        why.fail(failure_kind::unavailable, "choose server", chosen.server->id, "the server is of another version");
        return false;
    }
    if (!isInRegions(m_state, m_routes->regionsOf(m_route, m_account), *chosen.server)) {
        why.fail(failure_kind::unavailable, "choose server", chosen.server->id, "the server is in another region");
        return false;
    }
    const auto now = system_clock_source().now();
    if (!isColdLimited(m_state, *m_service, *chosen.server, now)) {
        return true;
    }
    m_coldLease = reserveCold(m_state, *m_service, *chosen.server, now);
    if (!m_coldLease) {
        m_state.coldRefusals.add();
        why.fail(failure_kind::overloaded, "choose server", chosen.server->id,
                 "the cold server has got its requests of this second");
    }
    return m_coldLease != nullptr;
}

/// Checks again just before the request is sent to \p chosen whether its server is cold and the request counted.
auto gateway_call::confirmCold(const chosen_server &chosen, last_reason &why) -> bool
{
    const auto now = system_clock_source().now();
    m_isColdRefused = false;
    if (!isColdLimited(m_state, *m_service, *chosen.server, now)) {
        m_coldLease.reset();
        return true;
    }
    // The server may have turned cold since it was chosen.
    m_isColdRefused = !m_coldLease && !mayUse(chosen, why);
    if (!m_isColdRefused && m_coldLease && !m_coldLease->noteSent(now)) {
        m_state.coldRefusals.add();
        why.fail(failure_kind::overloaded, "send request", chosen.server->id, "the reservation is too old");
        m_isColdRefused = true;
    }
    if (!m_isColdRefused) {
        m_state.coldSends.add();
    }
    m_coldLease.reset();
    return !m_isColdRefused;
}

} // namespace marjoramloom
