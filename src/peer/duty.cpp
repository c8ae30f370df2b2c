#include "marjoramloom/peer/duty.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>
#include <tuple>

namespace marjoramloom {

namespace {

struct candidate
{
    const member *who = nullptr;
    bool leaving = false;
    bool notReady = false;
    std::uint64_t weight = 0;
};

auto comesBefore(const candidate &left, const candidate &right) -> bool
{
    const auto rank = [](const candidate &one) {
        return std::tuple(one.leaving, one.notReady, ~one.weight, one.who->incarnation);
    };
    return rank(left) < rank(right);
}

auto candidatesFor(const std::vector<member> &members, const duty_key &key) -> std::vector<candidate>
{
    const auto seed = hash64(key.dataCentre + '\n' + key.subject, static_cast<std::uint64_t>(key.kind));
    auto candidates = std::vector<candidate>();
    for (const auto &who : members) {
        if (who.dataCentre == key.dataCentre) {
            const auto notReady = key.kind == duty_kind::dispatcher && !who.ready;
            candidates.push_back({ &who, who.leaving, notReady, hash64(who.instance, seed) });
        }
    }
    return candidates;
}

} // namespace

auto dispatcherDuty(const pool_id &pool) -> duty_key
{
    return { duty_kind::dispatcher, pool.dataCentre, std::to_string(pool.service.value) };
}

auto gatewayDuty(const std::string &from, const std::string &to) -> duty_key
{
    return { duty_kind::gateway, from, to };
}

auto dutyOrder(const std::vector<member> &members, const duty_key &key) -> std::vector<member>
{
    auto candidates = candidatesFor(members, key);
    std::sort(candidates.begin(), candidates.end(), comesBefore);
    auto order = std::vector<member>();
    for (const auto &one : candidates) {
        order.push_back(*one.who);
    }
    return order;
}

auto groupByDataCentre(const std::vector<member> &members) -> std::map<std::string, std::vector<member>>
{
    auto groups = std::map<std::string, std::vector<member>>();
    for (const auto &who : members) {
        groups[who.dataCentre].push_back(who);
    }
    return groups;
}

auto dutyHolder(const std::vector<member> &members, const duty_key &key) -> incarnation_id
{
    const auto candidates = candidatesFor(members, key);
    const auto first = std::min_element(candidates.begin(), candidates.end(), comesBefore);
    return first == candidates.end() ? 0 : first->who->incarnation;
}

} // namespace marjoramloom
