#include "marjoramloom/peer/role.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <tuple>

namespace marjoramloom {

namespace {

/// A member with the properties that determine its rank.
struct candidate
{
    const member *router = nullptr;
    bool leaving = false;
    bool notReady = false;
    std::uint64_t weight = 0;
};

auto ranksBefore(const candidate &left, const candidate &right) -> bool
{
    const auto rank = [](const candidate &entry) {
        return std::tuple(entry.leaving, entry.notReady, ~entry.weight, entry.router->incarnation);
    };
    return rank(left) < rank(right);
}

auto collectCandidates(const std::vector<member> &members, const role_key &key) -> std::vector<candidate>
{
    const auto seed = hash64(key.dataCentre + '\n' + key.subject, static_cast<std::uint64_t>(key.kind));
    auto candidates = std::vector<candidate>();
    for (const auto &router : members) {
        if (router.dataCentre == key.dataCentre) {
            const auto notReady = key.kind == role_kind::dispatcher && !router.ready;
            candidates.push_back({ &router, router.leaving, notReady, hash64(router.instance, seed) });
        }
    }
    return candidates;
}

} // namespace

auto dispatcherRole(const pool_id &pool) -> role_key
{
    return { role_kind::dispatcher, pool.dataCentre, std::to_string(pool.service.value) };
}

auto gatewayRole(const std::string &from, const std::string &to) -> role_key
{
    return { role_kind::gateway, from, to };
}

auto rankRoleCandidates(const std::vector<member> &members, const role_key &key) -> std::vector<member>
{
    auto candidates = collectCandidates(members, key);
    std::sort(candidates.begin(), candidates.end(), ranksBefore);
    auto order = std::vector<member>();
    for (const auto &entry : candidates) {
        order.push_back(*entry.router);
    }
    return order;
}

auto groupByDataCentre(const std::vector<member> &members) -> std::map<std::string, std::vector<member>>
{
    auto groups = std::map<std::string, std::vector<member>>();
    for (const auto &router : members) {
        groups[router.dataCentre].push_back(router);
    }
    return groups;
}

auto findRoleHolder(const std::vector<member> &members, const role_key &key) -> incarnation_id
{
    const auto candidates = collectCandidates(members, key);
    const auto first = std::min_element(candidates.begin(), candidates.end(), ranksBefore);
    return first == candidates.end() ? 0 : first->router->incarnation;
}

} // namespace marjoramloom
