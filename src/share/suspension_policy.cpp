#include "share/suspension_policy.h"

#include "share/running_work.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// Shortest run of a request before it may be suspended. With half a second of repeated prefill at a resume, at most a
/// tenth of a long request's slot time is repeated.
constexpr auto minRunTime = duration(std::chrono::milliseconds(300));

/// Time after which a suspension that its router has not carried out no longer counts as a slot about to be free.
constexpr auto suspensionTimeout = duration(std::chrono::seconds(2));

auto mayBeSuspended(const charged_request &request, const suspension_policy::server_function &usable, time_point now)
    -> bool
{
    return request.length == work_length::longWork && request.suspendable && !request.suspendedAt
        && now - request.grantedAt >= minRunTime && usable(request.granted.server);
}

} // namespace

auto suspension_policy::candidates(const running_work &running, const server_function &usable, time_point now) const
    -> std::size_t
{
    return std::size_t(std::ranges::count_if(
        running.all(), [&](const auto &entry) { return mayBeSuspended(entry.second, usable, now); }));
}

auto suspension_policy::choose(running_work &running, const demand &shortDemand, const service_function &serviceOf,
                               const server_function &usable, time_point now) const -> std::vector<suspension>
{
    auto victims = std::vector<std::pair<double, ticket_id>>();
    auto pendingSuspensions = std::size_t(0);
    for (const auto &[id, request] : running.all()) {
        if (request.suspendedAt) {
            pendingSuspensions += now - *request.suspendedAt < suspensionTimeout ? 1 : 0;
            continue;
        }
        const auto account = request.granted.account;
        if (!mayBeSuspended(request, usable, now)) {
            continue;
        }
        if (account == shortDemand.shortAccount
            || shortDemand.shortService <= serviceOf(account) + shortDemand.allowance) {
            victims.emplace_back(request.used, id);
        }
    }
    auto chosen = std::vector<suspension>();
    const auto missing = shortDemand.slots > pendingSuspensions ? shortDemand.slots - pendingSuspensions : 0;
    const auto count = std::min(missing, victims.size());
    std::ranges::partial_sort(victims, victims.begin() + std::ptrdiff_t(count));
    for (auto index = std::size_t(0); index < count; ++index) {
        auto *request = running.find(victims[index].second);
        request->suspendedAt = now;
        chosen.push_back({ request->granted.ticket, request->granted.origin, request->granted.server });
    }
    return chosen;
}

} // namespace marjoramloom
