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

auto profileId(std::size_t kind) -> object_id
{
    return { firstProfileId + kind };
}

auto incarnationOf(std::uint32_t router) -> incarnation_id
{
    constexpr auto startedAt = incarnation_id(1) << 60U; // As high as real ones, which hold the time of the start.
    return startedAt + router;
}

auto routerOf(incarnation_id incarnation) -> std::uint32_t
{
    return static_cast<std::uint32_t>(incarnation - incarnationOf(0));
}

auto pool_layout::domains(const fleet &where) -> std::vector<dispatch_domain>
{
    auto made = std::vector<dispatch_domain>();
    for (const auto service : services) {
        for (auto centre = std::uint32_t(0); centre < where.where().dataCentres; ++centre) {
            auto domain = dispatch_domain();
            domain.pool = { "dc" + std::to_string(centre), serviceId(service) };
            domain.host = centre * where.where().routersPerDataCentre + static_cast<std::uint32_t>(service);
            domain.service = service;
            for (auto index = std::size_t(0); index < where.engineCount(service); ++index) {
                const auto number = where.engineNumber(service, index);
                if (where.dataCentreOfEngine(number) == centre) {
                    domain.slots[number] = where.engine(number).settings().slots;
                }
            }
            made.push_back(std::move(domain));
        }
    }
    return made;
}

auto pool_layout::domainOf(const fleet &where, std::uint32_t router, service_index service) -> std::size_t
{
    return static_cast<std::size_t>(service) * where.where().dataCentres + where.dataCentreOfRouter(router);
}

auto router_layout::domains(const fleet &where) -> std::vector<dispatch_domain>
{
    auto made = std::vector<dispatch_domain>();
    for (const auto service : services) {
        for (auto router = std::uint32_t(0); router < where.routerCount(); ++router) {
            auto domain = dispatch_domain();
            domain.pool = { "router" + std::to_string(router), serviceId(service) };
            domain.host = router;
            domain.service = service;
            for (auto index = std::size_t(0); index < where.engineCount(service); ++index) {
                const auto number = where.engineNumber(service, index);
                const auto all = where.engine(number).settings().slots;
                const auto place = (router + static_cast<std::uint32_t>(index)) % where.routerCount();
                const auto own = all / where.routerCount() + (place < all % where.routerCount() ? 1 : 0);
                if (own > 0) {
                    domain.slots[number] = own;
                }
            }
            made.push_back(std::move(domain));
        }
    }
    return made;
}

auto router_layout::domainOf(const fleet &where, std::uint32_t router, service_index service) -> std::size_t
{
    return static_cast<std::size_t>(service) * where.routerCount() + router;
}

} // namespace marjoramloom::bench
