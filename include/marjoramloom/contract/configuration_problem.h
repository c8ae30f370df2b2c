#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom {

/// An error in configuration objects or in a change of them.
struct configuration_problem
{
    std::string file; ///< Empty if the objects were not read from a file.
    std::uint32_t line = 0; ///< 0 if not known.
    std::string object; ///< As "kind/name"; empty if the problem is not specific to an object.
    std::string key; ///< Empty if the problem concerns the whole object.
    std::string text; ///< Description.

    /// Returns `file:line: kind/name: key: text` without the parts that are empty.
    [[nodiscard]] auto message() const -> std::string;
};

/// Problems in the order in which they were found; empty if there are none.
using configuration_problems = std::vector<configuration_problem>;

} // namespace marjoramloom
