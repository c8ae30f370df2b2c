#include "marjoramloom/gateway/decisions/prompt_placement.h"
#include "marjoramloom/gateway/knowledge/prefix_cache_estimate.h"

#include <boost/test/unit_test.hpp>

using namespace marjoramloom;
using namespace std::chrono_literals;

namespace {

const auto placement = prompt_placement(prefill_rate());

auto chooseIndex(const std::vector<engine_candidate> &candidates, std::uint32_t tokens) -> std::size_t
{
    const auto choice = placement.choose(candidates, tokens);
    BOOST_REQUIRE(choice.has_value());
    return choice->index;
}

} // namespace

BOOST_AUTO_TEST_SUITE(placement_test)

BOOST_AUTO_TEST_CASE(a_prompt_goes_to_the_engine_that_caches_its_prefix_unless_its_queue_is_too_long)
{
    const auto caching = engine_candidate{ .slots = 8, .cachedTokens = 6'000 };
    const auto idle = engine_candidate{ .slots = 8 };
    auto loaded = caching;
    loaded.pendingPrefillTokens = 4'000;
    BOOST_TEST(chooseIndex({ idle, loaded }, 9'000) == 1U);
    loaded.pendingPrefillTokens = 20'000;
    BOOST_TEST(chooseIndex({ idle, loaded }, 9'000) == 0U);
}

BOOST_AUTO_TEST_CASE(the_home_engine_wins_among_equals_in_any_order_of_the_candidates)
{
    const auto left = engine_candidate{ .homeScore = prompt_placement::homeScore("left", 7), .slots = 8 };
    const auto right = engine_candidate{ .homeScore = prompt_placement::homeScore("right", 7), .slots = 8 };
    const auto leftIsHome = left.homeScore > right.homeScore;
    BOOST_TEST(chooseIndex({ left, right }, 2'000) == (leftIsHome ? 0U : 1U));
    BOOST_TEST(chooseIndex({ right, left }, 2'000) == (leftIsHome ? 1U : 0U));
}

// Guards against bursts that copy every session's shared prefix to engines whose memory cannot hold it.
BOOST_AUTO_TEST_CASE(where_memory_is_short_a_prompt_waits_longer_for_the_engine_that_caches_its_prefix)
{
    const auto caching = engine_candidate{ .slots = 8, .pendingPrefillTokens = 20'000, .cachedTokens = 6'000 };
    const auto candidates = std::vector{ engine_candidate{ .slots = 8 }, caching };
    const auto chosen = [&](double memoryShortage) {
        return placement.choose(candidates, 9'000, { .sharedTokens = 6'000, .memoryShortage = memoryShortage })->index;
    };
    BOOST_TEST(chosen(0) == 0U);
    BOOST_TEST(chosen(1) == 1U);
}

// Guards against overload that feeds itself: prompts of which the prefix is prefilled again take three times the time.
BOOST_AUTO_TEST_CASE(where_memory_is_short_a_copy_of_a_cached_prefix_counts_as_a_wait)
{
    auto caching = engine_candidate{ .slots = 8, .pendingPrefillTokens = 90'000, .cachedTokens = 6'000 };
    const auto delay = [&](double memoryShortage) {
        const auto candidates = std::vector{ engine_candidate{ .slots = 8 }, caching };
        const auto choice =
            placement.choose(candidates, 9'000, { .sharedTokens = 6'000, .memoryShortage = memoryShortage });
        BOOST_REQUIRE(choice.has_value());
        BOOST_TEST(choice->index == 0U);
        return choice->delayToOthers;
    };
    BOOST_TEST((delay(0) == duration::zero()));
    BOOST_TEST((delay(1) > 500ms));
    caching.cachedTokens = 0; // The first read of a prefix is no copy.
    BOOST_TEST((delay(1) == duration::zero()));
}

BOOST_AUTO_TEST_CASE(full_engines_are_excluded_and_failing_ones_come_last)
{
    const auto full = engine_candidate{ .running = 8, .slots = 8, .cachedTokens = 2'000 };
    const auto failing = engine_candidate{ .slots = 8, .cachedTokens = 2'000, .avoided = true };
    const auto busy = engine_candidate{ .running = 4, .slots = 8, .pendingPrefillTokens = 20'000 };
    BOOST_TEST(chooseIndex({ full, failing, busy }, 2'000) == 2U);
    BOOST_TEST(chooseIndex({ full, failing }, 2'000) == 1U);
    BOOST_TEST(!placement.choose(std::vector{ full }, 2'000).has_value());
}

BOOST_AUTO_TEST_CASE(in_a_crest_the_longest_streams_still_end_before_their_deadlines)
{
    constexpr auto deadline = 12.0;
    constexpr auto ordinaryTokens = 290.0;
    constexpr auto longTokens = 1'160.0;
    constexpr auto tick = 0.01;
    // Each request lengthens the steps of its engine, which produce a token for every request.
    const auto stepSeconds = [](std::size_t running) {
        return 0.0034 + 0.00013 * static_cast<double>(running);
    };
    struct stream
    {
        double tokensLeft;
        double age = 0;
        bool isLong;
    };
    auto running = std::vector<stream>();
    auto longEnded = 0;
    auto longMissed = 0;
    for (auto arrival = 0; arrival < 6'000; ++arrival) {
        // More prompts arrive than the engine can take; every tenth asks for a long answer.
        const auto isLong = arrival % 10 == 0;
        const auto engine = engine_candidate{ .running = static_cast<std::uint32_t>(running.size()), .slots = 64 };
        if (placement.choose(std::vector{ engine }, 800)) {
            running.push_back({ .tokensLeft = isLong ? longTokens : ordinaryTokens, .isLong = isLong });
        }
        const auto produced = tick / stepSeconds(running.size());
        for (auto &each : running) {
            each.tokensLeft -= produced;
            each.age += tick;
        }
        std::erase_if(running, [&](const stream &each) {
            longEnded += each.isLong && each.tokensLeft <= 0 ? 1 : 0;
            longMissed += each.isLong && each.tokensLeft > 0 && each.age >= deadline ? 1 : 0;
            return each.tokensLeft <= 0 || each.age >= deadline;
        });
    }
    BOOST_TEST(longEnded > 0);
    BOOST_TEST(longMissed == 0);
}

BOOST_AUTO_TEST_CASE(all_slots_of_an_engine_with_few_are_used)
{
    for (const auto slots : { 1U, 8U, 16U }) {
        BOOST_TEST(
            placement.choose(std::vector{ engine_candidate{ .running = slots - 1, .slots = slots } }, 800).has_value());
        BOOST_TEST(
            !placement.choose(std::vector{ engine_candidate{ .running = slots, .slots = slots } }, 800).has_value());
    }
}

BOOST_AUTO_TEST_CASE(blocks_are_evicted_in_least_recently_used_order)
{
    auto cache = prefix_cache_estimate();
    cache.setCapacity(10'000);
    const auto makePrompt = [](std::vector<prefix_block> blocks) {
        auto prompt = prompt_summary();
        prompt.parts = std::move(blocks);
        return prompt;
    };
    cache.recordPrefill({ { 1, 2'000 }, { 2, 3'000 } }, 1'000);
    BOOST_TEST(cache.cachedTokens(makePrompt({ { 1, 2'000 }, { 2, 3'000 }, { 9, 500 } })) == 5'000U);
    // A cached block after one that is not cached does not count.
    BOOST_TEST(cache.cachedTokens(makePrompt({ { 3, 2'000 }, { 2, 3'000 } })) == 0U);
    cache.recordPrefill({ { 1, 2'000 }, { 4, 3'000 } }, 2'000);
    BOOST_TEST(cache.cachedTokens(makePrompt({ { 1, 2'000 }, { 2, 3'000 } })) == 2'000U);
    BOOST_TEST(cache.cachedTokens(makePrompt({ { 1, 2'000 }, { 4, 3'000 } })) == 5'000U);
}

BOOST_AUTO_TEST_SUITE_END()
