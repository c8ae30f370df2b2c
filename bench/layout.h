#pragma once

#include "fleet.h"

#include "marjoramloom/share/ticket.h"

#include <concepts>
#include <map>

namespace marjoramloom::bench {

/// The scope of one dispatcher: a pool of tickets and the engine slots that it may grant.
struct dispatch_domain
{
    pool_id pool;
    std::uint32_t host = 0; ///< Router that runs the dispatcher.
    service_index service = service_index::model;
    std::map<std::size_t, std::uint32_t> slots; ///< Slots that the dispatcher may grant, by engine number.
};

/// Splits tickets and engine slots among dispatchers.
template<typename Layout>
concept dispatch_layout = requires(const fleet &simulatedFleet, std::uint32_t router, service_index service)
{
    {
        Layout::domains(simulatedFleet)
        } -> std::same_as<std::vector<dispatch_domain>>;
    // Index of the domain that a router sends its tickets to.
    {
        Layout::domainOf(simulatedFleet, router, service)
        } -> std::same_as<std::size_t>;
    // Whether dispatchers send each other digests of waiting tickets, and pull tickets.
    {
        Layout::EXCHANGES_DIGESTS
        } -> std::convertible_to<bool>;
};

/// One dispatcher for each data centre and service, which grants all slots of the engines there.
struct pool_layout
{
    static constexpr auto EXCHANGES_DIGESTS = true;
    static auto domains(const fleet &simulatedFleet) -> std::vector<dispatch_domain>;
    static auto domainOf(const fleet &simulatedFleet, std::uint32_t router, service_index service) -> std::size_t;
};

/// One dispatcher for each router and service, which grants a fixed part of every engine's slots.
struct router_layout
{
    static constexpr auto EXCHANGES_DIGESTS = false;
    static auto domains(const fleet &simulatedFleet) -> std::vector<dispatch_domain>;
    static auto domainOf(const fleet &simulatedFleet, std::uint32_t router, service_index service) -> std::size_t;
};

/// Conversions between indices and the identities that the decision code uses.
auto serviceId(service_index service) -> object_id;
auto accountId(std::size_t account) -> object_id;
auto engineId(std::size_t number) -> object_id;
auto engineNumberOf(object_id id) -> std::size_t;
auto profileId(std::size_t classIndex) -> object_id;
auto incarnationOf(std::uint32_t router) -> incarnation_id;
auto routerOf(incarnation_id incarnation) -> std::uint32_t;

} // namespace marjoramloom::bench
