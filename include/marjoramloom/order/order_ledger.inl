#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

namespace marjoramloom {

namespace order_limits {
constexpr auto settlePeriod = std::chrono::milliseconds(100);
constexpr auto nonceBytes = std::size_t(12);
} // namespace order_limits

/// Sets \p why to the failure that \p verdict is reported as. Thread safe.
auto explainVerdict(order_verdict verdict, last_reason &why) -> void;

template<object_store Store>
order_ledger<Store>::order_ledger(Store &store, order_options options, counter_registry &counters)
    : m_store(store)
    , m_options(std::move(options))
    , m_admitted(counters.at("marjoramloom_orders_total", R"(result="admitted")"))
    , m_replayed(counters.at("marjoramloom_orders_total", R"(result="repeated")"))
    , m_unknownOutcomes(counters.at("marjoramloom_orders_total", R"(result="unknown_outcome")"))
    , m_settled(counters.at("marjoramloom_order_settlements_total"))
{
}

template<object_store Store>
auto order_ledger<Store>::admit(order_request request, last_reason &why) -> boost::asio::awaitable<order_admission>
{
    assert(!request.idempotencyKey.empty());
    auto machine = order_machine(std::move(request), makeClaim());
    auto backoff = makeBackoff();
    auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
    const auto started = std::chrono::steady_clock::now();
    for (;;) {
        const auto reading = machine.step() == order_step::readRecord;
        if (reading) {
            co_await readStep(machine, why);
        } else {
            co_await claimStep(machine, why);
        }
        const auto isPending = machine.step() == order_step::writeClaim || machine.step() == order_step::readRecord;
        if (!isPending) {
            break;
        }
        const auto waiting = machine.step() == order_step::readRecord;
        const auto limit = waiting ? m_options.outcomeWaitLimit : m_options.claimTimeout;
        const auto abandoned = waiting && seemsAbandoned(machine.competingClaim());
        if (abandoned || std::chrono::steady_clock::now() - started >= limit) {
            machine.giveUp();
            break;
        }
        timer.expires_after(backoff.next());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return co_await finishAdmission(std::move(machine), why);
}

template<object_store Store>
auto order_ledger<Store>::claimStep(order_machine &machine, last_reason &why) -> boost::asio::awaitable<void>
{
    const auto name = orderName(machine.request());
    const auto text = machine.claimText();
    const auto revision = machine.claimRevision();
    auto outcome = write_outcome();
    if (revision == 0) {
        outcome = co_await m_store.create(orderKind, name, text, why);
    } else {
        outcome = co_await m_store.update(orderKind, name, text, revision, why);
    }
    machine.onClaimWritten(outcome);
}

template<object_store Store>
auto order_ledger<Store>::readStep(order_machine &machine, last_reason &why) -> boost::asio::awaitable<void>
{
    const auto name = orderName(machine.request());
    const auto object = co_await m_store.get(orderKind, name, why);
    if (object) {
        machine.onRead(*object);
    }
}

template<object_store Store>
auto order_ledger<Store>::seemsAbandoned(const order_claim &claim) const -> bool
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto oldest = std::chrono::duration_cast<std::chrono::milliseconds>(now) - m_options.maxClaimAge;
    return claim.unixMs < oldest.count() || (m_options.isCreatorGone && m_options.isCreatorGone(claim.incarnation));
}

template<object_store Store>
auto order_ledger<Store>::finishAdmission(order_machine machine, last_reason &why)
    -> boost::asio::awaitable<order_admission>
{
    if (machine.step() == order_step::send) {
        m_admitted.add();
        co_return makeAdmission(std::move(machine));
    }
    auto admission = order_admission{ .verdict = machine.verdict(), .permit = std::nullopt, .answer = {} };
    if (admission.verdict == order_verdict::answered) {
        m_replayed.add();
        const auto answer = co_await loadAnswer(machine.answer(), why);
        if (answer) {
            admission.answer = *answer;
            co_return admission;
        }
        admission.verdict = order_verdict::unknownOutcome;
    }
    if (admission.verdict == order_verdict::inProgress && seemsAbandoned(machine.competingClaim())) {
        admission.verdict = order_verdict::unknownOutcome;
    }
    if (admission.verdict == order_verdict::unknownOutcome) {
        m_unknownOutcomes.add();
    }
    explainVerdict(admission.verdict, why);
    if (machine.step() == order_step::writeSettlement) {
        enqueue({ .machine = std::move(machine), .pieces = {} });
    }
    co_return admission;
}

template<object_store Store>
auto order_ledger<Store>::makeAdmission(order_machine machine) -> order_admission
{
    auto onAbandon = [this](order_machine abandoned) {
        enqueue({ .machine = std::move(abandoned), .pieces = {} });
    };
    auto admission = order_admission();
    admission.permit.emplace(std::move(machine), std::move(onAbandon));
    return admission;
}

template<object_store Store>
auto order_ledger<Store>::conclude(order_permit permit, order_conclusion conclusion) -> boost::asio::awaitable<void>
{
    auto entry = settlement{ .machine = permit.release(), .pieces = {} };
    if (entry.machine.step() == order_step::send) {
        // Without beginSending() nothing was sent, whatever the conclusion says.
        entry.machine.giveUp();
    } else {
        auto &body = conclusion.answer.body;
        for (auto offset = std::size_t(0); body.size() > m_options.maxInlineAnswerBytes && offset < body.size();
             offset += m_options.maxInlineAnswerBytes) {
            entry.pieces.push_back(body.substr(offset, m_options.maxInlineAnswerBytes));
        }
        if (!entry.pieces.empty()) {
            body.clear();
        }
        const auto pieces = static_cast<std::uint32_t>(entry.pieces.size());
        entry.machine.concludeSending(conclusion.result, std::move(conclusion.answer), pieces);
    }
    m_settlementsInProgress.fetch_add(1);
    const auto settled = co_await settleOnce(entry);
    if (!settled) {
        enqueue(std::move(entry));
    }
    m_settlementsInProgress.fetch_sub(1);
}

template<object_store Store>
auto order_ledger<Store>::settleOnce(settlement &entry) -> boost::asio::awaitable<bool>
{
    auto why = last_reason();
    for (; entry.piecesWritten < entry.pieces.size(); ++entry.piecesWritten) {
        const auto pieceKey = pieceName(entry.machine, entry.piecesWritten);
        const auto written = co_await m_store.create(orderAnswerKind, pieceKey, entry.pieces[entry.piecesWritten], why);
        // The name contains the claim's nonce, so a conflict means that an earlier write of this piece took effect and
        // its response was lost.
        if (written.result != write_result::written && written.result != write_result::conflict) {
            co_return false;
        }
    }
    const auto name = orderName(entry.machine.request());
    const auto text = entry.machine.settlementText();
    const auto revision = entry.machine.settlementRevision();
    auto outcome = write_outcome();
    if (revision == 0) {
        outcome = co_await m_store.create(orderKind, name, text, why);
    } else {
        outcome = co_await m_store.update(orderKind, name, text, revision, why);
    }
    entry.machine.onSettlementWritten(outcome);
    const auto done = entry.machine.step() == order_step::done;
    if (done) {
        m_settled.add();
    }
    co_return done;
}

template<object_store Store>
auto order_ledger<Store>::loadAnswer(const order_record &record, last_reason &why)
    -> boost::asio::awaitable<std::optional<stored_answer>>
{
    auto answer = record.answer;
    for (auto index = std::uint32_t(0); index < record.answerPieces; ++index) {
        const auto name = record.claim.nonce + "-" + std::to_string(index);
        const auto piece = co_await m_store.get(orderAnswerKind, name, why);
        if (!piece || piece->revision == 0) {
            co_return std::nullopt;
        }
        answer.body += piece->value;
    }
    co_return answer;
}

template<object_store Store>
auto order_ledger<Store>::run() -> boost::asio::awaitable<void>
{
    auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
    auto backoff = makeBackoff();
    while (!m_stopped.load(std::memory_order_acquire)) {
        co_await settleAll();
        if (unsettled() == 0) {
            backoff.reset();
        }
        timer.expires_after(unsettled() == 0 ? order_limits::settlePeriod : backoff.next());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

template<object_store Store>
auto order_ledger<Store>::settleAll() -> boost::asio::awaitable<void>
{
    const auto count = unsettled();
    for (auto done = std::size_t(0); done < count; ++done) {
        auto entry = takeUnsettled();
        if (!entry) {
            co_return;
        }
        const auto settled = co_await settleOnce(*entry);
        if (!settled) {
            enqueue(std::move(*entry));
        }
        m_settlementsInProgress.fetch_sub(1);
        if (!settled) {
            co_return;
        }
    }
}

template<object_store Store>
auto order_ledger<Store>::drain(std::chrono::milliseconds limit) -> boost::asio::awaitable<std::size_t>
{
    auto timer = boost::asio::steady_timer(co_await boost::asio::this_coro::executor);
    auto backoff = makeBackoff();
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (unsettled() > 0 && std::chrono::steady_clock::now() < deadline) {
        co_await settleAll();
        timer.expires_after(backoff.next());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
    co_return unsettled();
}

template<object_store Store>
auto order_ledger<Store>::listOpen(last_reason &why) -> boost::asio::awaitable<std::optional<std::vector<open_order>>>
{
    const auto listed = co_await m_store.list(orderKind, why);
    if (!listed) {
        co_return std::nullopt;
    }
    auto open = std::vector<open_order>();
    for (const auto &object : listed->objects) {
        auto ignored = last_reason();
        const auto record = parseOrderRecord(object.value, ignored);
        if (!record || record->state == order_state::finished || record->state == order_state::released) {
            continue;
        }
        const auto gone = m_options.isCreatorGone && m_options.isCreatorGone(record->claim.incarnation);
        open.push_back({ .name = object.name,
                         .account = record->request.accountName,
                         .service = record->request.service,
                         .router = record->claim.router,
                         .incarnation = record->claim.incarnation,
                         .state = record->state,
                         .unixMs = record->claim.unixMs,
                         .isCreatorGone = gone });
    }
    co_return open;
}

template<object_store Store>
auto order_ledger<Store>::unsettled() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_unsettled.size() + m_settlementsInProgress.load();
}

template<object_store Store>
auto order_ledger<Store>::enqueue(settlement entry) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_unsettled.push_back(std::move(entry));
}

template<object_store Store>
auto order_ledger<Store>::takeUnsettled() -> std::optional<settlement>
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_unsettled.empty()) {
        return std::nullopt;
    }
    auto entry = std::move(m_unsettled.front());
    m_unsettled.pop_front();
    m_settlementsInProgress.fetch_add(1);
    return entry;
}

template<object_store Store>
auto order_ledger<Store>::makeClaim() -> order_claim
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return { .incarnation = m_options.incarnation,
             .router = m_options.router,
             .nonce = randomHex(order_limits::nonceBytes),
             .unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count() };
}

template<object_store Store>
auto order_ledger<Store>::makeBackoff() -> retry_backoff
{
    return { m_options.retryFirst, m_options.retryLimit, m_options.seed + m_backoffCount.fetch_add(1) };
}

template<object_store Store>
auto order_ledger<Store>::pieceName(const order_machine &machine, std::size_t index) const -> std::string
{
    return machine.claim().nonce + "-" + std::to_string(index);
}

} // namespace marjoramloom
