#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/enum_names.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// How often a request of a route may be executed.
enum class route_kind {
    repeatable, ///< Idempotent: may be executed any number of times.
    atMostOnce,
    eventStream, ///< Answered by a stream of events; at most once, unless the route is resumable.
};

template<>
struct enum_names<route_kind>
{
    static constexpr std::array table{
        enum_name<route_kind>{ route_kind::repeatable, "repeatable" },
        enum_name<route_kind>{ route_kind::atMostOnce, "at_most_once" },
        enum_name<route_kind>{ route_kind::eventStream, "event_stream" },
    };
};

/// Names of regions, each of one or more data centres.
using region_set = std::set<std::string>;

/// One of the services that share a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// Settings of the requests to one host and path prefix.
struct route_rule
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::atMostOnce;
    std::vector<weighted_service> targets; ///< Not empty.
    std::chrono::milliseconds timeout{ 60'000 }; ///< Longest time to the final answer.
    std::chrono::milliseconds latencyObjective{ 1'000 }; ///< To the answer or, for a stream, to its first event.
    std::chrono::milliseconds eventGapObjective{ 1'000 }; ///< Longest acceptable gap between two events.
    std::uint32_t maxAttempts = 1; ///< Attempts of one request, at different backend servers.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool anonymous = false; ///< Requests need no key.
    bool carriesPrompt = false; ///< Requests list the prefix blocks of their prompt.
    bool resumable = false; ///< A stream may be resumed at another backend server.
    region_set homeRegions; ///< Regions of the backend servers that may be used; empty for all.

    /// Whether a request that may have been executed can be retried.
    [[nodiscard]] auto mayRetry() const -> bool
    {
        return kind == route_kind::repeatable || (kind == route_kind::eventStream && resumable);
    }
};

/// Capacity of each model engine of a service.
struct engine_profile
{
    std::uint32_t slots = 1; ///< Requests that run at once.
    std::uint64_t kvCapacityTokens = 0; ///< KV memory, shared by running requests and the prefix cache.
};

/// A service of backend servers that routes may name.
struct routed_service
{
    std::string name;
    std::uint32_t connectionLimit = 0; ///< Connections that one backend server accepts from all routers.
    std::optional<engine_profile> engine; ///< Only for services of model engines.
    duration coldTime{ 0 }; ///< For which a server is cold after its start.
    double coldPerSecond = 0; ///< Requests that a cold server takes each second; 0 if servers are never cold.
};

/// A client account.
struct routed_account
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< Overrides the priority of the route.
    region_set homeRegions = {}; ///< Regions of the backend servers that may be used; empty for all.
};

/// Limits on the size of callers' requests and on the time they take to send them.
struct caller_limits
{
    std::uint32_t headerBytes = 32U << 10U;
    std::uint32_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{ 10'000 };
    std::chrono::milliseconds idleTimeout{ 60'000 };
};

/// Content of a route_table, as decoded from the configuration.
struct route_table_content
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<routed_service> services;
    std::unordered_map<std::string, routed_account> accountsByKey;
    caller_limits limits;
    double tokensPerSecond = 0; ///< Total output rate of all engines; 0 if unknown.
};

/// One version of the routes, services and keys. Immutable; thread safe.
class route_table
{
public:
    explicit route_table(route_table_content content);

    [[nodiscard]] auto version() const -> std::uint64_t;

    /// The route of \p host with the longest prefix of \p path (without a query); null if none matches.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const -> const route_rule *;

    /// The route \p name; null if there is none.
    [[nodiscard]] auto findRouteByName(std::string_view name) const -> const route_rule *;

    /// The first route to the service \p name; null if there is none.
    [[nodiscard]] auto findRouteTo(std::string_view name) const -> const route_rule *;

    /// Whether a key of the client account \p name is known.
    [[nodiscard]] auto hasAccount(std::string_view name) const -> bool;

    /// Name of the client account with the id \p account (see account_usage::accountId()); empty if it is unknown.
    [[nodiscard]] auto accountName(std::uint64_t account) const -> std::string_view;

    /// The client account of \p key; null if the key is unknown.
    [[nodiscard]] auto findAccount(const std::string &key) const -> const routed_account *;

    /// The regions that both \p route and the account \p account name, or those that one of them names; nothing if
    /// neither names any.
    [[nodiscard]] auto regionsOf(const route_rule &route, const std::string &account) const
        -> std::optional<region_set>;

    /// The service \p name; null if it is not configured.
    [[nodiscard]] auto findService(const std::string &name) const -> const routed_service *;

    /// The shortest latency objective of the routes to \p service that carry no prompts; nothing if there is none.
    [[nodiscard]] auto shortestObjective(const std::string &service) const -> std::optional<std::chrono::milliseconds>;
    /// The longest timeout of a route with resumable streams; 0 if there is none.
    [[nodiscard]] auto longestStream() const -> std::chrono::milliseconds;
    [[nodiscard]] auto services() const -> const std::vector<routed_service> &;
    [[nodiscard]] auto limits() const -> const caller_limits &;
    [[nodiscard]] auto tokensPerSecond() const -> double;
    [[nodiscard]] auto routeCount() const -> std::size_t;
    [[nodiscard]] auto keyCount() const -> std::size_t;

private:
    using routes_by_prefix = std::unordered_map<std::string, std::size_t>;

    route_table_content m_content;
    std::unordered_map<std::string, routes_by_prefix> m_routesByHost; ///< Indexes of m_content.routes.
    std::unordered_map<std::string, std::size_t> m_serviceIndexes; ///< Indexes of m_content.services.
    std::unordered_map<std::string, std::chrono::milliseconds> m_shortestObjectives; ///< By service.
    std::unordered_map<std::string, region_set> m_regionsByAccount; ///< Only accounts that name regions.
    std::chrono::milliseconds m_longestStream{ 0 };
    std::unordered_map<std::uint64_t, std::string> m_accountNames; ///< By account id.
};

} // namespace marjoramloom
