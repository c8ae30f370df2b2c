#include "marjoramloom/gateway/decisions/block_quarantine.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

using verdict = block_quarantine::verdict;

constexpr auto start = time_point(100s);
/// Place in the order of trials of a router whose turn does not come.
constexpr auto noTurn = std::size_t(1'000'000);

/// Time of the crash with this number; crashes of separate causes are a second apart.
auto crashTime(std::uint64_t crash) -> time_point
{
    return start + std::chrono::seconds(crash);
}

auto blocksOf(std::initializer_list<std::uint64_t> ids) -> std::vector<prefix_block>
{
    auto blocks = std::vector<prefix_block>();
    for (const auto id : ids) {
        blocks.push_back({ id, 100 });
    }
    return blocks;
}

auto isAllowed(block_quarantine &router, std::initializer_list<std::uint64_t> ids, time_point now = start) -> bool
{
    return router.check(
               blocksOf(ids), [](std::uint64_t) { return noTurn; }, now)
        == verdict::allowed;
}

/// Routers that receive each other's messages at once, unless they are lost.
class router_group
{
public:
    explicit router_group(std::size_t count)
    {
        for (auto index = std::size_t(0); index < count; ++index) {
            routers.push_back(std::make_unique<block_quarantine>());
            routers.back()->setPublisher(
                { .onReport =
                      [this, index](const crash_report &report) {
                          ++messages;
                          forOthers(index, [&](auto &router) { router.handleReport(report, now); });
                      },
                  .onRecord =
                      [this, index](const block_record &record) {
                          ++messages;
                          forOthers(index, [&](auto &router) { router.handleRecord(record, now); });
                      } });
        }
    }

    /// Three crashes by a prompt with these blocks, as the first router sees them.
    auto quarantine(const std::vector<prefix_block> &blocks) -> void
    {
        for (auto crash = std::uint64_t(0); crash < 3; ++crash) {
            now = crashTime(crash);
            routers[0]->noteBroken(crash, crash_sign::beganAnswer, false, blocks, now);
        }
    }

    std::vector<std::unique_ptr<block_quarantine>> routers;
    bool lossy = false; ///< Messages are lost.
    int messages = 0;
    time_point now = start;

private:
    template<typename Action>
    auto forOthers(std::size_t sender, Action action) -> void
    {
        for (auto index = std::size_t(0); index < routers.size() && !lossy; ++index) {
            if (index != sender) {
                action(*routers[index]);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(block_quarantine_test)

BOOST_AUTO_TEST_CASE(a_block_that_crashes_engines_is_found_though_each_crash_is_seen_by_another_router)
{
    auto group = router_group(3);
    for (auto crash = std::uint64_t(0); crash < 3; ++crash) {
        BOOST_TEST(isAllowed(*group.routers[0], { 1, 50, 666 }));
        group.now = crashTime(crash);
        group.routers[crash]->noteBroken(crash, crash_sign::beganAnswer, false, blocksOf({ 1, 50 + crash, 666 }),
                                         group.now);
    }
    for (auto &router : group.routers) {
        BOOST_TEST(!isAllowed(*router, { 1, 60, 666 }));
        BOOST_TEST(isAllowed(*router, { 1, 50 }));
        BOOST_TEST(router->quarantinedBlocks() == 1U);
        BOOST_TEST(router->digest() == group.routers[0]->digest());
    }
}

BOOST_AUTO_TEST_CASE(a_block_is_found_though_engines_crash_before_the_head_of_the_answer_arrives)
{
    auto router = block_quarantine();
    for (auto crash = std::uint64_t(0); crash < 5; ++crash) {
        router.noteBroken(crash, crash_sign::noAnswer, false, blocksOf({ 50 + crash, 666 }), crashTime(crash));
    }
    BOOST_TEST(!isAllowed(router, { 1, 666 }));
}

BOOST_AUTO_TEST_CASE(two_reports_of_one_crash_count_once)
{
    auto group = router_group(2);
    for (auto report = 0; report < 6; ++report) {
        group.routers[report % 2]->noteBroken(7, crash_sign::noAnswer, false, blocksOf({ 1, 666 }), start);
        group.routers[report % 2]->noteBroken(7, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), start);
    }
    BOOST_TEST(isAllowed(*group.routers[0], { 1, 666 }));
    BOOST_TEST(isAllowed(*group.routers[1], { 1, 666 }));
}

BOOST_AUTO_TEST_CASE(a_request_that_may_complete_the_evidence_is_not_sent_again)
{
    auto router = block_quarantine();
    const auto blocks = blocksOf({ 1, 666 });
    router.noteBroken(1, crash_sign::beganAnswer, false, blocks, start);
    BOOST_TEST(router.mayResend(blocks));
    router.noteBroken(2, crash_sign::beganAnswer, true, blocks, start + 10ms);
    BOOST_TEST(!router.mayResend(blocks));
    // A new request still finds out which of the suspects it was.
    BOOST_TEST(isAllowed(router, { 1, 666 }));
}

BOOST_AUTO_TEST_CASE(blocks_of_neighbours_at_many_crashes_are_cleared_by_the_first_event_anywhere)
{
    auto group = router_group(4);
    for (auto crash = std::uint64_t(0); crash < 40; ++crash) {
        group.now = crashTime(crash);
        // Requests of the conversations 11 to 14 run at each engine that crashes, and go on elsewhere.
        for (auto router = std::size_t(0); router < 4; ++router) {
            group.routers[router]->noteBroken(crash, crash_sign::noAnswer, false, blocksOf({ 1, 11 + router }),
                                              group.now);
        }
        for (auto router = std::size_t(0); router < 4; ++router) {
            group.routers[(router + 1) % 4]->noteAnswerBegun(blocksOf({ 1, 11 + router }), group.now);
        }
    }
    for (auto &router : group.routers) {
        BOOST_TEST(router->quarantinedBlocks() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(engines_that_fail_at_the_same_moment_do_not_quarantine_what_their_requests_have_in_common)
{
    auto group = router_group(4);
    // A rack of ten engines loses its power twice; requests of four conversations wait at each engine.
    for (auto failure = std::uint64_t(0); failure < 2; ++failure) {
        for (auto engine = std::uint64_t(0); engine < 10; ++engine) {
            for (auto router = std::uint64_t(0); router < 4; ++router) {
                const auto blocks = blocksOf({ 1, 100 * failure + 10 * engine + router + 2 });
                const auto sign = router == 0 ? crash_sign::beganAnswer : crash_sign::noAnswer;
                group.now = start + failure * 5s + engine * 10ms;
                group.routers[router]->noteBroken(100 * failure + engine, sign, false, blocks, group.now);
            }
        }
    }
    for (auto &router : group.routers) {
        BOOST_TEST(isAllowed(*router, { 1, 77 }, group.now));
        BOOST_TEST(router->quarantinedBlocks() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(requests_that_only_waited_while_most_engines_went_down_and_up_quarantine_nothing)
{
    auto router = block_quarantine();
    for (auto failure = std::uint64_t(0); failure < 20; ++failure) {
        for (auto engine = std::uint64_t(0); engine < 6; ++engine) {
            const auto now = start + failure * 800ms + engine * 20ms;
            router.noteBroken(100 * failure + engine, crash_sign::noAnswer, failure > 0 && engine == 0,
                              blocksOf({ 1, 11 }), now);
        }
    }
    BOOST_TEST(isAllowed(router, { 1, 11 }));
}

BOOST_AUTO_TEST_CASE(a_request_that_breaks_one_engine_right_after_the_other_counts_for_each)
{
    auto router = block_quarantine();
    const auto blocks = blocksOf({ 1, 666 });
    router.noteBroken(1, crash_sign::beganAnswer, false, blocks, start);
    // A neighbour that moved to the same engines is reported before the request that crashed them.
    router.noteBroken(2, crash_sign::noAnswer, false, blocksOf({ 1, 11 }), start + 10ms);
    router.noteBroken(2, crash_sign::beganAnswer, true, blocks, start + 10ms);
    BOOST_TEST(!router.mayResend(blocks));
    router.noteBroken(3, crash_sign::beganAnswer, false, blocks, start + 1s);
    BOOST_TEST(!isAllowed(router, { 666 }));
}

BOOST_AUTO_TEST_CASE(a_block_that_was_sound_before_needs_more_crashes_and_is_tried_again_sooner)
{
    auto group = router_group(2);
    auto &router = *group.routers[0];
    router.noteAnswerBegun(blocksOf({ 1 }), start);
    auto crashes = std::uint64_t(0);
    for (; isAllowed(router, { 1 }) && crashes < 20; ++crashes) {
        group.now = crashTime(crashes);
        router.noteBroken(crashes, crash_sign::beganAnswer, false, blocksOf({ 1 }), group.now);
        // The other router has no answers on the block, but learns from this one that there were some.
        for (const auto &record : router.records()) {
            group.routers[1]->handleRecord(record, group.now);
        }
        BOOST_TEST(isAllowed(*group.routers[1], { 1 }) == isAllowed(router, { 1 }));
    }
    BOOST_TEST(crashes == 5U);
    BOOST_TEST((router.timeToTrial(blocksOf({ 1 }), group.now) == block_quarantine::FIRST_TRIAL_DELAY_OF_SOUND));
}

BOOST_AUTO_TEST_CASE(a_router_that_has_seen_no_answers_does_not_make_the_others_refuse_what_was_sound)
{
    auto group = router_group(2);
    auto &informed = *group.routers[0];
    auto &other = *group.routers[1];
    group.lossy = true;
    informed.noteAnswerBegun(blocksOf({ 1 }), start);
    for (auto crash = std::uint64_t(0); crash < 3; ++crash) {
        other.noteBroken(crash, crash_sign::beganAnswer, false, blocksOf({ 1 }), crashTime(crash));
    }
    BOOST_TEST(!isAllowed(other, { 1 }));
    for (const auto &record : other.records()) {
        informed.handleRecord(record, crashTime(3));
    }
    BOOST_TEST(isAllowed(informed, { 1 }));
    for (const auto &record : informed.records()) {
        other.handleRecord(record, crashTime(3));
    }
    BOOST_TEST(isAllowed(other, { 1 }));
}

BOOST_AUTO_TEST_CASE(a_report_of_a_crash_before_the_last_answer_does_not_count)
{
    auto group = router_group(2);
    for (auto crash = std::uint64_t(0); crash < 12; ++crash) {
        group.now = crashTime(crash);
        group.routers[0]->noteBroken(crash, crash_sign::noAnswer, false, blocksOf({ 1 }), group.now);
        group.now += 100ms;
        group.routers[1]->noteAnswerBegun(blocksOf({ 1 }), group.now);
        // A late report of the same crash.
        group.now += 100ms;
        group.routers[1]->noteBroken(crash, crash_sign::noAnswer, false, blocksOf({ 1 }), group.now);
    }
    BOOST_TEST(isAllowed(*group.routers[0], { 1 }));
    BOOST_TEST(isAllowed(*group.routers[1], { 1 }));
}

BOOST_AUTO_TEST_CASE(sound_blocks_that_stood_beside_the_deadly_one_at_each_crash_stay_allowed)
{
    auto router = block_quarantine();
    for (auto crash = std::uint64_t(0); crash < 20; ++crash) {
        if (isAllowed(router, { 1, 50, 666 })) {
            router.noteBroken(crash, crash_sign::beganAnswer, false, blocksOf({ 1, 50, 666 }), crashTime(crash));
        }
    }
    BOOST_TEST(!isAllowed(router, { 1, 50, 666 }));
    BOOST_TEST(isAllowed(router, { 1, 50 }));
}

BOOST_AUTO_TEST_CASE(the_other_block_is_found_if_the_last_one_is_not_the_deadly_one)
{
    auto router = block_quarantine();
    auto crashes = std::uint64_t(0);
    for (auto request = std::uint64_t(0); request < 20; ++request) {
        // The first requests with the deadly block 666 belong to one conversation, the others do not.
        const auto conversation = request < 3 ? std::uint64_t(50) : 60 + request;
        if (isAllowed(router, { 666, conversation })) {
            router.noteBroken(++crashes, crash_sign::beganAnswer, false, blocksOf({ 666, conversation }),
                              crashTime(request));
        }
    }
    BOOST_TEST(!isAllowed(router, { 666, 90 }));
    BOOST_TEST(crashes <= 5U);
}

BOOST_AUTO_TEST_CASE(a_router_that_starts_or_missed_messages_learns_from_records)
{
    auto group = router_group(2);
    group.lossy = true;
    auto &informed = *group.routers[0];
    auto &other = *group.routers[1];
    for (auto crash = std::uint64_t(0); crash < 3; ++crash) {
        informed.noteBroken(crash, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), crashTime(crash));
    }
    BOOST_TEST(other.digest() == 0U);
    BOOST_TEST(informed.digest() != other.digest());
    for (const auto &record : informed.records()) {
        other.handleRecord(record, start);
    }
    BOOST_TEST(!isAllowed(other, { 1, 666 }));
    BOOST_TEST(informed.digest() == other.digest());
    // A clearance that was lost reaches the other one by the records, too, and is not undone by older ones.
    const auto before = informed.records();
    other.noteAnswerBegun(blocksOf({ 666 }), start);
    BOOST_TEST(informed.digest() != other.digest());
    for (const auto &record : before) {
        other.handleRecord(record, start);
    }
    for (const auto &record : other.records()) {
        informed.handleRecord(record, start);
    }
    BOOST_TEST(isAllowed(informed, { 1, 666 }));
    BOOST_TEST(isAllowed(other, { 1, 666 }));
}

BOOST_AUTO_TEST_CASE(one_router_tries_a_quarantined_block_again_after_a_growing_time)
{
    auto group = router_group(2);
    const auto blocks = blocksOf({ 1, 666 });
    group.quarantine(blocks);
    const auto quarantinedAt = group.now;
    const auto always = [](std::uint64_t) {
        return std::size_t(0);
    };
    const auto never = [](std::uint64_t) {
        return noTurn;
    };
    auto &router = *group.routers[0];
    BOOST_TEST((router.check(blocks, always, quarantinedAt + 10s) == verdict::refused));
    BOOST_TEST((router.timeToTrial(blocks, quarantinedAt + 10s) == block_quarantine::FIRST_TRIAL_DELAY - 10s));
    group.now = quarantinedAt + 21s;
    BOOST_TEST((router.check(blocks, never, group.now) == verdict::refused));
    BOOST_TEST((router.check(blocks, always, group.now) == verdict::trial));
    BOOST_TEST((router.check(blocks, always, group.now + 1s) == verdict::refused));
    BOOST_TEST((group.routers[1]->check(blocks, always, group.now + 30s) == verdict::refused));
    auto trials = 1;
    for (auto time = group.now; time < start + 24h; time += 10s) {
        group.now = time;
        trials += router.check(blocks, always, time) == verdict::trial ? 1 : 0;
    }
    BOOST_TEST(trials > 5);
    BOOST_TEST(trials < 40);
    router.noteAnswerBegun(blocks, group.now);
    BOOST_TEST(isAllowed(*group.routers[0], { 1, 666 }));
    BOOST_TEST(isAllowed(*group.routers[1], { 1, 666 }));
}

BOOST_AUTO_TEST_CASE(a_quarantined_block_stays_so_when_its_evidence_is_older_than_other_evidence_may_be)
{
    auto router = block_quarantine();
    for (auto crash = std::uint64_t(0); crash < 3; ++crash) {
        router.noteBroken(crash, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), crashTime(crash));
    }
    const auto later = start + 3 * crash_moments::LIFETIME;
    router.noteBroken(9, crash_sign::noAnswer, false, blocksOf({ 1, 50 }), later);
    router.handleRecord({ .block = 666 }, later);
    BOOST_TEST(router.quarantinedBlocks() == 1U);
    const auto records = router.records();
    auto other = block_quarantine();
    for (const auto &record : records) {
        other.handleRecord(record, later);
    }
    BOOST_TEST(!isAllowed(other, { 666 }, later));
}

BOOST_AUTO_TEST_CASE(memory_and_messages_are_bounded_when_thousands_of_requests_break_off)
{
    auto group = router_group(2);
    for (auto crash = std::uint64_t(0); crash < 3; ++crash) {
        group.routers[0]->noteBroken(crash, crash_sign::beganAnswer, false, blocksOf({ 666 }), crashTime(crash));
    }
    group.messages = 0;
    for (auto request = std::uint64_t(0); request < 5'000; ++request) {
        group.routers[0]->noteBroken(request % 300, crash_sign::noAnswer, false, blocksOf({ 1, 1'000 + request }),
                                     start + 10s);
    }
    BOOST_TEST(group.routers[0]->records().size() <= block_quarantine::MAX_BLOCKS);
    BOOST_TEST(group.messages <= 20);
    BOOST_TEST(!isAllowed(*group.routers[0], { 666 }));
}

BOOST_AUTO_TEST_CASE(evidence_outlasts_a_failure_that_breaks_off_hundreds_of_other_requests)
{
    auto router = block_quarantine();
    router.noteBroken(1, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), crashTime(0));
    router.noteBroken(2, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), crashTime(1));
    router.noteAnswerBegun(blocksOf({ 1 }), crashTime(1) + 100ms);
    for (auto request = std::uint64_t(0); request < 2'000; ++request) {
        const auto block = 1'000 + request;
        router.handleReport({ .engine = 100 + request % 40, .sign = crash_sign::noAnswer, .blocks = { 1, block } },
                            crashTime(2));
        // Answers to some of them begin elsewhere.
        router.handleRecord({ .block = block, .clearances = request % 3 == 0 ? 1U : 0U }, crashTime(2));
    }
    router.noteBroken(3, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), crashTime(3));
    BOOST_TEST(!isAllowed(router, { 666 }, crashTime(3)));
    BOOST_TEST(router.records().size() <= block_quarantine::MAX_BLOCKS);
}

BOOST_AUTO_TEST_CASE(a_quarantined_block_is_tried_again_though_no_request_with_it_reaches_the_first_router)
{
    auto group = router_group(3);
    const auto blocks = blocksOf({ 1, 666 });
    group.quarantine(blocks);
    const auto quarantinedAt = group.now;
    const auto trialRank = [](std::size_t own) {
        return [own](std::uint64_t) {
            return own;
        };
    };
    // The caller only ever reaches the last router in the order of trials.
    group.now = quarantinedAt + block_quarantine::FIRST_TRIAL_DELAY;
    BOOST_TEST((group.routers[2]->check(blocks, trialRank(2), group.now) == verdict::refused));
    group.now += 2 * block_quarantine::TRIAL_TURN;
    BOOST_TEST((group.routers[2]->check(blocks, trialRank(2), group.now) == verdict::trial));
    for (auto rank = std::size_t(0); rank < 3; ++rank) {
        BOOST_TEST((group.routers[rank]->check(blocks, trialRank(rank), group.now + 1s) == verdict::refused));
    }
}

BOOST_AUTO_TEST_CASE(evidence_is_dropped_after_a_time)
{
    auto router = block_quarantine();
    router.noteBroken(1, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), start);
    router.noteBroken(2, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), start + 1s);
    router.noteBroken(3, crash_sign::beganAnswer, false, blocksOf({ 5 }), start + 11min);
    router.noteBroken(4, crash_sign::beganAnswer, false, blocksOf({ 1, 666 }), start + 11min);
    BOOST_TEST(isAllowed(router, { 1, 666 }, start + 11min));
}

BOOST_AUTO_TEST_SUITE_END()
