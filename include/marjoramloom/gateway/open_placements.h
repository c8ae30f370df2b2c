#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/fleet_loads.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace marjoramloom {

/// Placements that this router made for others and that their reports do not show yet.
///
/// Not thread safe.
class open_placements
{
public:
    /// A placement that no report shows after this long was lost or is already over.
    static constexpr duration LIFETIME = std::chrono::milliseconds(500);

    /// A request of \p router was placed on the run \p server. Returns the placement's number, from 1.
    auto add(std::uint64_t router, std::uint64_t server, std::uint32_t tokens, time_point now) -> std::uint64_t;

    /// The loads that \p router reports hold its placements up to \p sequence.
    auto settle(std::uint64_t router, std::uint64_t sequence) -> void;

    /// Drops placements past their lifetime. Call before reading sums.
    auto expire(time_point now) -> void;

    /// Open placements on a run of an engine.
    [[nodiscard]] auto onEngine(std::uint64_t server) const -> engine_share;

private:
    struct placement
    {
        std::uint64_t sequence = 0;
        std::uint64_t server = 0;
        std::uint32_t tokens = 0;
        time_point madeAt;
    };
    struct router_placements
    {
        std::uint64_t last = 0;
        std::deque<placement> open;
    };

    auto close(const placement &ended) -> void;

    std::unordered_map<std::uint64_t, router_placements> m_routers;
    std::unordered_map<std::uint64_t, engine_share> m_engines; ///< Sums over all open placements.
};

} // namespace marjoramloom
