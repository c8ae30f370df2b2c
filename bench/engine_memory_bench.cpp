// Simulates the prompts of docs/design/hard-load.md at one shard of engines, and prints what callers get and which
// shared tokens are prefilled again.

#include "placement_sim.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace marjoramloom::bench {

namespace {

using namespace std::chrono_literals;

/// The fraction of the deployment's 140 engines that the simulated shard has.
constexpr auto shardFraction = 40.0 / 140.0;
constexpr auto answerTokens = 30U; ///< Of long and medium prompts; docs/design/hard-load.md does not state it.

auto riverKinds() -> std::vector<prompt_kind>
{
    return { { .name = "long",
               .perSecond = 720 * shardFraction,
               .commonTokens = 2'520,
               .commonParts = 4,
               .sessionTokens = 3'780,
               .sessions = 845,
               .ownTokens = 2'890,
               .outputTokens = answerTokens,
               .objective = 600ms,
               .deadline = 5s },
             { .name = "medium",
               .perSecond = 993 * shardFraction,
               .commonTokens = 568,
               .commonParts = 12,
               .sessions = 12,
               .ownTokens = 1'800,
               .outputTokens = answerTokens,
               .objective = 500ms,
               .deadline = 3s },
             { .name = "short",
               .perSecond = 326 * shardFraction,
               .commonTokens = 172,
               .commonParts = 12,
               .sessions = 12,
               .ownTokens = 543,
               .outputTokens = 40,
               .objective = 400ms,
               .deadline = 15s } };
}

auto tafelwijzerKinds() -> std::vector<prompt_kind>
{
    auto kinds = riverKinds();
    kinds[0].perSecond = 549 * shardFraction;
    kinds[0].sessions = 363;
    kinds[0].deadline = 6s;
    kinds[1].perSecond = 710 * shardFraction;
    kinds[1].objective = 1'000ms;
    kinds[1].deadline = 4s;
    kinds[2].perSecond = 229 * shardFraction;
    kinds[2].outputTokens = 70;
    kinds[2].objective = 1'000ms;
    return kinds;
}

auto scenarios() -> std::vector<placement_scenario>
{
    auto river = placement_scenario();
    river.name = "river";
    river.kinds = riverKinds();
    auto bursts = river;
    bursts.name = "river_bursts";
    bursts.burst = 2;
    bursts.sessionSkew = 1;
    auto crest = river;
    crest.name = "river_crest";
    crest.crestAccounts = 10;
    auto restarts = river;
    restarts.name = "river_restarts";
    restarts.restarts = 4;
    auto tafelwijzer = river;
    tafelwijzer.name = "tafelwijzer";
    tafelwijzer.kinds = tafelwijzerKinds();
    tafelwijzer.engine.slots = 16;
    tafelwijzer.engine.kvCapacityTokens = 225'485;
    tafelwijzer.engine.prefillTokensPerMs = 42.8;
    tafelwijzer.engine.stepMs = 6.35;
    auto tafelwijzerBursts = tafelwijzer;
    tafelwijzerBursts.name = "tafelwijzer_bursts";
    tafelwijzerBursts.burst = 1.55;
    tafelwijzerBursts.sessionSkew = 1;
    auto longAnswers = river;
    longAnswers.name = "long_answers";
    longAnswers.kinds[0].outputTokens = 60;
    longAnswers.kinds[0].statedOutputFactor = 60;
    longAnswers.kinds[1].statedOutputFactor = 60;
    longAnswers.engine.kvCapacityTokens = 120'000;
    auto pressure = bursts;
    pressure.name = "pressure";
    pressure.engine.kvCapacityTokens = 90'000;
    auto limited = pressure;
    limited.name = "pressure_limited";
    limited.limitEngineMemory = true;
    auto riverLimited = river;
    riverLimited.name = "river_limited";
    riverLimited.limitEngineMemory = true;
    auto tafelwijzerLimited = tafelwijzer;
    tafelwijzerLimited.name = "tafelwijzer_limited";
    tafelwijzerLimited.limitEngineMemory = true;
    auto roomy = river;
    roomy.name = "roomy";
    roomy.engine.slots = 64;
    roomy.engine.kvCapacityTokens = 1'500'000;
    roomy.kinds[0].sessions = 150;
    roomy.kinds[0].perSecond /= 2;
    return { river,       bursts, crest,    restarts, tafelwijzer,  tafelwijzerBursts,
             longAnswers, roomy,  pressure, limited,  riverLimited, tafelwijzerLimited };
}

auto percentile(std::vector<double> values, double fraction) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

auto percent(double part, double whole) -> double
{
    return whole == 0 ? 0 : 100 * part / whole;
}

auto print(const std::string &name, const placement_result &result) -> void
{
    const auto shared = static_cast<double>(result.sharedTokens);
    std::printf("%-19s again %5.1f %% (elsewhere %.1f, evicted %.1f)  crashes %u  peak use %.2f\n", name.c_str(),
                percent(static_cast<double>(result.rereadElsewhere + result.rereadEvicted), shared),
                percent(static_cast<double>(result.rereadElsewhere), shared),
                percent(static_cast<double>(result.rereadEvicted), shared), result.crashes, result.peakUse);
    for (const auto &[kind, each] : result.kinds) {
        std::printf("  %-8s offered %6u  in time %5.1f %%  late %5.1f %%  refused %5.1f %%  lost %u  first event ms "
                    "%.0f / %.0f\n",
                    kind.c_str(), each.offered, percent(each.inTime, each.offered), percent(each.late, each.offered),
                    percent(each.refused, each.offered), each.lost, percentile(each.firstEventMs, 0.5),
                    percentile(each.firstEventMs, 0.95));
    }
}

/// Prints the time that one placement over 40 engines takes with and without the memory limit.
auto printCost() -> void
{
    constexpr auto rounds = 200;
    constexpr auto placements = 200;
    constexpr auto heldPrompts = 600U;
    auto counters = counter_registry();
    auto state = gateway_state(gateway_settings(), { "10.0.0.1:7400", "north", 1 }, counters, 1);
    auto content = route_table_content();
    content.services = { { .name = "pool", .engine = engine_profile{ .slots = 24, .kvCapacityTokens = 266'728 } } };
    state.routes = std::make_shared<const route_table>(std::move(content));
    auto query = placement_query();
    query.service = "pool";
    query.prompt = { .parts = { { 1, 2'520 }, { 2, 3'780 }, { 3, 2'890 } }, .promptTokens = 9'190, .outputTokens = 60 };
    query.objective = 600ms;
    const auto now = system_clock_source().now();
    for (auto index = 0; index < 40; ++index) {
        auto server = listed_server();
        server.id = "engine-" + std::to_string(index);
        server.service = "pool";
        server.slots = 24;
        state.servers.put(server, now);
        for (auto held = 0U; held < heldPrompts / 40; ++held) {
            state.memoryGrants.add(held, server_loads::incarnationId(server), memory_commitment::of(query.prompt), now);
        }
    }
    auto best = std::array{ duration::max(), duration::max() };
    for (auto round = 0; round < 2 * rounds; ++round) {
        state.settings.limitEngineMemory = round % 2 == 1;
        const auto began = system_clock_source().now();
        for (auto index = 0; index < placements; ++index) {
            auto why = last_reason();
            query.prompt.parts[1].id = static_cast<std::uint64_t>(index);
            decideEngine(state, query, now, why);
        }
        auto &least = best.at(static_cast<std::size_t>(round % 2));
        least = std::min(least, system_clock_source().now() - began);
    }
    std::printf("one placement: %.2f us without the limit, %.2f us with it, ratio %.3f\n",
                toSeconds(best[0]) * 1e6 / placements, toSeconds(best[1]) * 1e6 / placements,
                toSeconds(best[1]) / toSeconds(best[0]));
}

/// Prints the share that each group of accounts got in a crest.
auto printAccounts(const placement_scenario &scenario, const placement_result &result) -> void
{
    if (scenario.crestAccounts == 0) {
        return;
    }
    for (const auto isCrest : { true, false }) {
        auto offered = 0.0;
        auto served = 0.0;
        auto least = 100.0;
        for (auto account = std::size_t(0); account < scenario.accounts; ++account) {
            if ((account >= 2 && account < 2 + scenario.crestAccounts) == isCrest) {
                offered += result.accountOffered[account];
                served += result.accountServed[account];
                least = std::min(least, percent(result.accountServed[account], result.accountOffered[account]));
            }
        }
        std::printf("  accounts %-9s tokens in time %5.1f %% of %.1f M, least of one account %.1f %%\n",
                    isCrest ? "in crest" : "others", percent(served, offered), offered / 1e6, least);
    }
}

} // namespace

} // namespace marjoramloom::bench

auto main(int argc, char **argv) -> int
{
    using namespace marjoramloom::bench;
    auto seed = std::uint64_t(1);
    auto only = std::string();
    if (argc == 2 && std::strcmp(argv[1], "--cost") == 0) {
        printCost();
        return 0;
    }
    for (auto index = 1; index + 1 < argc; index += 2) {
        if (std::strcmp(argv[index], "--seed") == 0) {
            seed = std::strtoull(argv[index + 1], nullptr, 10);
        } else if (std::strcmp(argv[index], "--only") == 0) {
            only = argv[index + 1];
        }
    }
    for (const auto &scenario : scenarios()) {
        if (only.empty() || scenario.name == only) {
            const auto result = placement_sim(scenario, seed).run();
            print(scenario.name, result);
            printAccounts(scenario, result);
        }
    }
    return 0;
}
