#pragma once

#include "marjoramloom/gateway/decisions/engine_decision.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"

#include <memory>
#include <optional>

namespace marjoramloom {

/// A request that was reserved at a cold engine; it is released at the end of the object's life unless it was sent. Not
/// thread safe.
class cold_lease
{
public:
    /// Precondition: \p budget outlives the object.
    cold_lease(cold_budget &budget, std::uint64_t engine, std::uint64_t reservation)
        : m_budget(budget)
        , m_engine(engine)
        , m_reservation(reservation)
    {
    }
    ~cold_lease()
    {
        m_budget.release(m_engine, m_reservation);
    }
    cold_lease(const cold_lease &) = delete;
    auto operator=(const cold_lease &) -> cold_lease & = delete;

    /// Records that the request is sent at \p now. Returns false if it must not be, as the reservation is too old.
    [[nodiscard]] auto noteSent(time_point now) -> bool
    {
        return m_budget.noteSent(m_engine, m_reservation, now);
    }

private:
    cold_budget &m_budget;
    std::uint64_t m_engine;
    std::uint64_t m_reservation;
};

/// Servers that a request may not be placed on.
struct excluded_servers
{
    tried_servers servers;
    bool areOthersCold = false; ///< Some are excluded only because they are cold.
    bool isAnyLeft = true; ///< Some server in the shard of the query is not excluded.
};

/// Whether \p server is cold and its service limits the requests to cold servers.
auto isColdLimited(const gateway_state &state, const routed_service &service, const listed_server &server,
                   time_point now) -> bool;

/// Requests in cold_budget::WINDOW that this router may send to \p server while it is cold.
auto coldShare(gateway_state &state, const routed_service &service, const listed_server &server, time_point now)
    -> std::uint32_t;

/// Reserves a request at the cold \p server; null if this router's share of it is used up.
auto reserveCold(gateway_state &state, const routed_service &service, const listed_server &server, time_point now)
    -> std::unique_ptr<cold_lease>;

/// Restricts \p query to the regions \p regions, if given, to its software version, and to the cold servers of which
/// this router's share has room. If no server of its shard is left, the query becomes one for all servers of the
/// service. Returns false, with the reason in \p why, if none of these is left, either.
auto restrictToPlaces(gateway_state &state, std::optional<region_set> regions, time_point now, placement_query &query,
                      last_reason &why) -> bool;

/// The servers that the request of \p query must not be placed on: those where it was tried, those in other regions,
/// and those that are cold, except the ones that the querying router has room for.
auto excludedServers(const gateway_state &state, const placement_query &query, time_point now) -> excluded_servers;

/// Whether \p server is in one of \p regions; true without regions.
auto isInRegions(const gateway_state &state, const std::optional<region_set> &regions, const listed_server &server)
    -> bool;

/// Whether \p server is of the software version with the id \p softwareVersion; true for 0.
auto isOfVersion(std::uint64_t softwareVersion, const listed_server &server) -> bool;

/// Prompt tokens that the placement of \p prompt adds to the pending prefill of \p server, since a cold engine is
/// slower; 0 for warm ones.
auto coldPrefillTokens(const gateway_state &state, const routed_service &service, const listed_server &server,
                       const prompt_summary &prompt, time_point now) -> std::uint64_t;

} // namespace marjoramloom
