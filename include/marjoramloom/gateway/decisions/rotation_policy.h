#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace marjoramloom {

/// Why a router asks to get no new connections.
enum class absence_reason {
    none,
    overload, ///< The connections that arrive need more processor time than this router has.
    unavailable, ///< It stops, starts or has no configuration; not a decision of this policy.
};

template<>
struct enum_names<absence_reason>
{
    static constexpr std::array table{
        enum_name<absence_reason>{ absence_reason::none, "none" },
        enum_name<absence_reason>{ absence_reason::overload, "overload" },
        enum_name<absence_reason>{ absence_reason::unavailable, "unavailable" },
    };
};

/// What one router of a data centre measures of its connections and reports to the others.
struct router_use
{
    std::uint64_t router = 0; ///< From router_roster::idOf().
    double cores = 1; ///< CPU cores that it may use; may be a fraction.
    double use = 0; ///< Processor time used, as a fraction of what it may use.
    double arrivals = 0; ///< New connections a second, refused ones included.
    double refusals = 0; ///< Connections and requests refused a second.
    double demand = 0; ///< Processor time that all arrivals would need, as a fraction of what it may use.
    absence_reason reason = absence_reason::none;
    time_point reasonSince{}; ///< When `reason` became other than none.
    bool isAbsent = false; ///< The absence for `reason` has begun.
    time_point measuredAt{};
};

/// Decides whether a router takes part in the load balancer's rotation, from its own measurements and the reports of
/// the other routers of its data centre.
///
/// The load is a caller whose new connections all reach the same router by a hash. A small router that such a caller
/// reaches leaves while a larger one has room, so that the balancer moves the caller. Routers claim their absence first
/// and leave after CLAIM_TIME, when the others have heard of it. All compute the same order of claims: those that are
/// absent already, then the oldest. Only the first ones, up to MAX_ABSENT_FRACTION of the routers, are absent; routers
/// that are unavailable count as absent. A router that hears of no other one follows its own measurements alone. Not
/// thread safe.
class rotation_policy
{
public:
    /// Largest fraction of a data centre's routers that are out of rotation.
    static constexpr double MAX_ABSENT_FRACTION = 0.25;
    /// Reports older than this are ignored. Reports take up to a second to reach all of 85 routers.
    static constexpr duration MAX_REPORT_AGE = std::chrono::milliseconds(3'000);
    /// From a claim to the absence. The balancer acts two to three seconds after it at the earliest.
    static constexpr duration CLAIM_TIME = std::chrono::milliseconds(500);

    /// Demand, as a fraction of its processor time, at which a router claims its absence.
    static constexpr double LEAVE_DEMAND = 0.9;
    /// Shortest time that a router claims its absence, several times what the balancer needs to follow.
    static constexpr duration MIN_ABSENCE = std::chrono::milliseconds(8'000);
    /// The same for a router that hears of no other one: longer than a burst of traffic, so that callers too large for
    /// the router end up at a larger one.
    static constexpr duration ABSENCE_IF_ALONE = std::chrono::seconds(30);
    /// After this time a router returns although the flood seems to go on, as reports may be wrong.
    static constexpr duration MAX_ABSENCE = std::chrono::seconds(60);
    /// Successive updates with LEAVE_DEMAND before a claim. A caller that begins at once looks like a steep growth in
    /// the first one.
    static constexpr int UPDATES_BEFORE_CLAIM = 2;
    /// Use of the processor time of all routers in rotation up to which a router may leave.
    static constexpr double MAX_FLEET_USE = 0.7;
    /// Beyond this use, absent routers return, as their processor time is needed.
    static constexpr double FULL_FLEET_USE = 0.9;
    /// Shortest absence if the fleet is full.
    static constexpr duration MIN_ABSENCE_IF_FULL = std::chrono::milliseconds(1'500);
    /// Time between the returns of two routers.
    static constexpr duration RETURN_SPACING = std::chrono::milliseconds(2'500);
    /// The same if the fleet is full, where every router is overloaded anyway.
    static constexpr duration RETURN_SPACING_IF_FULL = std::chrono::milliseconds(1'000);

    /// Outcome of update().
    struct decision
    {
        bool isAbsent = false; ///< New connections should go to other routers.
        absence_reason reason = absence_reason::none; ///< To be reported to the others.
        time_point reasonSince{}; ///< To be reported to the others.
        std::size_t reportingRouters = 0; ///< Other routers with a report that is not too old.
        std::size_t absentRouters = 0; ///< Those that claim an absence, this one included.
        std::size_t maxAbsent = 0; ///< Claims that are granted.
    };

    /// Decides from the own measurements \p own and the newest reports \p others of other routers. Call several times a
    /// second. Its `reason`, `reasonSince` and `isAbsent` are ignored, except for absence_reason::unavailable. \p
    /// routers is the number of known routers of the data centre, this one included.
    auto update(const router_use &own, const std::vector<router_use> &others, std::size_t routers, time_point now)
        -> decision;

private:
    auto updateReason(const router_use &own, const std::vector<router_use> &heard, time_point now) -> void;
    auto mayReturn(const router_use &own, const std::vector<router_use> &heard, time_point now) const -> bool;

    absence_reason m_reason = absence_reason::none;
    time_point m_reasonSince{};
    bool m_isAbsent = false;
    time_point m_lastReturn{}; ///< When another router was last seen to give up its claim.
    std::size_t m_claimsOfOthers = 0;
    int m_overloadedUpdates = 0; ///< Successive ones.
};

} // namespace marjoramloom
