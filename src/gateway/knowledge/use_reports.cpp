// The part of load_exchange and of the datagram codec that concerns the routers' uses.

#include "datagram_codec.h"
#include "marjoramloom/gateway/knowledge/load_exchange.h"
#include "marjoramloom/gateway/knowledge/router_uses.h"

#include <algorithm>
#include <cmath>

namespace marjoramloom {

namespace {

// Values of RouterUse.absence.
constexpr std::uint32_t overloadClaimed = 1;
constexpr std::uint32_t unavailable = 2;
constexpr std::uint32_t overloadAbsent = 3;
constexpr double permille = 1e3;
/// Longest absence that is sent.
constexpr auto maxAbsenceAge = std::chrono::milliseconds(86'400'000);

auto toWholeMilliseconds(duration span) -> std::uint32_t
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(span);
    return static_cast<std::uint32_t>(
        std::clamp<std::chrono::milliseconds>(whole, std::chrono::milliseconds(0), maxAbsenceAge).count());
}

auto toWhole(double value, double largest) -> std::uint32_t
{
    return static_cast<std::uint32_t>(std::lround(std::clamp(value, 0.0, largest)));
}

} // namespace

auto readUse(const wire::RouterUse &message, time_point now) -> router_use
{
    auto use = router_use{ .router = message.router(),
                           .cores = message.cores(),
                           .use = message.use_permille() / permille,
                           .arrivals = static_cast<double>(message.arrivals()),
                           .refusals = static_cast<double>(message.refusals()),
                           .demand = message.demand_permille() / permille,
                           .reasonSince = now - std::chrono::milliseconds(message.absence_age_ms()),
                           .measuredAt = now - std::chrono::milliseconds(message.age_ms()) };
    if (message.absence() == overloadClaimed || message.absence() == overloadAbsent) {
        use.reason = absence_reason::overload;
    } else if (message.absence() != 0) {
        use.reason = absence_reason::unavailable;
    }
    use.isAbsent = message.absence() != 0 && message.absence() != overloadClaimed;
    return use;
}

auto write(const router_use &use, time_point now, wire::RouterUse &message) -> void
{
    message.set_router(use.router);
    message.set_age_ms(toWholeMilliseconds(now - use.measuredAt));
    message.set_cores(static_cast<float>(use.cores));
    message.set_use_permille(toWhole(use.use * permille, router_uses::MAX_DEMAND * permille));
    message.set_arrivals(toWhole(use.arrivals, router_uses::MAX_RATE));
    message.set_refusals(toWhole(use.refusals, router_uses::MAX_RATE));
    message.set_demand_permille(toWhole(use.demand * permille, router_uses::MAX_DEMAND * permille));
    if (use.reason == absence_reason::none) {
        return;
    }
    message.set_absence(use.reason == absence_reason::unavailable ? unavailable
                            : use.isAbsent                        ? overloadAbsent
                                                                  : overloadClaimed);
    message.set_absence_age_ms(toWholeMilliseconds(now - use.reasonSince));
}

auto load_exchange::setUseHandler(std::function<void(const std::vector<router_use> &reports)> onUses) -> void
{
    m_onUses = std::move(onUses);
}

auto load_exchange::sendUses(std::uint64_t router, const std::vector<router_use> &reports) -> void
{
    const auto now = system_clock_source().now();
    auto datagram = wire::RouterDatagram();
    for (const auto &report : reports) {
        write(report, now, *datagram.add_uses());
    }
    send(router, datagram);
}

auto load_exchange::handleUses(const wire::RouterDatagram &datagram, time_point now) -> void
{
    if (datagram.uses_size() == 0 || !m_onUses) {
        return;
    }
    auto reports = std::vector<router_use>();
    const auto count = std::min(static_cast<std::size_t>(datagram.uses_size()), router_uses::MAX_RELAYED);
    for (auto index = std::size_t(0); index < count; ++index) {
        reports.push_back(readUse(datagram.uses(static_cast<int>(index)), now));
    }
    m_onUses(reports);
}

} // namespace marjoramloom
