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

/// Kind of the platform objects that hold pieces of answers too large for a record.
inline const auto orderAnswerKind = std::string("order_answer");

/// One claim of an order: whoever wrote it may send the order, nobody else.
struct order_claim
{
    incarnation_id incarnation = 0;
    std::string router; ///< Instance name, for operators.
    std::string nonce; ///< Unique for each claim.
    std::int64_t unixMs = 0; ///< When the claim was made.

    auto operator==(const order_claim &) const -> bool = default;
};

/// The record of an order, as stored on the platform. Records are never deleted while a write to them may be under way.
struct order_record
{
    order_request request;
    order_state state = order_state::started;
    order_claim claim;
    stored_answer answer; ///< Of a finished order.
    std::uint32_t answerPieces = 0; ///< Where above 0, the answer's body is in that many objects of orderAnswerKind.
};

/// Name of the platform object for \p request: the same for every request of the account with this key. Thread safe.
auto orderName(const order_request &request) -> std::string;

/// Text of \p record. Thread safe.
auto toText(const order_record &record) -> std::string;

/// Record from its text; nothing where it is malformed. Thread safe.
auto parseOrderRecord(std::string_view text, last_reason &why) -> std::optional<order_record>;

} // namespace marjoramloom
