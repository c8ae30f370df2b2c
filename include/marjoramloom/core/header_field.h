#pragma once

#include <string>
#include <vector>

namespace marjoramloom {

/// A header field of an HTTP message.
struct header_field
{
    std::string name;
    std::string value;
};

/// Fields that are too long for Boost.Beast's container of fields, in the order of their message.
using long_fields = std::vector<header_field>;

} // namespace marjoramloom
