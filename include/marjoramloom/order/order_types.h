#pragma once

#include "marjoramloom/core/enum_names.h"

#include <cstdint>
#include <string>

namespace marjoramloom {

/// State of an order's record, as stored on the platform. An order is a non-idempotent request to a plain HTTP service,
/// which must be executed at most once.
enum class order_state {
    started, ///< The router that claimed it may have sent it; no other router ever may.
    finished, ///< The stored answer is the outcome.
    unknownOutcome, ///< It was sent, but no answer says whether it was executed.
    released, ///< It is certain that it was never sent; the key may be used for a new claim.
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

/// What identifies an order: the caller's account, its Idempotency-Key and the request.
struct order_request
{
    std::string accountName;
    std::string idempotencyKey;
    std::string service;
    std::string bodyHash; ///< SHA-256 over method, target and body.
};

/// The complete HTTP response of a plain service.
struct stored_answer
{
    std::uint32_t status = 0; ///< HTTP status code.
    std::string contentType;
    std::string body;
};

} // namespace marjoramloom
