#pragma once

#include "marjoramloom/core/last_reason.h"
#include "marjoramloom/order/order_types.h"
#include "marjoramloom/share/ticket.h"

#include <optional>
#include <string>
#include <string_view>

namespace marjoramloom {

/// Kind of the platform objects that hold order records.
inline const auto orderKind = std::string("order");

/// Kind of the platform objects that hold the pieces of answers too large for a record.
inline const auto orderAnswerKind = std::string("order_answer");

/// A router's claim of an order. Only the router that wrote the claim may send the order.
struct order_claim
{
    incarnation_id incarnation = 0;
    std::string router; ///< Instance name, shown to operators.
    std::string nonce; ///< Random and unique for each claim; identifies the claim in the stored record.
    std::int64_t unixMs = 0; ///< When the claim was made.

    auto operator==(const order_claim &) const -> bool = default;
};

/// The record of an order, as stored on the platform. A record is never deleted while a write to it may be in flight.
struct order_record
{
    order_request request;
    order_state state = order_state::started;
    order_claim claim;
    stored_answer answer; ///< Set only for a finished order.
    std::uint32_t answerPieces = 0; ///< If above 0, the answer's body is stored in that many objects of
                                    ///< orderAnswerKind.
};

/// Name of the platform object for \p request, a hash of the account and the Idempotency-Key. Thread safe.
auto orderName(const order_request &request) -> std::string;

/// Serialises \p record as JSON. Thread safe.
auto toText(const order_record &record) -> std::string;

/// Parses the JSON of a record; nothing where it is malformed. The Idempotency-Key is not stored and stays empty.
/// Thread safe.
auto parseOrderRecord(std::string_view text, last_reason &why) -> std::optional<order_record>;

} // namespace marjoramloom
