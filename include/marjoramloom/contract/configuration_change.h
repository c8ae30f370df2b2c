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

/// An object of any kind; the alternatives are in the order of object_kind.
using configuration_object = std::variant<client_account, profile, service, backend_server, planned_stop>;

/// Returns the kind of \p object. Thread safe.
inline auto kindOf(const configuration_object &object) -> object_kind
{
    return static_cast<object_kind>(object.index());
}

/// Returns the name of \p object. Thread safe.
inline auto nameOf(const configuration_object &object) -> const std::string &
{
    return std::visit([](const auto &alternative) -> const std::string & { return alternative.name; }, object);
}

/// Makes an object of \p kind with default values. Thread safe.
auto makeObject(object_kind kind) -> configuration_object;

/// What an operation does with the object of its kind and name.
enum class operation_kind {
    put, ///< Creates or replaces the object.
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

/// Creation, replacement or deletion of one object.
struct configuration_operation
{
    operation_kind operation = operation_kind::put;
    object_kind kind = object_kind::clientAccount;
    std::string name;
    configuration_object object; ///< Only for a put.
};

/// A change of the configuration; its operations are applied atomically.
struct configuration_change
{
    std::uint64_t sequence = 0; ///< Starts at 1 and has no gaps.
    std::string id; ///< Random; chosen by the proposer.
    std::string author;
    std::int64_t unixMs = 0;
    std::vector<configuration_operation> operations;
};

/// Maximum number of operations of one change; the index of an operation has 10 bits in an object_id.
constexpr auto maxOperationsPerChange = std::size_t(1000);

/// Returns \p before with \p change applied. New objects get new ids, replaced objects keep theirs. Thread safe.
auto applyOperations(const configuration &before, const configuration_change &change) -> configuration;

/// Calls `visitor(kind, map)` with the map of each kind of object.
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
