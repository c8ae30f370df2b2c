#pragma once

#include "marjoramloom/gateway/decisions/rotation_policy.h"
#include "marjoramloom/gateway/decisions/router_use_meter.h"

#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// Chooses the router that serves a connection which this one has no processor time for.
///
/// The routers of the data centre report how much of their processor time their arrivals need. A connection goes to one
/// of them at random, in proportion to the processor time that is left, so that a flood spreads over all of them and
/// routers that choose at the same time do not choose the same one. What this router sent to another one since its
/// report counts as used. Not thread safe.
class tunnel_choice
{
public:
    /// Fraction of a router's processor time up to which it takes connections of others. The rest is for its own
    /// callers, and for dispatching.
    static constexpr double MAX_DEMAND = 0.5;
    /// A router that did not take a tunnel gets none for this time.
    static constexpr duration UNREACHABLE_TIME = std::chrono::milliseconds(500);
    /// Processor time that a tunnelled connection is expected to take where it is served, in seconds of a core.
    static constexpr double CONNECTION_COST = router_use_meter::INITIAL_COST;

    /// Tells whether the router with the given id may be used: whether it is known and neither silent nor stopping.
    using is_usable = std::function<bool(std::uint64_t router)>;

    /// Takes over the newest reports of other routers of the data centre.
    auto setReports(const std::vector<router_use> &reports, time_point now) -> void;

    /// Whether any router has room.
    [[nodiscard]] auto hasRoom(time_point now) const -> bool;

    /// Draws a router for a connection. Nothing if no router has room.
    auto choose(const is_usable &isUsable, boost::random::mt19937_64 &random, time_point now)
        -> std::optional<std::uint64_t>;

    /// Records that \p router could not be reached.
    auto noteUnreachable(std::uint64_t router, time_point now) -> void;

private:
    struct candidate
    {
        std::uint64_t router = 0;
        double cores = 0; ///< Left for connections of other routers.
        time_point measuredAt{};
        double sentSeconds = 0; ///< Processor time of what was sent there since the report.
    };

    [[nodiscard]] static auto roomOf(const candidate &one, time_point now) -> double;
    [[nodiscard]] auto isExcluded(std::uint64_t router, time_point now) const -> bool;

    std::vector<candidate> m_candidates;
    std::unordered_map<std::uint64_t, time_point> m_excludedUntil;
};

} // namespace marjoramloom
