#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace marjoramloom {

/// One thing that is wrong with configuration objects.
struct configuration_problem
{
    std::string file; ///< Empty where the objects came by the network.
    std::uint32_t line = 0; ///< 0 where unknown.
    std::string object; ///< "kind/name".
    std::string key; ///< Empty for the object as a whole.
    std::string text;

    /// `file:line: kind/name: key: text`, without the parts that are not known.
    [[nodiscard]] auto message() const -> std::string;
};

/// Everything that is wrong, in the order found; empty when all is well.
using configuration_problems = std::vector<configuration_problem>;

} // namespace marjoramloom
