#pragma once

#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/store/object_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom {

/// What an instance of the fleet does.
enum class instance_role {
    router,
    backendServer,
};

template<>
struct enum_names<instance_role>
{
    static constexpr std::array table{
        enum_name<instance_role>{ instance_role::router, "router" },
        enum_name<instance_role>{ instance_role::backendServer, "backend_server" },
    };
};

/// Whether an instance accepts new requests.
enum class instance_state {
    live,
    leaving, ///< It is shutting down.
};

template<>
struct enum_names<instance_state>
{
    static constexpr std::array table{
        enum_name<instance_state>{ instance_state::live, "live" },
        enum_name<instance_state>{ instance_state::leaving, "leaving" },
    };
};

/// One instance as the platform's instance list shows it. The list lags behind the actual state of the fleet.
struct listed_instance
{
    std::string name;
    std::string dataCentre;
    instance_role role = instance_role::router;
    instance_state state = instance_state::live;
    std::string address; ///< IP:port; a router's listener for its peers, or a backend server's for requests.
};

/// Kind of the platform objects that form the instance list.
constexpr std::string_view instanceKind = "instances";

/// Parses one object of the instance list; nothing where it is malformed. Thread safe.
auto parseInstance(const stored_object &object, last_reason &why) -> std::optional<listed_instance>;

} // namespace marjoramloom
