#include "marjoramloom/peer/topology.h"

#include "marjoramloom/peer/duty.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// A gateway that hears nothing of its counterpart tries the next ones too, up to this many.
constexpr auto mostGatewayTries = std::size_t(3);

auto otherDataCentres(const topology_input &input, const std::vector<member> &live) -> std::set<std::string>
{
    auto names = std::set<std::string>();
    for (const auto &who : live) {
        names.insert(who.dataCentre);
    }
    for (const auto &row : input.routers.listed()) {
        names.insert(row.dataCentre);
    }
    for (const auto &[name, addresses] : input.routers.hints()) {
        names.insert(name);
    }
    names.erase(input.routers.self().dataCentre);
    return names;
}

auto addOwnDataCentre(const topology_input &input, const std::vector<member> &live, std::set<std::string> &wanted)
    -> void
{
    const auto &own = input.routers.self().dataCentre;
    for (const auto &who : live) {
        if (who.dataCentre == own) {
            wanted.insert(who.peerAddress);
        }
    }
    for (const auto &row : input.routers.listed()) {
        if (row.dataCentre == own) {
            wanted.insert(row.address);
        }
    }
}

auto addCounterpart(const topology_input &input, const std::vector<member> &members, const std::string &other,
                    std::set<std::string> &wanted) -> void
{
    const auto &self = input.routers.self();
    const auto order = dutyOrder(members, gatewayDuty(other, self.dataCentre));
    auto tries = std::size_t(0);
    for (const auto &who : order) {
        wanted.insert(who.peerAddress);
        if (who.direct || ++tries == mostGatewayTries) {
            return;
        }
    }
    if (!order.empty()) {
        return;
    }
    if (const auto hinted = input.routers.hints().find(other); hinted != input.routers.hints().end()) {
        wanted.insert(hinted->second.begin(), hinted->second.end());
    }
    for (const auto &row : input.routers.listed()) {
        if (row.dataCentre == other && tries++ < mostGatewayTries) {
            wanted.insert(row.address);
        }
    }
}

auto addGateways(const topology_input &input, const std::vector<member> &live, std::set<std::string> &wanted) -> void
{
    const auto &self = input.routers.self();
    auto groups = groupByDataCentre(live);
    for (const auto &other : otherDataCentres(input, live)) {
        if (dutyHolder(groups[self.dataCentre], gatewayDuty(self.dataCentre, other)) == self.incarnation) {
            addCounterpart(input, groups[other], other, wanted);
        }
    }
}

auto addUnknownSeeds(const topology_input &input, const std::vector<member> &live, std::set<std::string> &wanted)
    -> void
{
    for (const auto &seed : input.seeds) {
        const auto known =
            std::any_of(live.begin(), live.end(), [&](const member &who) { return who.peerAddress == seed; });
        if (!known) {
            wanted.insert(seed);
        }
    }
}

} // namespace

auto wantedAddresses(const topology_input &input, time_point now) -> std::set<std::string>
{
    const auto live = input.routers.members(now);
    auto wanted = std::set<std::string>();
    addOwnDataCentre(input, live, wanted);
    addGateways(input, live, wanted);
    addUnknownSeeds(input, live, wanted);
    for (const auto &[incarnation, when] : input.used) {
        const auto *who = input.routers.find(incarnation);
        if (who && now - when < input.idleTimeout) {
            wanted.insert(who->peerAddress);
        }
    }
    wanted.erase(input.routers.self().peerAddress);
    wanted.erase("");
    return wanted;
}

} // namespace marjoramloom
