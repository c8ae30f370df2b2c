#include "layout.h"

namespace marjoramloom::bench {

namespace {

constexpr auto services = std::array{ service_index::model, service_index::orders };
constexpr auto firstServiceId = std::uint64_t(1'000);
constexpr auto firstAccountId = std::uint64_t(2'000);
constexpr auto firstEngineId = std::uint64_t(3'000);
constexpr auto firstProfileId = std::uint64_t(4'000);

} // namespace

auto serviceId(service_index service) -> object_id
{
    return { firstServiceId + static_cast<std::uint64_t>(service) };
}

auto accountId(std::size_t account) -> object_id
{
    return { firstAccountId + account };
}

auto engineId(std::size_t number) -> object_id
{
    return { firstEngineId + number };
}

auto engineNumberOf(object_id id) -> std::size_t
{
    return id.value - firstEngineId;
}

auto profileId(std::size_t classIndex) -> object_id
{
    return { firstProfileId + classIndex };
}

auto incarnationOf(std::uint32_t router) -> incarnation_id
{
    constexpr auto startedAt = incarnation_id(1) << 60U; // As large as real ones, which contain the start time.
    return startedAt + router;
}

auto routerOf(incarnation_id incarnation) -> std::uint32_t
{
    return static_cast<std::uint32_t>(incarnation - incarnationOf(0));
}

auto pool_layout::domains(const fleet &simulatedFleet) -> std::vector<dispatch_domain>
{
    auto created = std::vector<dispatch_domain>();
    for (const auto service : services) {
        for (auto dataCentre = std::uint32_t(0); dataCentre < simulatedFleet.deployment().dataCentres; ++dataCentre) {
            auto domain = dispatch_domain();
            domain.pool = { "dc" + std::to_string(dataCentre), serviceId(service) };
            domain.host =
                dataCentre * simulatedFleet.deployment().routersPerDataCentre + static_cast<std::uint32_t>(service);
            domain.service = service;
            for (auto index = std::size_t(0); index < simulatedFleet.engineCount(service); ++index) {
                const auto number = simulatedFleet.engineNumber(service, index);
                if (simulatedFleet.dataCentreOfEngine(number) == dataCentre) {
                    domain.slots[number] = simulatedFleet.engine(number).settings().slots;
                }
            }
            created.push_back(std::move(domain));
        }
    }
    return created;
}

auto pool_layout::domainOf(const fleet &simulatedFleet, std::uint32_t router, service_index service) -> std::size_t
{
    return static_cast<std::size_t>(service) * simulatedFleet.deployment().dataCentres
        + simulatedFleet.dataCentreOfRouter(router);
}

auto router_layout::domains(const fleet &simulatedFleet) -> std::vector<dispatch_domain>
{
    auto created = std::vector<dispatch_domain>();
    for (const auto service : services) {
        for (auto router = std::uint32_t(0); router < simulatedFleet.routerCount(); ++router) {
            auto domain = dispatch_domain();
            domain.pool = { "router" + std::to_string(router), serviceId(service) };
            domain.host = router;
            domain.service = service;
            for (auto index = std::size_t(0); index < simulatedFleet.engineCount(service); ++index) {
                const auto number = simulatedFleet.engineNumber(service, index);
                const auto engineSlots = simulatedFleet.engine(number).settings().slots;
                const auto remainderOffset =
                    (router + static_cast<std::uint32_t>(index)) % simulatedFleet.routerCount();
                const auto routerSlots = engineSlots / simulatedFleet.routerCount()
                    + (remainderOffset < engineSlots % simulatedFleet.routerCount() ? 1 : 0);
                if (routerSlots > 0) {
                    domain.slots[number] = routerSlots;
                }
            }
            created.push_back(std::move(domain));
        }
    }
    return created;
}

auto router_layout::domainOf(const fleet &simulatedFleet, std::uint32_t router, service_index service) -> std::size_t
{
    return static_cast<std::size_t>(service) * simulatedFleet.routerCount() + router;
}

} // namespace marjoramloom::bench
