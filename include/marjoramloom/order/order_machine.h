#pragma once

#include "marjoramloom/order/order_record.h"
#include "marjoramloom/store/object_store.h"

#include <optional>

namespace marjoramloom {

/// What the driver of an order_machine has to do next.
enum class order_step {
    writeClaim, ///< Write claimText() where claimRevision() stands (0: create).
    mayRead, ///< Another claim stands: read the record again to see what became of it, or stop here.
    send, ///< The order may be sent, once: beginSending().
    sending, ///< Waits for concludeSending().
    writeSettlement, ///< Write settlementText() where settlementRevision() stands (0: create).
    done,
};

/// What a caller is told.
enum class order_verdict {
    none, ///< Nothing yet.
    answered, ///< The stored answer.
    bodyDiffers, ///< The key was used for another request.
    inProgress, ///< Another request with the key is being carried out, or its outcome is not known yet.
    unknownOutcome, ///< It was sent and no clear answer came.
    notRun, ///< Nothing was sent by this request; the record says so, too.
    attemptNotRun, ///< Nothing was sent by this request; of others with the same key nothing is known.
};

/// How sending an order ended.
enum class sending_result {
    answered,
    notSent, ///< Proved: no backend server got or ran it.
    unknown,
};

/// The protocol of one request for an order that may not be repeated, without any I/O.
///
/// A claim is one conditional write that carries a nonce. Only the machine that made a claim sends, only after the
/// platform showed that the claim stands, and at most once. A claim that was given up is never sent; it is replaced by
/// a release under the same condition, so that a claim which is still under way can no longer take effect. Nobody
/// takes over the claim of another machine, whatever its age: a paused creator may still send.
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

    /// Of an answered order.
    [[nodiscard]] auto answer() const -> const order_record &
    {
        return m_seen;
    }

    /// The other claim that was seen last. Precondition: step() is mayRead, or the verdict is inProgress.
    [[nodiscard]] auto standing() const -> const order_claim &
    {
        return m_seen.claim;
    }

    [[nodiscard]] auto request() const -> const order_request &
    {
        return m_request;
    }

    [[nodiscard]] auto claim() const -> const order_claim &
    {
        return m_claim;
    }

    [[nodiscard]] auto claimText() const -> std::string;
    [[nodiscard]] auto claimRevision() const -> std::uint64_t
    {
        return m_condition;
    }

    /// Result of writing the claim. Precondition: step() is writeClaim.
    auto onClaimWritten(const write_outcome &outcome) -> void;

    /// The record as read. Precondition: step() is mayRead.
    auto onRead(const stored_object &object) -> void;

    /// The request ends without sending: out of time, no backend server, or the caller left. Precondition: step() is
    /// writeClaim, mayRead or send.
    auto giveUp() -> void;

    /// Takes the permission to send; true exactly once.
    [[nodiscard]] auto beginSending() -> bool;

    /// How sending ended. Precondition: step() is sending.
    auto concludeSending(sending_result result, stored_answer answer, std::uint32_t answerPieces) -> void;

    [[nodiscard]] auto settlementText() const -> std::string;
    [[nodiscard]] auto settlementRevision() const -> std::uint64_t
    {
        return m_condition;
    }

    /// Result of writing the settlement. Precondition: step() is writeSettlement.
    auto onSettlementWritten(const write_outcome &outcome) -> void;

    /// The state that a settlement writes.
    [[nodiscard]] auto settlementState() const -> order_state
    {
        return m_settlement.state;
    }

    /// All of the machine's state as text, for comparing machines.
    [[nodiscard]] auto fingerprint() const -> std::string;

private:
    auto onStanding(const stored_object &object) -> void;
    auto hold(std::uint64_t revision) -> void;
    auto end(order_verdict verdict) -> void;
    auto settle(order_state state) -> void;

    order_request m_request;
    order_claim m_claim;
    order_step m_step = order_step::writeClaim;
    order_verdict m_verdict = order_verdict::none;
    std::uint64_t m_condition = 0; ///< Revision that the next write replaces; 0 to create.
    bool m_mayStand = false; ///< A claim was sent to the platform and may have taken effect, or may yet.
    order_record m_seen;
    order_record m_settlement;
};

} // namespace marjoramloom
