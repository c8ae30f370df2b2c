#pragma once

#include "fleet.h"

#include "marjoramloom/share/ticket.h"

#include <concepts>
#include <map>

namespace marjoramloom::bench {

/// Tickets that one dispatcher decides on, with the engines that it may use.
struct dispatch_domain
{
    pool_id pool;
    std::uint32_t host = 0; ///< Router that runs the dispatcher.
    service_index service = service_index::model;
    std::map<std::size_t, std::uint32_t> slots; ///< By number of the engine.
};

/// How tickets are split among dispatchers.
template<typename Layout>
concept dispatch_layout = requires(const fleet &where, std::uint32_t router, service_index service)
{
    {
        Layout::domains(where)
        } -> std::same_as<std::vector<dispatch_domain>>;
    // Index of the domain that gets a router's tickets.
    {
        Layout::domainOf(where, router, service)
        } -> std::same_as<std::size_t>;
    // Dispatchers tell each other what waits, and pull tickets.
    {
        Layout::EXCHANGES_DIGESTS
        } -> std::convertible_to<bool>;
};

/// One dispatcher for each data centre and service, with all engines there.
struct pool_layout
{
    static constexpr auto EXCHANGES_DIGESTS = true;
    static auto domains(const fleet &where) -> std::vector<dispatch_domain>;
    static auto domainOf(const fleet &where, std::uint32_t router, service_index service) -> std::size_t;
};

/// Each router on its own, with a fixed part of every engine's slots.
struct router_layout
{
    static constexpr auto EXCHANGES_DIGESTS = false;
    static auto domains(const fleet &where) -> std::vector<dispatch_domain>;
    static auto domainOf(const fleet &where, std::uint32_t router, service_index service) -> std::size_t;
};

/// Identities as the configuration would give them.
auto serviceId(service_index service) -> object_id;
auto accountId(std::size_t account) -> object_id;
auto engineId(std::size_t number) -> object_id;
auto engineNumberOf(object_id id) -> std::size_t;
auto profileId(std::size_t kind) -> object_id;
auto incarnationOf(std::uint32_t router) -> incarnation_id;
auto routerOf(incarnation_id incarnation) -> std::uint32_t;

} // namespace marjoramloom::bench
