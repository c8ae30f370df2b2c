#include "marjoramloom/peer/relay_plan.h"

#include "marjoramloom/peer/duty.h"

#include <algorithm>

namespace marjoramloom {

auto counterparts(const std::vector<member> &live, const member &self) -> std::vector<member>
{
    const auto groups = groupByDataCentre(live);
    const auto own = groups.find(self.dataCentre);
    auto found = std::vector<member>();
    for (const auto &[other, members] : groups) {
        const auto isOwn = other == self.dataCentre || own == groups.end();
        if (isOwn || dutyHolder(own->second, gatewayDuty(self.dataCentre, other)) != self.incarnation) {
            continue;
        }
        auto order = dutyOrder(members, gatewayDuty(other, self.dataCentre));
        const auto heard = std::find_if(order.begin(), order.end(), [](const member &who) { return who.direct; });
        found.push_back(heard == order.end() ? std::move(order.front()) : std::move(*heard));
    }
    return found;
}

auto relayTargets(const std::vector<member> &live, const member &self, incarnation_id heardFrom)
    -> std::vector<incarnation_id>
{
    const auto sender =
        std::find_if(live.begin(), live.end(), [&](const member &who) { return who.incarnation == heardFrom; });
    const auto isOwn = heardFrom == 0 || heardFrom == self.incarnation;
    const auto isLocal = sender != live.end() && sender->dataCentre == self.dataCentre;
    auto targets = std::vector<incarnation_id>();
    if (isOwn || !isLocal) {
        for (const auto &who : live) {
            const auto told = who.incarnation == self.incarnation || who.incarnation == heardFrom;
            if (!told && who.dataCentre == self.dataCentre) {
                targets.push_back(who.incarnation);
            }
        }
    }
    if (isOwn || isLocal) {
        for (const auto &who : counterparts(live, self)) {
            targets.push_back(who.incarnation);
        }
    }
    return targets;
}

} // namespace marjoramloom
