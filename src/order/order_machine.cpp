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
        hold(outcome.current.revision);
        return;
    case write_result::conflict:
        onStanding(outcome.current);
        return;
    case write_result::unknown:
        // The same write again, with the same nonce: finding the own nonce is success.
        m_mayStand = true;
        return;
    case write_result::notSent:
        return;
    }
}

auto order_machine::onRead(const stored_object &object) -> void
{
    assert(m_step == order_step::mayRead);
    onStanding(object);
}

auto order_machine::onStanding(const stored_object &object) -> void
{
    if (object.revision == 0) {
        // Nothing stands: the condition was another revision, and the record was deleted. Claim anew by a create.
        m_condition = 0;
        m_step = order_step::writeClaim;
        return;
    }
    auto why = last_reason();
    auto record = parseOrderRecord(object.value, why);
    if (!record) {
        // A record that cannot be read may stand for an order that ran.
        end(order_verdict::unknownOutcome);
        return;
    }
    m_seen = std::move(*record);
    if (m_seen.claim.nonce == m_claim.nonce && m_seen.state == order_state::started) {
        hold(object.revision);
        return;
    }
    if (m_seen.state == order_state::released) {
        m_condition = object.revision;
        m_step = order_step::writeClaim;
        return;
    }
    if (m_seen.request.bodyHash != m_request.bodyHash || m_seen.request.service != m_request.service) {
        end(order_verdict::bodyDiffers);
        return;
    }
    switch (m_seen.state) {
    case order_state::finished:
        end(order_verdict::answered);
        return;
    case order_state::unknownOutcome:
        end(order_verdict::unknownOutcome);
        return;
    case order_state::started:
    case order_state::released:
        m_step = order_step::mayRead;
        return;
    }
}

auto order_machine::hold(std::uint64_t revision) -> void
{
    m_condition = revision;
    m_step = order_step::send;
}

auto order_machine::end(order_verdict verdict) -> void
{
    m_verdict = verdict;
    m_step = order_step::done;
}

auto order_machine::giveUp() -> void
{
    switch (m_step) {
    case order_step::writeClaim:
        m_verdict = order_verdict::attemptNotRun;
        if (m_mayStand) {
            settle(order_state::released);
        } else {
            m_step = order_step::done;
        }
        return;
    case order_step::mayRead:
        end(order_verdict::inProgress);
        return;
    case order_step::send:
        m_verdict = order_verdict::notRun;
        settle(order_state::released);
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
        settle(order_state::finished);
        return;
    case sending_result::notSent:
        m_verdict = order_verdict::notRun;
        settle(order_state::released);
        return;
    case sending_result::unknown:
        m_verdict = order_verdict::unknownOutcome;
        settle(order_state::unknownOutcome);
        return;
    }
}

auto order_machine::settle(order_state state) -> void
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
        m_condition = outcome.current.revision;
        return;
    }
    // Either this settlement took effect and its answer was lost, or another claim came before this one.
    m_step = order_step::done;
}

auto order_machine::fingerprint() const -> std::string
{
    auto text = m_claim.nonce + "/" + std::to_string(static_cast<int>(m_step)) + "/";
    text += std::to_string(static_cast<int>(m_verdict)) + "/" + std::to_string(m_condition) + "/";
    text += std::to_string(static_cast<int>(m_mayStand)) + "/" + std::string(nameOf(m_settlement.state));
    return text;
}

} // namespace marjoramloom
