#pragma once

#include "marjoramloom/order/order_record.h"
#include "marjoramloom/store/object_store.h"

#include <optional>

namespace marjoramloom {

/// What the caller of an order_machine has to do next.
enum class order_step {
    writeClaim, ///< Write claimText() on condition of claimRevision() (0: create).
    readRecord, ///< Another claim exists: read the record again to learn its outcome, or give up.
    send, ///< The claim is confirmed: call beginSending() and send the order, once.
    sending, ///< The order is being sent: call concludeSending() with the result.
    writeSettlement, ///< Write settlementText() on condition of settlementRevision() (0: create).
    done,
};

/// The result of a request for an order, as it is reported to the HTTP client.
enum class order_verdict {
    none, ///< Not decided yet.
    answered, ///< The order was executed and its answer is known.
    bodyDiffers, ///< The Idempotency-Key was used for a different request.
    inProgress, ///< Another request with the same key is being executed, or its outcome is not known yet.
    unknownOutcome, ///< The order was sent, but no answer says whether it was executed.
    notRun, ///< This request sent nothing, and settles its claim as released.
    attemptNotRun, ///< This request sent nothing; another request with the same key may have.
};

/// How sending an order ended.
enum class sending_result {
    answered,
    notSent, ///< It is certain that no backend server received or executed the order.
    unknown, ///< The order may have been executed.
};

/// State machine of the protocol by which one request executes an order at most once. It does no I/O: step() says what
/// the caller has to do, and the caller reports the result.
///
/// A claim is a conditional write of the order's record that contains a nonce. The order is sent only by the machine
/// that made the claim, only after the platform confirmed the claim, and at most once. After giveUp() the order is
/// never sent; if the claim may have been written, a release is written under the same revision condition, so that a
/// claim still in flight can no longer take effect. The final write of a record (released, finished or unknown outcome)
/// is called its settlement. No machine takes over the claim of another one, however old it is, because the router that
/// made the claim may only be paused and may still send.
///
/// Copyable; not thread safe.
class order_machine
{
public:
    /// Precondition: the claim's nonce was never used before.
    order_machine(order_request request, order_claim claim);

    [[nodiscard]] auto step() const -> order_step
    {
        return m_step;
    }

    [[nodiscard]] auto verdict() const -> order_verdict
    {
        return m_verdict;
    }

    /// The stored record. Precondition: verdict() is answered because another request finished the order.
    [[nodiscard]] auto answer() const -> const order_record &
    {
        return m_lastRecord;
    }

    /// The claim of another request that was read last. Precondition: step() is readRecord, or verdict() is inProgress.
    [[nodiscard]] auto competingClaim() const -> const order_claim &
    {
        return m_lastRecord.claim;
    }

    [[nodiscard]] auto request() const -> const order_request &
    {
        return m_request;
    }

    [[nodiscard]] auto claim() const -> const order_claim &
    {
        return m_claim;
    }

    /// The record that claims the order, as JSON.
    [[nodiscard]] auto claimText() const -> std::string;

    /// Revision that the claim replaces; 0 to create the record.
    [[nodiscard]] auto claimRevision() const -> std::uint64_t
    {
        return m_expectedRevision;
    }

    /// Takes the result of writing the claim. Precondition: step() is writeClaim.
    auto onClaimWritten(const write_outcome &outcome) -> void;

    /// Takes the record as read from the platform. Precondition: step() is readRecord.
    auto onRead(const stored_object &object) -> void;

    /// Ends the request without sending the order, for example after a timeout, without a backend server, or when the
    /// HTTP client disconnected. Precondition: step() is writeClaim, readRecord or send.
    auto giveUp() -> void;

    /// Marks the order as being sent. Returns true exactly once, and only then may the order be sent.
    [[nodiscard]] auto beginSending() -> bool;

    /// Takes the result of sending. Precondition: step() is sending.
    auto concludeSending(sending_result result, stored_answer answer, std::uint32_t answerPieces) -> void;

    /// The record in its final state, as JSON.
    [[nodiscard]] auto settlementText() const -> std::string;

    /// Revision that the settlement replaces; 0 to create the record.
    [[nodiscard]] auto settlementRevision() const -> std::uint64_t
    {
        return m_expectedRevision;
    }

    /// Takes the result of writing the settlement. Precondition: step() is writeSettlement.
    auto onSettlementWritten(const write_outcome &outcome) -> void;

    /// The state that the settlement writes.
    [[nodiscard]] auto settlementState() const -> order_state
    {
        return m_settlement.state;
    }

    /// The machine's state as text; tests compare machines by it.
    [[nodiscard]] auto fingerprint() const -> std::string;

private:
    /// Decides the next step from the record that the platform holds.
    auto onExistingRecord(const stored_object &object) -> void;
    auto onClaimConfirmed(std::uint64_t revision) -> void;
    auto finishWith(order_verdict verdict) -> void;
    auto prepareSettlement(order_state state) -> void;

    order_request m_request;
    order_claim m_claim;
    order_step m_step = order_step::writeClaim;
    order_verdict m_verdict = order_verdict::none;
    std::uint64_t m_expectedRevision = 0; ///< Revision that the next write replaces; 0 to create.
    bool m_claimMayExist = false; ///< A write of the claim had no answer: it took effect, or still may.
    order_record m_lastRecord; ///< As the platform last returned it.
    order_record m_settlement;
};

} // namespace marjoramloom
