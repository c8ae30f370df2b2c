#include "marjoramloom/order/order_ledger.h"

#include "support/memory_store.h"
#include "support/run_coroutine.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;

namespace {

auto makeOptions() -> order_options
{
    return { .incarnation = 7,
             .router = "router-1",
             .claimTimeout = std::chrono::milliseconds(20),
             .outcomeWaitLimit = std::chrono::milliseconds(20),
             .retryFirst = std::chrono::milliseconds(1),
             .retryLimit = std::chrono::milliseconds(2),
             .maxInlineAnswerBytes = 64,
             .isCreatorGone = {} };
}

auto deposit(std::string bodyHash = "b1") -> order_request
{
    return {
        .accountName = "authority", .idempotencyKey = "k1", .service = "deposits", .bodyHash = std::move(bodyHash)
    };
}

/// A ledger over a store in memory.
struct ledger_fixture
{
    counter_registry counters;
    memory_store store;
    order_ledger<memory_store> ledger{ store, makeOptions(), counters };

    auto admit(order_request request) -> order_admission
    {
        auto why = last_reason();
        return runCoroutine(ledger.admit(std::move(request), why));
    }

    auto conclude(order_permit permit, order_conclusion conclusion) -> void
    {
        auto work = [&]() -> boost::asio::awaitable<bool> {
            co_await ledger.conclude(std::move(permit), std::move(conclusion));
            co_return true;
        };
        runCoroutine(work());
    }

    /// State of the stored record of deposit().
    auto state() -> order_state
    {
        auto why = last_reason();
        return parseOrderRecord(store.current(orderKind, orderName(deposit())).value, why)->state;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(order_ledger_test, ledger_fixture)

BOOST_AUTO_TEST_CASE(a_retry_gets_the_stored_answer)
{
    for (const auto size : { std::size_t(3), std::size_t(1000) }) {
        const auto body = std::string(size, '\xF0');
        auto request = deposit();
        request.idempotencyKey += std::to_string(size);
        auto first = admit(request);
        BOOST_TEST_REQUIRE(first.permit.has_value());
        BOOST_TEST(first.permit->beginSending());
        BOOST_TEST(!first.permit->beginSending());
        conclude(std::move(*first.permit), { sending_result::answered, { 201, "application/json", body } });
        const auto retry = admit(request);
        BOOST_TEST(!retry.permit.has_value());
        BOOST_TEST((retry.verdict == order_verdict::answered));
        BOOST_TEST(retry.answer.status == 201U);
        BOOST_TEST((retry.answer.body == body));
    }
}

BOOST_AUTO_TEST_CASE(a_different_request_with_the_same_key_is_refused)
{
    auto first = admit(deposit());
    const auto other = admit(deposit("b2"));
    BOOST_TEST((other.verdict == order_verdict::bodyDiffers));
    auto release = deposit();
    release.service = "releases";
    BOOST_TEST((admit(release).verdict == order_verdict::bodyDiffers));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_while_the_platform_is_down)
{
    store.down = true;
    const auto refused = admit(deposit());
    BOOST_TEST((refused.verdict == order_verdict::attemptNotRun));
    BOOST_TEST(!refused.permit.has_value());
    BOOST_TEST(ledger.unsettled() == 0U);
}

// Guards against a router that takes its own claim for another one's after the answer to its write was lost.
BOOST_AUTO_TEST_CASE(a_claim_whose_answer_was_lost_is_recognised_on_retry)
{
    store.faults = { write_fault::answerLost };
    const auto admission = admit(deposit());
    BOOST_TEST(admission.permit.has_value());
}

// Guards against a key that stays blocked because its claim took effect after the request had been given up.
BOOST_AUTO_TEST_CASE(a_claim_applied_after_giving_up_is_released)
{
    store.faults = std::deque<write_fault>(1000, write_fault::late);
    const auto refused = admit(deposit());
    BOOST_TEST((refused.verdict == order_verdict::attemptNotRun));
    store.faults.clear();
    BOOST_TEST(ledger.unsettled() == 1U);
    store.applyLateWrites();
    const auto left = runCoroutine(ledger.drain(std::chrono::seconds(5)));
    BOOST_TEST(left == 0U);
    BOOST_TEST((state() == order_state::released));
    BOOST_TEST(admit(deposit()).permit.has_value());
}

// Guards against a late claim that overwrites the release of the same claim.
BOOST_AUTO_TEST_CASE(a_claim_in_flight_cannot_take_effect_after_its_release)
{
    store.faults = std::deque<write_fault>(1000, write_fault::late);
    admit(deposit());
    store.faults.clear();
    runCoroutine(ledger.drain(std::chrono::seconds(5)));
    store.applyLateWrites();
    BOOST_TEST((state() == order_state::released));
}

BOOST_AUTO_TEST_CASE(an_outcome_that_could_not_be_stored_is_stored_by_drain)
{
    auto first = admit(deposit());
    BOOST_TEST(first.permit->beginSending());
    store.down = true;
    conclude(std::move(*first.permit), { sending_result::answered, { 200, "text/plain", "done" } });
    BOOST_TEST(ledger.unsettled() == 1U);
    BOOST_TEST(runCoroutine(ledger.drain(std::chrono::milliseconds(5))) == 1U);
    store.down = false;
    BOOST_TEST(runCoroutine(ledger.drain(std::chrono::seconds(5))) == 0U);
    BOOST_TEST(admit(deposit()).answer.body == "done");
}

BOOST_AUTO_TEST_CASE(a_destroyed_permit_settles_as_released_or_unknown)
{
    {
        const auto dropped = admit(deposit());
    }
    runCoroutine(ledger.drain(std::chrono::seconds(5)));
    BOOST_TEST((state() == order_state::released));
    {
        auto dropped = admit(deposit());
        BOOST_TEST(dropped.permit->beginSending());
    }
    runCoroutine(ledger.drain(std::chrono::seconds(5)));
    BOOST_TEST((state() == order_state::unknownOutcome));
    BOOST_TEST((admit(deposit()).verdict == order_verdict::unknownOutcome));
}

// Guards against a takeover of a claim because its router seems gone: the router may only be paused.
BOOST_AUTO_TEST_CASE(a_claim_of_a_gone_router_is_reported_as_unknown_and_not_taken_over)
{
    auto first = admit(deposit());
    auto options = makeOptions();
    options.isCreatorGone = [](incarnation_id) {
        return true;
    };
    auto other = order_ledger<memory_store>(store, options, counters);
    auto why = last_reason();
    const auto retry = runCoroutine(other.admit(deposit(), why));
    BOOST_TEST((retry.verdict == order_verdict::unknownOutcome));
    BOOST_TEST(store.history.size() == 1U);
    const auto open = runCoroutine(other.listOpen(why));
    BOOST_TEST_REQUIRE(open.has_value());
    BOOST_TEST_REQUIRE(open->size() == 1U);
    BOOST_TEST(open->front().isCreatorGone);
}

BOOST_AUTO_TEST_SUITE_END()
