#include "marjoramloom/peer/relay_plan.h"

#include "marjoramloom/peer/role.h"

#include <algorithm>

namespace marjoramloom {

auto counterparts(const std::vector<member> &live, const member &self) -> std::vector<member>
{
    const auto groups = groupByDataCentre(live);
    const auto own = groups.find(self.dataCentre);
    auto result = std::vector<member>();
    for (const auto &[other, members] : groups) {
        const auto isOwn = other == self.dataCentre || own == groups.end();
        if (isOwn || findRoleHolder(own->second, gatewayRole(self.dataCentre, other)) != self.incarnation) {
            continue;
        }
        auto order = rankRoleCandidates(members, gatewayRole(other, self.dataCentre));
        const auto reachable =
            std::find_if(order.begin(), order.end(), [](const member &router) { return router.heardDirectly; });
        result.push_back(reachable == order.end() ? std::move(order.front()) : std::move(*reachable));
    }
    return result;
}

auto relayTargets(const std::vector<member> &live, const member &self, incarnation_id receivedFrom)
    -> std::vector<incarnation_id>
{
    const auto sender = std::find_if(live.begin(), live.end(),
                                     [&](const member &router) { return router.incarnation == receivedFrom; });
    const auto isOwn = receivedFrom == 0 || receivedFrom == self.incarnation;
    const auto isLocal = sender != live.end() && sender->dataCentre == self.dataCentre;
    auto targets = std::vector<incarnation_id>();
    if (isOwn || !isLocal) {
        for (const auto &router : live) {
            const auto isExcluded = router.incarnation == self.incarnation || router.incarnation == receivedFrom;
            if (!isExcluded && router.dataCentre == self.dataCentre) {
                targets.push_back(router.incarnation);
            }
        }
    }
    if (isOwn || isLocal) {
        for (const auto &router : counterparts(live, self)) {
            targets.push_back(router.incarnation);
        }
    }
    return targets;
}

} // namespace marjoramloom
