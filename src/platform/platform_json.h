#pragma once

#include "marjoramloom/platform/platform_client.h"

#include <boost/json.hpp>

namespace marjoramloom {

/// Parses the answer to a list of objects.
auto parseObjectList(std::string_view text, last_reason &why) -> std::optional<object_list>;

/// Parses the answer to a list of instances; rows of a role or state that is not known are left out.
auto parseInstances(std::string_view text, last_reason &why) -> std::optional<instance_snapshot>;

} // namespace marjoramloom
