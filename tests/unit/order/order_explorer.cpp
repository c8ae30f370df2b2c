#include "unit/order/order_explorer.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

namespace {

auto stateOf(const stored_object &object) -> std::optional<order_record>
{
    auto why = last_reason();
    return object.revision == 0 ? std::nullopt : parseOrderRecord(object.value, why);
}

auto claimsOrSettles(order_step step) -> bool
{
    return step == order_step::writeClaim || step == order_step::writeSettlement;
}

auto saysNotRun(order_verdict verdict) -> bool
{
    return verdict == order_verdict::notRun || verdict == order_verdict::attemptNotRun;
}

} // namespace

order_explorer::order_explorer(int routers, fault_budget budget, naive_variant variant)
    : m_variant(variant)
{
    const auto request = order_request{ .accountName = "a", .idempotencyKey = "k", .service = "s", .bodyHash = "b" };
    for (auto index = 0; index < routers; ++index) {
        const auto claim = order_claim{ .incarnation = static_cast<incarnation_id>(index) + 1,
                                        .router = "r",
                                        .nonce = "n" + std::to_string(index),
                                        .unixMs = 0 };
        m_start.routers.push_back({ order_machine(request, claim) });
    }
    m_start.left = budget;
}

auto order_explorer::run(std::string wanted) -> exploration
{
    m_wanted = std::move(wanted);
    visit(m_start);
    m_found.states = m_seen.size();
    return m_found;
}

/// Visits all states after \p now; false once a violation was found.
auto order_explorer::visit(const world &now) -> bool
{
    if (!m_seen.insert(hash64(fingerprint(now))).second) {
        return true;
    }
    const auto violation = check(now);
    if (!violation.empty() && (m_wanted.empty() || m_wanted == violation)) {
        m_found.violation = violation;
        m_found.path = m_path;
        return false;
    }
    for (auto index = 0; index < static_cast<int>(now.routers.size()); ++index) {
        if (!tryRouter(now, index)) {
            return false;
        }
    }
    return tryMessages(now);
}

auto order_explorer::follow(world next, std::string step) -> bool
{
    m_path.push_back(std::move(step));
    const auto fine = visit(next);
    m_path.pop_back();
    return fine;
}

auto order_explorer::tryRouter(const world &now, int index) -> bool
{
    const auto &actor = now.routers[index];
    const auto name = " " + std::to_string(index);
    if (actor.reachedServer && !actor.executed) {
        auto next = now;
        next.routers[index].executed = true;
        if (!follow(std::move(next), "execute" + name)) {
            return false;
        }
    }
    if (!actor.alive || actor.machine.step() == order_step::done) {
        return true;
    }
    if (now.left.kills > 0) {
        auto next = now;
        next.routers[index].alive = false;
        --next.left.kills;
        if (!follow(std::move(next), "kill" + name)) {
            return false;
        }
    }
    if (actor.waiting) {
        return tryWaiting(now, index);
    }
    const auto step = actor.machine.step();
    if (step == order_step::writeClaim || step == order_step::mayRead || step == order_step::send) {
        auto next = now;
        giveUp(next, index);
        if (!follow(std::move(next), "give up" + name)) {
            return false;
        }
    }
    if (claimsOrSettles(step)) {
        return tryWrite(now, index);
    }
    return step == order_step::mayRead ? tryRead(now, index) : trySending(now, index);
}

auto order_explorer::tryWaiting(const world &now, int index) -> bool
{
    for (auto at = std::size_t(0); at < now.messages.size(); ++at) {
        if (now.messages[at].owner != index) {
            continue;
        }
        if (now.messages[at].landed) {
            auto next = now;
            const auto outcome = next.messages[at].outcome;
            next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(at));
            deliver(next, index, outcome);
            if (!follow(std::move(next), "answer " + std::to_string(index))) {
                return false;
            }
        }
        if (now.left.lostAnswers > 0) {
            auto next = now;
            next.messages[at].owner = -1;
            if (next.messages[at].landed) {
                next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(at));
            }
            --next.left.lostAnswers;
            deliver(next, index, { write_result::unknown, {} });
            if (!follow(std::move(next), "no answer " + std::to_string(index))) {
                return false;
            }
        }
    }
    return true;
}

auto order_explorer::tryWrite(const world &now, int index) -> bool
{
    const auto &machine = now.routers[index].machine;
    const auto claiming = machine.step() == order_step::writeClaim;
    if (now.left.refusals > 0) {
        auto next = now;
        --next.left.refusals;
        deliver(next, index, { write_result::notSent, {} });
        if (!follow(std::move(next), "refuse " + std::to_string(index))) {
            return false;
        }
    }
    auto next = now;
    next.routers[index].waiting = true;
    next.messages.push_back({ .owner = index,
                              .landed = false,
                              .condition = claiming ? machine.claimRevision() : machine.settlementRevision(),
                              .value = claiming ? machine.claimText() : machine.settlementText(),
                              .outcome = {} });
    return follow(std::move(next), (claiming ? "claim " : "settle ") + std::to_string(index));
}

auto order_explorer::tryRead(const world &now, int index) -> bool
{
    auto fresh = now;
    fresh.routers[index].machine.onRead(doctored(now, index, now.record));
    if (!follow(std::move(fresh), "read " + std::to_string(index))) {
        return false;
    }
    if (now.left.staleReads == 0) {
        return true;
    }
    auto stale = now;
    --stale.left.staleReads;
    stale.routers[index].machine.onRead(doctored(now, index, now.older));
    return follow(std::move(stale), "stale read " + std::to_string(index));
}

auto order_explorer::trySending(const world &now, int index) -> bool
{
    const auto name = " " + std::to_string(index);
    auto next = now;
    auto &actor = next.routers[index];
    if (actor.machine.step() == order_step::send) {
        if (!actor.machine.beginSending()) {
            return true;
        }
        return follow(std::move(next), "begin sending" + name);
    }
    if (!actor.reachedServer) {
        auto refused = next;
        refused.routers[index].machine.concludeSending(sending_result::notSent, {}, 0);
        if (!follow(std::move(refused), "not sent" + name)) {
            return false;
        }
        actor.reachedServer = true;
        return follow(std::move(next), "send" + name);
    }
    const auto noAnswer =
        m_variant == naive_variant::releasesUnknownSending ? sending_result::notSent : sending_result::unknown;
    auto unknown = next;
    unknown.routers[index].machine.concludeSending(noAnswer, {}, 0);
    if (!follow(std::move(unknown), "server silent" + name)) {
        return false;
    }
    if (!actor.executed) {
        return true;
    }
    actor.machine.concludeSending(sending_result::answered, { 200, "t", "x" }, 0);
    return follow(std::move(next), "server answers" + name);
}

auto order_explorer::tryMessages(const world &now) -> bool
{
    for (auto at = std::size_t(0); at < now.messages.size(); ++at) {
        if (now.messages[at].landed) {
            continue;
        }
        auto next = now;
        auto write = next.messages[at];
        land(next, write);
        const auto place = next.messages.begin() + static_cast<std::ptrdiff_t>(at);
        if (write.owner < 0) {
            next.messages.erase(place);
        } else {
            *place = write;
        }
        if (!follow(std::move(next),
                    "land " + std::to_string(write.owner) + " at " + std::to_string(write.condition))) {
            return false;
        }
    }
    return true;
}

auto order_explorer::land(world &next, message &write) -> void
{
    write.landed = true;
    if (next.record.revision != write.condition) {
        write.outcome = { write_result::conflict, next.record };
        return;
    }
    next.older = next.record;
    ++next.record.revision;
    next.record.value = write.value;
    write.outcome = { write_result::written, next.record };
}

auto order_explorer::deliver(world &next, int index, write_outcome outcome) -> void
{
    auto &actor = next.routers[index];
    actor.waiting = false;
    if (actor.machine.step() == order_step::writeSettlement) {
        actor.machine.onSettlementWritten(outcome);
        return;
    }
    if (outcome.result == write_result::unknown && m_variant == naive_variant::sendsOnUnknownClaim) {
        outcome = { write_result::written,
                    { .kind = {}, .name = {}, .revision = actor.machine.claimRevision() + 1, .value = {} } };
    }
    if (outcome.result == write_result::conflict) {
        outcome.current = doctored(next, index, std::move(outcome.current));
    }
    actor.machine.onClaimWritten(outcome);
}

/// Ends a router's request. The variant that forgets drops the release of a claim that may yet land.
auto order_explorer::giveUp(world &next, int index) -> void
{
    auto &machine = next.routers[index].machine;
    const auto claiming = machine.step() == order_step::writeClaim;
    machine.giveUp();
    const auto releases = machine.step() == order_step::writeSettlement;
    if (claiming && releases && m_variant == naive_variant::forgetsUnknownClaim) {
        auto gone = stored_object();
        machine.onSettlementWritten({ write_result::written, gone });
    }
}

/// What a router takes the record for.
auto order_explorer::doctored(const world &, int index, stored_object seen) const -> stored_object
{
    auto record = stateOf(seen);
    const auto others = record && record->claim.nonce != "n" + std::to_string(index);
    if (m_variant == naive_variant::takesOverByLease && others && record->state == order_state::started) {
        record->state = order_state::released;
        seen.value = toText(*record);
    }
    return seen;
}

auto order_explorer::check(const world &now) -> std::string
{
    const auto ran = [](const router &actor) {
        return actor.executed;
    };
    const auto executions = std::count_if(now.routers.begin(), now.routers.end(), ran);
    if (executions > 1) {
        return "executed more than once";
    }
    const auto record = stateOf(now.record);
    for (const auto &actor : now.routers) {
        const auto verdict = actor.machine.verdict();
        if (saysNotRun(verdict) && (actor.executed || actor.reachedServer)) {
            return "told not run, but it ran or may run";
        }
        if (actor.machine.step() == order_step::done && verdict == order_verdict::none) {
            return "ended without a verdict";
        }
        if (verdict == order_verdict::answered && executions != 1) {
            return "an answer without an execution";
        }
        if (actor.reachedServer && (!record || record->state == order_state::released)) {
            return "sent, and the record says that it never was";
        }
    }
    return checkSettled(now, record);
}

/// Once nothing is under way, no claim of a living router stands unsettled.
auto order_explorer::checkSettled(const world &now, const std::optional<order_record> &record) -> std::string
{
    const auto ended = [](const router &actor) {
        return !actor.alive || actor.machine.step() == order_step::done;
    };
    if (!now.messages.empty() || !record || !std::all_of(now.routers.begin(), now.routers.end(), ended)) {
        return {};
    }
    const auto unsettled = [&](const router &actor) {
        return actor.alive && record->claim.nonce == actor.machine.claim().nonce
            && record->state == order_state::started;
    };
    const auto forgotten = std::any_of(now.routers.begin(), now.routers.end(), unsettled);
    return forgotten ? "a claim that its living creator never settled" : "";
}

auto order_explorer::fingerprint(const world &now) const -> std::string
{
    auto text = std::to_string(now.record.revision) + now.record.value + "|" + now.older.value + "|";
    for (const auto &actor : now.routers) {
        text += actor.machine.fingerprint() + (actor.alive ? "a" : "-") + (actor.waiting ? "w" : "-");
        text += std::string(actor.reachedServer ? "r" : "-") + (actor.executed ? "x" : "-") + "|";
    }
    for (const auto &write : now.messages) {
        text += std::to_string(write.owner) + "," + std::to_string(write.condition) + "," + write.value + ",";
        text += write.landed ? std::string(nameOf(write.outcome.result)) + write.outcome.current.value : "";
        text += std::to_string(write.outcome.current.revision) + "|";
    }
    const auto &left = now.left;
    return text + std::to_string(left.lostAnswers) + "," + std::to_string(left.refusals) + ","
        + std::to_string(left.staleReads) + "," + std::to_string(left.kills);
}

} // namespace marjoramloom
