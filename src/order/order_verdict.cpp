#include "marjoramloom/order/order_ledger.h"

namespace marjoramloom {

auto explainVerdict(order_verdict verdict, last_reason &why) -> void
{
    const auto detail = why.detail;
    switch (verdict) {
    case order_verdict::none:
    case order_verdict::answered:
        return;
    case order_verdict::bodyDiffers:
        why.fail(failure_kind::invalidInput, "claim order", "", "the Idempotency-Key was used for another request");
        return;
    case order_verdict::inProgress:
        why.fail(failure_kind::conflict, "claim order", "",
                 "a request with this Idempotency-Key is under way, or its outcome is not known; ask again with it");
        return;
    case order_verdict::unknownOutcome:
        why.fail(failure_kind::unknownOutcome, "send order", "",
                 "the order may have been carried out; ask the service before placing it under another key");
        return;
    case order_verdict::notRun:
        why.fail(failure_kind::notSent, "send order", "", "the order was not sent");
        return;
    case order_verdict::attemptNotRun:
        why.fail(failure_kind::unavailable, "claim order", "platform",
                 "the order was not sent by this request; retry with the same Idempotency-Key: " + detail);
        return;
    }
}

} // namespace marjoramloom
