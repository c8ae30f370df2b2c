#pragma once

#include "marjoramloom/core/enum_names.h"
#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/store/object_store.h"

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom {

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

enum class instance_state {
    live,
    leaving,
};

template<>
struct enum_names<instance_state>
{
    static constexpr std::array table{
        enum_name<instance_state>{ instance_state::live, "live" },
        enum_name<instance_state>{ instance_state::leaving, "leaving" },
    };
};

/// A row of the platform's instance list, which lags.
struct listed_instance
{
    std::string name;
    std::string dataCentre;
    instance_role role = instance_role::router;
    instance_state state = instance_state::live;
    std::string address; ///< IP:port: peers' listener of a router, requests' of a backend server.
};

/// Kind of the objects that make the instance list.
constexpr std::string_view instanceKind = "instances";

/// A row of the instance list from its object; nothing where it is malformed. Thread safe.
auto parseInstance(const stored_object &object, last_reason &why) -> std::optional<listed_instance>;

} // namespace marjoramloom
