#include "marjoramloom/peer/topology.h"

#include "marjoramloom/peer/role.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// If the counterpart is not heard directly, the gateway also connects to the next candidates, up to this number.
constexpr auto maxGatewayCandidates = std::size_t(3);

auto otherDataCentres(const topology_input &input, const std::vector<member> &live) -> std::set<std::string>
{
    auto names = std::set<std::string>();
    for (const auto &router : live) {
        names.insert(router.dataCentre);
    }
    for (const auto &instance : input.routers.listed()) {
        names.insert(instance.dataCentre);
    }
    for (const auto &[name, addresses] : input.routers.addressHints()) {
        names.insert(name);
    }
    names.erase(input.routers.self().dataCentre);
    return names;
}

auto addLocalMembers(const topology_input &input, const std::vector<member> &live, std::set<std::string> &wanted)
    -> void
{
    const auto &own = input.routers.self().dataCentre;
    for (const auto &router : live) {
        if (router.dataCentre == own) {
            wanted.insert(router.peerAddress);
        }
    }
    for (const auto &instance : input.routers.listed()) {
        if (instance.dataCentre == own) {
            wanted.insert(instance.address);
        }
    }
}

auto addCounterpart(const topology_input &input, const std::vector<member> &members, const std::string &other,
                    std::set<std::string> &wanted) -> void
{
    const auto &self = input.routers.self();
    const auto order = rankRoleCandidates(members, gatewayRole(other, self.dataCentre));
    auto tries = std::size_t(0);
    for (const auto &router : order) {
        wanted.insert(router.peerAddress);
        if (router.heardDirectly || ++tries == maxGatewayCandidates) {
            return;
        }
    }
    if (!order.empty()) {
        return;
    }
    if (const auto hinted = input.routers.addressHints().find(other); hinted != input.routers.addressHints().end()) {
        wanted.insert(hinted->second.begin(), hinted->second.end());
    }
    for (const auto &instance : input.routers.listed()) {
        if (instance.dataCentre == other && tries++ < maxGatewayCandidates) {
            wanted.insert(instance.address);
        }
    }
}

auto addGateways(const topology_input &input, const std::vector<member> &live, std::set<std::string> &wanted) -> void
{
    const auto &self = input.routers.self();
    auto groups = groupByDataCentre(live);
    for (const auto &other : otherDataCentres(input, live)) {
        if (findRoleHolder(groups[self.dataCentre], gatewayRole(self.dataCentre, other)) == self.incarnation) {
            addCounterpart(input, groups[other], other, wanted);
        }
    }
}

auto addUnknownSeeds(const topology_input &input, const std::vector<member> &live, std::set<std::string> &wanted)
    -> void
{
    for (const auto &seed : input.seeds) {
        const auto known =
            std::any_of(live.begin(), live.end(), [&](const member &router) { return router.peerAddress == seed; });
        if (!known) {
            wanted.insert(seed);
        }
    }
}

} // namespace

auto requiredLinkAddresses(const topology_input &input, time_point now) -> std::set<std::string>
{
    const auto live = input.routers.members(now);
    auto wanted = std::set<std::string>();
    addLocalMembers(input, live, wanted);
    addGateways(input, live, wanted);
    addUnknownSeeds(input, live, wanted);
    for (const auto &[incarnation, when] : input.lastMessageAt) {
        const auto *router = input.routers.find(incarnation);
        if (router && now - when < input.idleTimeout) {
            wanted.insert(router->peerAddress);
        }
    }
    wanted.erase(input.routers.self().peerAddress);
    wanted.erase("");
    return wanted;
}

} // namespace marjoramloom
