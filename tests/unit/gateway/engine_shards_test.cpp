#include "marjoramloom/gateway/decisions/engine_shards.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace marjoramloom;

namespace {

auto makeEngines(int count) -> std::vector<server_directory::server_ptr>
{
    auto engines = std::vector<server_directory::server_ptr>();
    for (auto number = 0; number < count; ++number) {
        auto engine = listed_server();
        engine.id = "engine-" + std::to_string(number);
        engines.push_back(std::make_shared<const listed_server>(std::move(engine)));
    }
    return engines;
}

auto makePrompt(std::uint64_t session, std::uint64_t lastBlock) -> prompt_summary
{
    auto prompt = prompt_summary();
    prompt.parts = { { 1, 2'500 }, { session, 3'700 }, { lastBlock, 2'800 } };
    prompt.promptTokens = 9'000;
    return prompt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_shards_test)

BOOST_AUTO_TEST_CASE(shard_count_is_a_power_of_two_and_one_for_few_engines)
{
    BOOST_TEST(shardCount(0) == 1U);
    BOOST_TEST(shardCount(40) == 1U);
    BOOST_TEST(shardCount(60) == 2U);
    BOOST_TEST(shardCount(140) == 4U);
    BOOST_TEST(shardOf(makeEngines(18), makePrompt(7, 8)).count == 1U);
    BOOST_TEST(shardOf({}, makePrompt(7, 8)).contains("any"));
}

BOOST_AUTO_TEST_CASE(a_session_stays_in_its_shard_and_shards_get_prompts_by_their_size)
{
    const auto engines = makeEngines(140);
    auto sizes = std::map<std::uint32_t, int>();
    for (const auto &engine : engines) {
        for (auto index = std::uint32_t(0); index < 4; ++index) {
            sizes[index] += engine_shard{ index, 4 }.contains(engine->id) ? 1 : 0;
        }
    }
    auto prompts = std::map<std::uint32_t, int>();
    constexpr auto sessions = 2'000;
    for (auto session = std::uint64_t(100); session < 100 + sessions; ++session) {
        const auto shard = shardOf(engines, makePrompt(session, 1));
        BOOST_REQUIRE(shard.count == 4U);
        BOOST_TEST(shardOf(engines, makePrompt(session, 2)).index == shard.index);
        ++prompts[shard.index];
    }
    auto total = 0;
    for (const auto &[index, size] : sizes) {
        total += size;
        // Within 20% of its share of the engines.
        BOOST_TEST(prompts[index] * 140 > sessions * size * 0.8);
        BOOST_TEST(prompts[index] * 140 < sessions * size * 1.2);
    }
    BOOST_TEST(total == 140);
}

BOOST_AUTO_TEST_SUITE_END()
