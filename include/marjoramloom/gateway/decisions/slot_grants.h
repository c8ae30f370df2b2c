#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace marjoramloom {

/// The requests that a dispatcher lets other routers send to plain servers and that have not ended yet.
///
/// A router returns a grant when its request ends, and lists the grants that it still holds in its reports: these make
/// up for lost messages. Grants of a router that falls silent expire. Not thread safe.
class slot_grants
{
public:
    /// Longer than several report periods.
    static constexpr duration LIFETIME = std::chrono::milliseconds(700);

    struct grant
    {
        std::uint64_t server = 0; ///< Incarnation of the server.
        std::uint32_t running = 0; ///< Other requests that were at the server when it was granted.
        time_point renewedAt;
    };

    /// Grants \p router a place at \p server, where \p running requests are. Returns the grant's number: unique and
    /// ascending, from 1.
    auto add(std::uint64_t router, std::uint64_t server, std::uint32_t running, time_point now) -> std::uint64_t;

    /// Ends a grant; nothing if it has ended already.
    auto release(std::uint64_t router, std::uint64_t number) -> std::optional<grant>;

    /// Ends the grants of \p router up to \p last that it does not hold any more, and renews the others. Returns how
    /// many it holds at each server.
    auto reconcile(std::uint64_t router, std::uint64_t last, const std::set<std::uint64_t> &held, time_point now)
        -> std::map<std::uint64_t, std::uint32_t>;

    /// Ends the grants of \p router, which stops.
    auto removeRouter(std::uint64_t router) -> void;

    /// Ends the grants that were not renewed for LIFETIME. Call before running().
    auto expire(time_point now) -> void;

    /// Number of grants at \p server.
    [[nodiscard]] auto running(std::uint64_t server) const -> std::uint32_t;

private:
    using grants_by_number = std::map<std::uint64_t, grant>;

    auto subtract(const grant &ended) -> void;

    std::uint64_t m_lastNumber = 0;
    std::unordered_map<std::uint64_t, grants_by_number> m_routers;
    std::unordered_map<std::uint64_t, std::uint32_t> m_running; ///< Grants by server.
    time_point m_lastExpiry{};
};

} // namespace marjoramloom
