#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/knowledge/fleet_loads.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marjoramloom {

/// Placements that this router made for others and that their load reports do not include yet. Not thread safe.
class pending_placements
{
public:
    /// A placement that no report has included after this time was lost, or its request has ended.
    static constexpr duration LIFETIME = std::chrono::milliseconds(500);

    /// The client account of a placed request, and what the request costs it.
    struct charge
    {
        std::uint64_t account = 0; ///< From account_usage::accountId().
        std::uint64_t tokens = 0;
    };

    /// Adds a placement of a request of \p router on the engine incarnation \p server, with \p tokens to prefill.
    /// Returns its sequence number for that router, from 1.
    auto add(std::uint64_t router, std::uint64_t server, std::uint32_t tokens, const charge &charged, time_point now)
        -> std::uint64_t;

    /// Removes the placements of \p router up to \p sequence, as the loads that it reports now include them.
    auto acknowledge(std::uint64_t router, std::uint64_t sequence) -> void;

    /// Removes placements older than LIFETIME. Call before reading sums.
    auto expire(time_point now) -> void;

    /// Sum of the pending placements on the engine incarnation \p server.
    [[nodiscard]] auto loadOnEngine(std::uint64_t server) const -> engine_load;

    /// Cost of the pending placements of \p account.
    [[nodiscard]] auto tokensOfAccount(std::uint64_t account) const -> std::uint64_t;

private:
    struct placement
    {
        std::uint64_t sequence = 0;
        std::uint64_t server = 0;
        std::uint32_t tokens = 0;
        charge charged;
        time_point placedAt;
    };
    struct router_placements
    {
        std::uint64_t lastSequence = 0;
        std::deque<placement> pending;
    };

    auto subtract(const placement &removed) -> void;

    std::unordered_map<std::uint64_t, router_placements> m_routers;
    std::unordered_map<std::uint64_t, engine_load> m_engines; ///< Sums over all pending placements.
    std::unordered_map<std::uint64_t, std::uint64_t> m_accountTokens; ///< The same, by account.
};

} // namespace marjoramloom
