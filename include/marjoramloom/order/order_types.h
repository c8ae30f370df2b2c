#pragma once

#include "marjoramloom/core/enum_names.h"

#include <cstdint>
#include <string>

namespace marjoramloom {

/// State of the record of a call that may not be repeated, as stored on the platform.
enum class order_state {
    started, ///< Its creator may have sent it; nobody else ever may.
    finished, ///< The stored answer is the outcome.
    unknownOutcome, ///< It was sent and no clear answer came.
    released, ///< Proved: it was never sent; the key may be used for a new record.
};

template<>
struct enum_names<order_state>
{
    static constexpr std::array table{
        enum_name<order_state>{ order_state::started, "started" },
        enum_name<order_state>{ order_state::finished, "finished" },
        enum_name<order_state>{ order_state::unknownOutcome, "unknown_outcome" },
        enum_name<order_state>{ order_state::released, "released" },
    };
};

/// A call that may not be repeated, as its caller sent it.
struct order_request
{
    std::string accountName;
    std::string idempotencyKey;
    std::string service;
    std::string bodyHash; ///< SHA-256 over method, target and body.
};

/// The answer of a plain service, whole.
struct stored_answer
{
    std::uint32_t status = 0; ///< HTTP.
    std::string contentType;
    std::string body;
};

} // namespace marjoramloom
