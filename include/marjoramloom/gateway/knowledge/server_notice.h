#pragma once

#include "marjoramloom/core/clock.h"

#include <optional>
#include <string>

namespace marjoramloom {

/// What a backend server states about itself in the head of an answer.
struct server_notice
{
    bool leaving = false; ///< It takes no further requests and is about to exit.
    std::optional<duration> pause; ///< It takes no further requests of this router for this long.
    std::optional<duration> coldLeft; ///< How much longer it is cold; 0 if it is warm.
    std::string malformedField; ///< Name of a field with an unreadable value, which is ignored; empty if there is none.
};

} // namespace marjoramloom
