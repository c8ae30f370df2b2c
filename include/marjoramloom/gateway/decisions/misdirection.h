#pragma once

#include "marjoramloom/core/enum_names.h"

#include <string_view>

namespace marjoramloom {

/// What an answer with status 421 is evidence about.
enum class misdirection {
    otherServer, ///< Another server answers at the address: the list is outdated.
    request, ///< The expected server answered: it does not run this request, but others.
    unknown, ///< The answer names no server.
};

template<>
struct enum_names<misdirection>
{
    static constexpr std::array table{
        enum_name<misdirection>{ misdirection::otherServer, "another server answers at the address" },
        enum_name<misdirection>{ misdirection::request, "the server does not run this request" },
        enum_name<misdirection>{ misdirection::unknown, "the answer names no server" },
    };
};

/// What an answer with status 421 is evidence about: the request expected the server \p expectedServer, and the answer
/// names \p answeringServer (empty if it names none). A server also answers 421 to a request with a condition that it
/// does not meet, such as a version of the weights, which a caller sets freely. Thread safe.
[[nodiscard]] auto attributeMisdirection(std::string_view expectedServer, std::string_view answeringServer)
    -> misdirection;

} // namespace marjoramloom
