#include "share/suspension_policy.h"

#include "share/running_work.h"

#include <algorithm>

namespace marjoramloom {

namespace {

/// With half a second of repeated prefill at a resume, at most a tenth of a long request's slot time is repeated.
constexpr auto shortestRun = duration(std::chrono::milliseconds(300));

/// A router that did not suspend a request by then will not; the slot is not counted on.
constexpr auto suspensionTimeout = duration(std::chrono::seconds(2));

auto mayBeSuspended(const running_piece &piece, const suspension_policy::server_function &usable, time_point now)
    -> bool
{
    return piece.length == work_length::longWork && piece.suspendable && !piece.suspendedAt
        && now - piece.grantedAt >= shortestRun && usable(piece.granted.server);
}

} // namespace

auto suspension_policy::candidates(const running_work &running, const server_function &usable, time_point now) const
    -> std::size_t
{
    return std::size_t(
        std::ranges::count_if(running.all(), [&](const auto &row) { return mayBeSuspended(row.second, usable, now); }));
}

auto suspension_policy::choose(running_work &running, const demand &wanted, const service_function &serviceOf,
                               const server_function &usable, time_point now) const -> std::vector<suspension>
{
    auto victims = std::vector<std::pair<double, ticket_id>>();
    auto underWay = std::size_t(0);
    for (const auto &[id, piece] : running.all()) {
        if (piece.suspendedAt) {
            underWay += now - *piece.suspendedAt < suspensionTimeout ? 1 : 0;
            continue;
        }
        const auto account = piece.granted.account;
        if (!mayBeSuspended(piece, usable, now)) {
            continue;
        }
        if (account == wanted.shortAccount || wanted.shortService <= serviceOf(account) + wanted.allowance) {
            victims.emplace_back(piece.used, id);
        }
    }
    auto chosen = std::vector<suspension>();
    const auto missing = wanted.slots > underWay ? wanted.slots - underWay : 0;
    const auto count = std::min(missing, victims.size());
    std::ranges::partial_sort(victims, victims.begin() + std::ptrdiff_t(count));
    for (auto index = std::size_t(0); index < count; ++index) {
        auto *piece = running.find(victims[index].second);
        piece->suspendedAt = now;
        chosen.push_back({ piece->granted.ticket, piece->granted.origin, piece->granted.server });
    }
    return chosen;
}

} // namespace marjoramloom
