#include "marjoramloom/order/order_machine.h"

#include <cassert>

namespace marjoramloom {

order_machine::order_machine(order_request request, order_claim claim)
    : m_request(std::move(request))
    , m_claim(std::move(claim))
{
    assert(!m_claim.nonce.empty());
}

auto order_machine::claimText() const -> std::string
{
    return toText({ .request = m_request, .state = order_state::started, .claim = m_claim, .answer = {} });
}

auto order_machine::onClaimWritten(const write_outcome &outcome) -> void
{
    assert(m_step == order_step::writeClaim);
    switch (outcome.result) {
    case write_result::written:
        onClaimConfirmed(outcome.current.revision);
        return;
    case write_result::conflict:
        onExistingRecord(outcome.current);
        return;
    case write_result::unknown:
        // The next step repeats the write with the same nonce; a conflict with a record that has this nonce is success.
        m_claimMayExist = true;
        return;
    case write_result::notSent:
        return;
    }
}

auto order_machine::onRead(const stored_object &object) -> void
{
    assert(m_step == order_step::readRecord);
    onExistingRecord(object);
}

auto order_machine::onExistingRecord(const stored_object &object) -> void
{
    if (object.revision == 0) {
        // The record that the write was to replace was deleted, so the claim has to create it.
        m_expectedRevision = 0;
        m_step = order_step::writeClaim;
        return;
    }
    auto why = last_reason();
    auto record = parseOrderRecord(object.value, why);
    if (!record) {
        // An unreadable record may belong to an order that was executed.
        finishWith(order_verdict::unknownOutcome);
        return;
    }
    m_lastRecord = std::move(*record);
    if (m_lastRecord.claim.nonce == m_claim.nonce && m_lastRecord.state == order_state::started) {
        onClaimConfirmed(object.revision);
        return;
    }
    if (m_lastRecord.state == order_state::released) {
        m_expectedRevision = object.revision;
        m_step = order_step::writeClaim;
        return;
    }
    if (m_lastRecord.request.bodyHash != m_request.bodyHash || m_lastRecord.request.service != m_request.service) {
        finishWith(order_verdict::bodyDiffers);
        return;
    }
    switch (m_lastRecord.state) {
    case order_state::finished:
        finishWith(order_verdict::answered);
        return;
    case order_state::unknownOutcome:
        finishWith(order_verdict::unknownOutcome);
        return;
    case order_state::started:
    case order_state::released:
        m_step = order_step::readRecord;
        return;
    }
}

auto order_machine::onClaimConfirmed(std::uint64_t revision) -> void
{
    m_expectedRevision = revision;
    m_step = order_step::send;
}

auto order_machine::finishWith(order_verdict verdict) -> void
{
    m_verdict = verdict;
    m_step = order_step::done;
}

auto order_machine::giveUp() -> void
{
    switch (m_step) {
    case order_step::writeClaim:
        m_verdict = order_verdict::attemptNotRun;
        if (m_claimMayExist) {
            prepareSettlement(order_state::released);
        } else {
            m_step = order_step::done;
        }
        return;
    case order_step::readRecord:
        finishWith(order_verdict::inProgress);
        return;
    case order_step::send:
        m_verdict = order_verdict::notRun;
        prepareSettlement(order_state::released);
        return;
    case order_step::sending:
    case order_step::writeSettlement:
    case order_step::done:
        assert(false);
        return;
    }
}

auto order_machine::beginSending() -> bool
{
    if (m_step != order_step::send) {
        return false;
    }
    m_step = order_step::sending;
    return true;
}

auto order_machine::concludeSending(sending_result result, stored_answer answer, std::uint32_t answerPieces) -> void
{
    assert(m_step == order_step::sending);
    switch (result) {
    case sending_result::answered:
        m_verdict = order_verdict::answered;
        m_settlement.answer = std::move(answer);
        m_settlement.answerPieces = answerPieces;
        prepareSettlement(order_state::finished);
        return;
    case sending_result::notSent:
        m_verdict = order_verdict::notRun;
        prepareSettlement(order_state::released);
        return;
    case sending_result::unknown:
        m_verdict = order_verdict::unknownOutcome;
        prepareSettlement(order_state::unknownOutcome);
        return;
    }
}

auto order_machine::prepareSettlement(order_state state) -> void
{
    m_settlement.request = m_request;
    m_settlement.claim = m_claim;
    m_settlement.state = state;
    m_step = order_step::writeSettlement;
}

auto order_machine::settlementText() const -> std::string
{
    return toText(m_settlement);
}

auto order_machine::onSettlementWritten(const write_outcome &outcome) -> void
{
    assert(m_step == order_step::writeSettlement);
    if (outcome.result == write_result::written) {
        m_step = order_step::done;
        return;
    }
    if (outcome.result != write_result::conflict) {
        return;
    }
    auto why = last_reason();
    const auto record = parseOrderRecord(outcome.current.value, why);
    const auto isOwnClaim = record && record->claim.nonce == m_claim.nonce && record->state == order_state::started;
    if (isOwnClaim) {
        m_expectedRevision = outcome.current.revision;
        return;
    }
    // Either this settlement took effect and its response was lost, or another claim was written before this one.
    m_step = order_step::done;
}

auto order_machine::fingerprint() const -> std::string
{
    auto text = m_claim.nonce + "/" + std::to_string(static_cast<int>(m_step)) + "/";
    text += std::to_string(static_cast<int>(m_verdict)) + "/" + std::to_string(m_expectedRevision) + "/";
    text += std::to_string(static_cast<int>(m_claimMayExist)) + "/" + std::string(nameOf(m_settlement.state));
    return text;
}

} // namespace marjoramloom
