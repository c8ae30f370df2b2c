#include "unit/order/order_explorer.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

namespace {

auto parseRecord(const stored_object &object) -> std::optional<order_record>
{
    auto why = last_reason();
    return object.revision == 0 ? std::nullopt : parseOrderRecord(object.value, why);
}

auto writesRecord(order_step step) -> bool
{
    return step == order_step::writeClaim || step == order_step::writeSettlement;
}

auto saysNotRun(order_verdict verdict) -> bool
{
    return verdict == order_verdict::notRun || verdict == order_verdict::attemptNotRun;
}

} // namespace

order_explorer::order_explorer(int routers, fault_budget budget, protocol_mutation mutation)
    : m_mutation(mutation)
{
    const auto request = order_request{ .accountName = "a", .idempotencyKey = "k", .service = "s", .bodyHash = "b" };
    for (auto index = 0; index < routers; ++index) {
        const auto claim = order_claim{ .incarnation = static_cast<incarnation_id>(index) + 1,
                                        .router = "r",
                                        .nonce = "n" + std::to_string(index),
                                        .unixMs = 0 };
        m_start.routers.push_back({ order_machine(request, claim) });
    }
    m_start.remainingFaults = budget;
}

auto order_explorer::run(std::string expectedViolation) -> exploration
{
    m_expectedViolation = std::move(expectedViolation);
    visit(m_start);
    m_result.states = m_visitedStates.size();
    return m_result;
}

auto order_explorer::visit(const model_state &now) -> bool
{
    if (!m_visitedStates.insert(hash64(fingerprint(now))).second) {
        return true;
    }
    const auto violation = check(now);
    if (!violation.empty() && (m_expectedViolation.empty() || m_expectedViolation == violation)) {
        m_result.violation = violation;
        m_result.path = m_path;
        return false;
    }
    for (auto index = 0; index < static_cast<int>(now.routers.size()); ++index) {
        if (!exploreRouter(now, index)) {
            return false;
        }
    }
    return explorePendingWrites(now);
}

auto order_explorer::exploreStep(model_state next, std::string step) -> bool
{
    m_path.push_back(std::move(step));
    const auto ok = visit(next);
    m_path.pop_back();
    return ok;
}

auto order_explorer::exploreRouter(const model_state &now, int index) -> bool
{
    const auto &actor = now.routers[index];
    const auto name = " " + std::to_string(index);
    if (actor.requestSent && !actor.executed) {
        auto next = now;
        next.routers[index].executed = true;
        if (!exploreStep(std::move(next), "execute" + name)) {
            return false;
        }
    }
    if (!actor.alive || actor.machine.step() == order_step::done) {
        return true;
    }
    if (now.remainingFaults.kills > 0) {
        auto next = now;
        next.routers[index].alive = false;
        --next.remainingFaults.kills;
        if (!exploreStep(std::move(next), "kill" + name)) {
            return false;
        }
    }
    if (actor.awaitsAnswer) {
        return exploreAnswers(now, index);
    }
    const auto step = actor.machine.step();
    if (step == order_step::writeClaim || step == order_step::readRecord || step == order_step::send) {
        auto next = now;
        giveUp(next, index);
        if (!exploreStep(std::move(next), "give up" + name)) {
            return false;
        }
    }
    if (writesRecord(step)) {
        return exploreWrite(now, index);
    }
    return step == order_step::readRecord ? exploreRead(now, index) : exploreSending(now, index);
}

auto order_explorer::exploreAnswers(const model_state &now, int index) -> bool
{
    for (auto at = std::size_t(0); at < now.pendingWrites.size(); ++at) {
        if (now.pendingWrites[at].owner != index) {
            continue;
        }
        if (now.pendingWrites[at].applied) {
            auto next = now;
            const auto outcome = next.pendingWrites[at].outcome;
            next.pendingWrites.erase(next.pendingWrites.begin() + static_cast<std::ptrdiff_t>(at));
            deliver(next, index, outcome);
            if (!exploreStep(std::move(next), "answer " + std::to_string(index))) {
                return false;
            }
        }
        if (now.remainingFaults.lostAnswers > 0) {
            auto next = now;
            next.pendingWrites[at].owner = -1;
            if (next.pendingWrites[at].applied) {
                next.pendingWrites.erase(next.pendingWrites.begin() + static_cast<std::ptrdiff_t>(at));
            }
            --next.remainingFaults.lostAnswers;
            deliver(next, index, { write_result::unknown, {} });
            if (!exploreStep(std::move(next), "no answer " + std::to_string(index))) {
                return false;
            }
        }
    }
    return true;
}

auto order_explorer::exploreWrite(const model_state &now, int index) -> bool
{
    const auto &machine = now.routers[index].machine;
    const auto claiming = machine.step() == order_step::writeClaim;
    if (now.remainingFaults.refusals > 0) {
        auto next = now;
        --next.remainingFaults.refusals;
        deliver(next, index, { write_result::notSent, {} });
        if (!exploreStep(std::move(next), "refuse " + std::to_string(index))) {
            return false;
        }
    }
    auto next = now;
    next.routers[index].awaitsAnswer = true;
    next.pendingWrites.push_back({ .owner = index,
                                   .applied = false,
                                   .condition = claiming ? machine.claimRevision() : machine.settlementRevision(),
                                   .value = claiming ? machine.claimText() : machine.settlementText(),
                                   .outcome = {} });
    return exploreStep(std::move(next), (claiming ? "claim " : "settle ") + std::to_string(index));
}

auto order_explorer::exploreRead(const model_state &now, int index) -> bool
{
    auto fresh = now;
    fresh.routers[index].machine.onRead(recordAsSeenBy(now, index, now.record));
    if (!exploreStep(std::move(fresh), "read " + std::to_string(index))) {
        return false;
    }
    if (now.remainingFaults.staleReads == 0) {
        return true;
    }
    auto stale = now;
    --stale.remainingFaults.staleReads;
    stale.routers[index].machine.onRead(recordAsSeenBy(now, index, now.previousRecord));
    return exploreStep(std::move(stale), "stale read " + std::to_string(index));
}

auto order_explorer::exploreSending(const model_state &now, int index) -> bool
{
    const auto name = " " + std::to_string(index);
    auto next = now;
    auto &actor = next.routers[index];
    if (actor.machine.step() == order_step::send) {
        if (!actor.machine.beginSending()) {
            return true;
        }
        return exploreStep(std::move(next), "begin sending" + name);
    }
    if (!actor.requestSent) {
        auto refused = next;
        refused.routers[index].machine.concludeSending(sending_result::notSent, {}, 0);
        if (!exploreStep(std::move(refused), "not sent" + name)) {
            return false;
        }
        actor.requestSent = true;
        return exploreStep(std::move(next), "send" + name);
    }
    const auto noAnswer =
        m_mutation == protocol_mutation::releasesUnknownSending ? sending_result::notSent : sending_result::unknown;
    auto unknown = next;
    unknown.routers[index].machine.concludeSending(noAnswer, {}, 0);
    if (!exploreStep(std::move(unknown), "server silent" + name)) {
        return false;
    }
    if (!actor.executed) {
        return true;
    }
    actor.machine.concludeSending(sending_result::answered, { 200, "t", "x" }, 0);
    return exploreStep(std::move(next), "server answers" + name);
}

auto order_explorer::explorePendingWrites(const model_state &now) -> bool
{
    for (auto at = std::size_t(0); at < now.pendingWrites.size(); ++at) {
        if (now.pendingWrites[at].applied) {
            continue;
        }
        auto next = now;
        auto write = next.pendingWrites[at];
        applyWrite(next, write);
        const auto position = next.pendingWrites.begin() + static_cast<std::ptrdiff_t>(at);
        if (write.owner < 0) {
            next.pendingWrites.erase(position);
        } else {
            *position = write;
        }
        if (!exploreStep(std::move(next),
                         "apply write of " + std::to_string(write.owner) + " at revision "
                             + std::to_string(write.condition))) {
            return false;
        }
    }
    return true;
}

auto order_explorer::applyWrite(model_state &next, pending_write &write) -> void
{
    write.applied = true;
    if (next.record.revision != write.condition) {
        write.outcome = { write_result::conflict, next.record };
        return;
    }
    next.previousRecord = next.record;
    ++next.record.revision;
    next.record.value = write.value;
    write.outcome = { write_result::written, next.record };
}

auto order_explorer::deliver(model_state &next, int index, write_outcome outcome) -> void
{
    auto &actor = next.routers[index];
    actor.awaitsAnswer = false;
    if (actor.machine.step() == order_step::writeSettlement) {
        actor.machine.onSettlementWritten(outcome);
        return;
    }
    if (outcome.result == write_result::unknown && m_mutation == protocol_mutation::sendsOnUnknownClaim) {
        outcome = { write_result::written,
                    { .kind = {}, .name = {}, .revision = actor.machine.claimRevision() + 1, .value = {} } };
    }
    if (outcome.result == write_result::conflict) {
        outcome.current = recordAsSeenBy(next, index, std::move(outcome.current));
    }
    actor.machine.onClaimWritten(outcome);
}

/// Ends a router's request. skipsReleaseOfUnknownClaim omits the release of a claim that may still be applied.
auto order_explorer::giveUp(model_state &next, int index) -> void
{
    auto &machine = next.routers[index].machine;
    const auto claiming = machine.step() == order_step::writeClaim;
    machine.giveUp();
    const auto releases = machine.step() == order_step::writeSettlement;
    if (claiming && releases && m_mutation == protocol_mutation::skipsReleaseOfUnknownClaim) {
        auto unused = stored_object();
        machine.onSettlementWritten({ write_result::written, unused });
    }
}

auto order_explorer::recordAsSeenBy(const model_state &, int index, stored_object seen) const -> stored_object
{
    auto record = parseRecord(seen);
    const auto isOtherClaim = record && record->claim.nonce != "n" + std::to_string(index);
    if (m_mutation == protocol_mutation::takesOverOtherClaims && isOtherClaim
        && record->state == order_state::started) {
        record->state = order_state::released;
        seen.value = toText(*record);
    }
    return seen;
}

auto order_explorer::check(const model_state &now) -> std::string
{
    const auto hasExecuted = [](const router &actor) {
        return actor.executed;
    };
    const auto executions = std::count_if(now.routers.begin(), now.routers.end(), hasExecuted);
    if (executions > 1) {
        return "executed more than once";
    }
    const auto record = parseRecord(now.record);
    for (const auto &actor : now.routers) {
        const auto verdict = actor.machine.verdict();
        if (saysNotRun(verdict) && (actor.executed || actor.requestSent)) {
            return "reported as not run, but it ran or may still run";
        }
        if (actor.machine.step() == order_step::done && verdict == order_verdict::none) {
            return "ended without a verdict";
        }
        if (verdict == order_verdict::answered && executions != 1) {
            return "answered without an execution";
        }
        if (actor.requestSent && (!record || record->state == order_state::released)) {
            return "sent, but the record says that it was not";
        }
    }
    return checkFinalState(now, record);
}

/// Once no write is in flight and all routers ended, the claim of a router that is alive must be settled.
auto order_explorer::checkFinalState(const model_state &now, const std::optional<order_record> &record) -> std::string
{
    const auto ended = [](const router &actor) {
        return !actor.alive || actor.machine.step() == order_step::done;
    };
    if (!now.pendingWrites.empty() || !record || !std::all_of(now.routers.begin(), now.routers.end(), ended)) {
        return {};
    }
    const auto unsettled = [&](const router &actor) {
        return actor.alive && record->claim.nonce == actor.machine.claim().nonce
            && record->state == order_state::started;
    };
    const auto anyUnsettled = std::any_of(now.routers.begin(), now.routers.end(), unsettled);
    return anyUnsettled ? "a live router never settled its claim" : "";
}

auto order_explorer::fingerprint(const model_state &now) const -> std::string
{
    auto text = std::to_string(now.record.revision) + now.record.value + "|" + now.previousRecord.value + "|";
    for (const auto &actor : now.routers) {
        text += actor.machine.fingerprint() + (actor.alive ? "a" : "-") + (actor.awaitsAnswer ? "w" : "-");
        text += std::string(actor.requestSent ? "r" : "-") + (actor.executed ? "x" : "-") + "|";
    }
    for (const auto &write : now.pendingWrites) {
        text += std::to_string(write.owner) + "," + std::to_string(write.condition) + "," + write.value + ",";
        text += write.applied ? std::string(nameOf(write.outcome.result)) + write.outcome.current.value : "";
        text += std::to_string(write.outcome.current.revision) + "|";
    }
    const auto &remainingFaults = now.remainingFaults;
    return text + std::to_string(remainingFaults.lostAnswers) + "," + std::to_string(remainingFaults.refusals) + ","
        + std::to_string(remainingFaults.staleReads) + "," + std::to_string(remainingFaults.kills);
}

} // namespace marjoramloom
