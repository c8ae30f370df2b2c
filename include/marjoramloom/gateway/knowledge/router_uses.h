#pragma once

#include "marjoramloom/gateway/decisions/rotation_policy.h"

#include <vector>

namespace marjoramloom {

/// The newest measurements of the routers of this data centre, as they report and relay them to each other.
///
/// Reports are relayed with their age, so that they grow old on the way and end after rotation_policy::MAX_REPORT_AGE.
/// Not thread safe.
class router_uses
{
public:
    /// Reports that one datagram relays. Twelve take about 400 bytes; in a data centre with more routers, those that
    /// ask for no connections, then in equal parts those with the highest demand and the largest others, of which
    /// rotation_policy needs one with room.
    static constexpr std::size_t MAX_RELAYED = 12;
    /// Values beyond these are not credible, and are lowered to them.
    static constexpr double MAX_DEMAND = 20;
    static constexpr double MAX_RATE = 1e6;

    /// Takes a report over if it is newer than the known one of the same router, and not too old at \p now. One from
    /// the future counts as measured at \p now.
    auto note(router_use report, time_point now) -> void;

    /// The reports that are not too old at \p now.
    [[nodiscard]] auto recent(time_point now) -> const std::vector<router_use> &;

    /// What to send to another router at \p now: \p own and the most important reports of others.
    [[nodiscard]] auto forRelay(const router_use &own, time_point now) -> std::vector<router_use>;

private:
    std::vector<router_use> m_reports; ///< One for each router.
};

} // namespace marjoramloom
