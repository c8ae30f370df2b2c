#pragma once

#include "marjoramloom/contract/configuration.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace marjoramloom {

/// Kinds of configuration objects.
enum class object_kind {
    clientAccount,
    profile,
    service,
    backendServer,
    plannedStop,
};

template<>
struct enum_names<object_kind>
{
    static constexpr std::array table{
        enum_name<object_kind>{ object_kind::clientAccount, "client_account" },
        enum_name<object_kind>{ object_kind::profile, "profile" },
        enum_name<object_kind>{ object_kind::service, "service" },
        enum_name<object_kind>{ object_kind::backendServer, "backend_server" },
        enum_name<object_kind>{ object_kind::plannedStop, "planned_stop" },
    };
};

/// One object of any kind; the alternatives are in the order of object_kind.
using configuration_object = std::variant<client_account, profile, service, backend_server, planned_stop>;

/// Kind of \p object. Thread safe.
inline auto kindOf(const configuration_object &object) -> object_kind
{
    return static_cast<object_kind>(object.index());
}

/// Name of \p object. Thread safe.
inline auto nameOf(const configuration_object &object) -> const std::string &
{
    return std::visit([](const auto &held) -> const std::string & { return held.name; }, object);
}

/// An empty object of \p kind. Thread safe.
auto makeObject(object_kind kind) -> configuration_object;

enum class operation_kind {
    put, ///< Creates the object, or replaces the one of that name.
    remove,
};

template<>
struct enum_names<operation_kind>
{
    static constexpr std::array table{
        enum_name<operation_kind>{ operation_kind::put, "put" },
        enum_name<operation_kind>{ operation_kind::remove, "delete" },
    };
};

/// One step of a change.
struct configuration_operation
{
    operation_kind operation = operation_kind::put;
    object_kind kind = object_kind::clientAccount;
    std::string name;
    configuration_object object; ///< For a put.
};

/// An accepted change: all of its operations take effect together.
struct configuration_change
{
    std::uint64_t sequence = 0; ///< From 1, without gaps.
    std::string id; ///< Chosen at random by whoever asked for the change.
    std::string author;
    std::int64_t unixMs = 0;
    std::vector<configuration_operation> operations;
};

/// Most operations of one change; the index must fit into an object_id.
constexpr auto operationsPerChange = std::size_t(1000);

/// Configuration after \p change: new objects get identities, objects that are replaced keep theirs. Thread safe.
auto applyOperations(const configuration &before, const configuration_change &change) -> configuration;

/// Visits the map of each kind of object: `visitor(kind, map)`.
template<typename Configuration, typename Visitor>
auto forEachKind(Configuration &all, Visitor &&visitor) -> void
{
    visitor(object_kind::clientAccount, all.clientAccounts);
    visitor(object_kind::profile, all.profiles);
    visitor(object_kind::service, all.services);
    visitor(object_kind::backendServer, all.backendServers);
    visitor(object_kind::plannedStop, all.plannedStops);
}

} // namespace marjoramloom
