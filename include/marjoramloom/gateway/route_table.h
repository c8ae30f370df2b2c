#pragma once

#include "marjoramloom/core/enum_names.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjoramloom {

/// What may be repeated of a route's requests.
enum class route_kind {
    repeatable, ///< May run any number of times.
    atMostOnce,
    eventStream, ///< At most once, unless the route says that a stream may be resumed.
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

/// One of the services that share a route's requests.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

/// How requests of one host and path prefix are treated.
struct route_rule
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::atMostOnce;
    std::vector<weighted_service> targets; ///< Not empty.
    std::chrono::milliseconds timeout{ 60'000 }; ///< Longest time to the final answer.
    std::chrono::milliseconds latencyObjective{ 1'000 }; ///< To the answer; of a stream, to its first event.
    std::chrono::milliseconds eventGapObjective{ 1'000 }; ///< Longest pause between two events that is still good.
    std::uint32_t serverLimit = 1; ///< Backend servers that one request may be sent to.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool anonymous = false; ///< Needs no key.
    bool carriesPrompt = false; ///< Requests name the parts of their prompt.
    bool resumable = false; ///< A stream may go on at another backend server.

    /// Whether a request that may have run can be sent again.
    [[nodiscard]] auto mayRepeat() const -> bool
    {
        return kind == route_kind::repeatable || (kind == route_kind::eventStream && resumable);
    }
};

/// What the configuration says of the model engines of a service.
struct engine_profile
{
    std::uint32_t slots = 1;
    std::uint64_t memoryTokens = 0; ///< Of running requests and kept prompt parts together.
};

struct routed_service
{
    std::string name;
    std::uint32_t connectionLimit = 0; ///< Connections that one backend server accepts from all routers.
    std::optional<engine_profile> engine; ///< Absent for plain services.
};

struct routed_account
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< Goes before the route's.
};

/// What callers may send, and how long they may take.
struct caller_limits
{
    std::uint32_t headerBytes = 32U << 10U;
    std::uint32_t bodyBytes = 4U << 20U;
    std::chrono::milliseconds headerTimeout{ 10'000 };
    std::chrono::milliseconds idleTimeout{ 60'000 };
};

/// The parts of a route table, as its source gives them.
struct route_table_content
{
    std::uint64_t version = 0;
    std::vector<route_rule> routes;
    std::vector<routed_service> services;
    std::unordered_map<std::string, routed_account> accountsByKey;
    caller_limits limits;
    double tokensPerSecond = 0; ///< What all engines produce together; 0 where unknown.
};

/// One version of the routes, services and keys in force. Immutable; thread safe.
class route_table
{
public:
    explicit route_table(route_table_content content);

    [[nodiscard]] auto version() const -> std::uint64_t;

    /// The route of \p host with the longest prefix of \p path (without a query); null where there is none.
    [[nodiscard]] auto findRoute(std::string_view host, std::string_view path) const -> const route_rule *;

    /// The client account that holds \p key; null where none does.
    [[nodiscard]] auto findAccount(const std::string &key) const -> const routed_account *;

    [[nodiscard]] auto findService(const std::string &name) const -> const routed_service *;
    [[nodiscard]] auto services() const -> const std::vector<routed_service> &;
    [[nodiscard]] auto limits() const -> const caller_limits &;
    [[nodiscard]] auto tokensPerSecond() const -> double;
    [[nodiscard]] auto routeCount() const -> std::size_t;
    [[nodiscard]] auto keyCount() const -> std::size_t;

private:
    using routes_by_prefix = std::unordered_map<std::string, std::size_t>;

    route_table_content m_content;
    std::unordered_map<std::string, routes_by_prefix> m_byHost; ///< Indexes of m_content.routes.
    std::unordered_map<std::string, std::size_t> m_services; ///< Indexes of m_content.services.
};

} // namespace marjoramloom
