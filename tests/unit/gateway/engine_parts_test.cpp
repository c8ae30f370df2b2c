#include "marjoramloom/gateway/engine_parts.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace marjoramloom;

namespace {

auto enginesOf(int count) -> std::vector<server_directory::server_ptr>
{
    auto engines = std::vector<server_directory::server_ptr>();
    for (auto number = 0; number < count; ++number) {
        auto engine = listed_server();
        engine.id = "engine-" + std::to_string(number);
        engines.push_back(std::make_shared<const listed_server>(std::move(engine)));
    }
    return engines;
}

auto promptOf(std::uint64_t session, std::uint64_t own) -> prompt_outline
{
    auto prompt = prompt_outline();
    prompt.parts = { { 1, 2'500 }, { session, 3'700 }, { own, 2'800 } };
    prompt.promptTokens = 9'000;
    return prompt;
}

} // namespace

BOOST_AUTO_TEST_SUITE(engine_parts_test)

BOOST_AUTO_TEST_CASE(few_engines_are_one_part)
{
    BOOST_TEST(partCount(0) == 1U);
    BOOST_TEST(partCount(40) == 1U);
    BOOST_TEST(partCount(60) == 2U);
    BOOST_TEST(partCount(140) == 4U);
    BOOST_TEST(partOf(enginesOf(18), promptOf(7, 8)).count == 1U);
    BOOST_TEST(partOf({}, promptOf(7, 8)).holds("any"));
}

BOOST_AUTO_TEST_CASE(a_session_stays_in_its_part_and_parts_get_prompts_by_their_size)
{
    const auto engines = enginesOf(140);
    auto sizes = std::map<std::uint32_t, int>();
    for (const auto &engine : engines) {
        for (auto index = std::uint32_t(0); index < 4; ++index) {
            sizes[index] += engine_part{ index, 4 }.holds(engine->id) ? 1 : 0;
        }
    }
    auto prompts = std::map<std::uint32_t, int>();
    constexpr auto sessions = 2'000;
    for (auto session = std::uint64_t(100); session < 100 + sessions; ++session) {
        const auto part = partOf(engines, promptOf(session, 1));
        BOOST_REQUIRE(part.count == 4U);
        BOOST_TEST(partOf(engines, promptOf(session, 2)).index == part.index);
        ++prompts[part.index];
    }
    auto total = 0;
    for (const auto &[index, size] : sizes) {
        total += size;
        // Within a fifth of its share of the engines.
        BOOST_TEST(prompts[index] * 140 > sessions * size * 0.8);
        BOOST_TEST(prompts[index] * 140 < sessions * size * 1.2);
    }
    BOOST_TEST(total == 140);
}

BOOST_AUTO_TEST_SUITE_END()
