#pragma once

#include "marjoramloom/gateway/traffic/placement_dispatch.h"

#include <boost/asio/io_context.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace marjoramloom {

/// A kind of prompt, of which nothing is cached, and its latency objective.
struct simulated_prompt
{
    std::uint32_t tokens = 0;
    duration objective{};
};

/// What an account asks for.
struct simulated_account
{
    std::uint64_t id = 0;
    double tokensPerSecond = 0; ///< Of first attempts, from \p from to \p until.
    std::vector<simulated_prompt> prompts; ///< Drawn with equal probability.
    std::size_t routers = 0; ///< Number of routers that the account's requests come through; 0 for all.
    int retries = 2; ///< Times that a caller repeats a refused request.
    double from = 0; ///< In seconds of the simulation.
    double until = 1e9;
};

/// Several dispatchers, each in front of its own shard of the engines, and the routers that ask them.
///
/// All decisions are those of placement_dispatch. What a dispatcher knows of loads and accounts is what it placed
/// itself and what the routers reported, some time ago. Callers repeat refused requests after the Retry-After time.
class admission_simulation
{
public:
    static constexpr std::size_t SHARDS = 4;
    static constexpr std::size_t ENGINES_PER_SHARD = 8;
    static constexpr std::size_t ROUTERS = 24;
    static constexpr std::uint64_t TOKENS_PER_MS = 50;
    /// Tokens that all engines prefill in a second.
    static constexpr double CAPACITY = SHARDS * ENGINES_PER_SHARD * TOKENS_PER_MS * 1'000;

    explicit admission_simulation(std::uint64_t seed);

    /// Simulates \p seconds with the requests of \p accounts.
    auto run(const std::vector<simulated_account> &accounts, std::size_t seconds) -> void;

    /// The accounts that were refused in each of six seconds from any second in [\p first, \p last - 6] on, and got
    /// less than half of what they asked for, or of what the account that got most did, whichever is less, second by
    /// second, less three of the largest prompts. These are the terms of the users' rule.
    [[nodiscard]] auto accountsBelowHalf(std::size_t first, std::size_t last) const -> std::set<std::uint64_t>;

    /// Tokens of \p account that were placed in the seconds [\p first, \p last).
    [[nodiscard]] auto placed(std::uint64_t account, std::size_t first, std::size_t last) const -> std::uint64_t;

    /// Fraction of the engines' capacity that was placed in these seconds.
    [[nodiscard]] auto engineUse(std::size_t first, std::size_t last) const -> double;

private:
    struct account_second
    {
        std::uint64_t asked = 0;
        std::uint64_t placed = 0;
        bool refused = false;
    };
    struct queued_prompt
    {
        std::size_t router = 0;
        std::uint32_t tokens = 0;
        std::uint32_t left = 0;
    };
    struct engine
    {
        std::uint64_t incarnation = 0;
        std::deque<queued_prompt> prompts;
    };
    struct shard
    {
        explicit shard(std::uint64_t seed);

        boost::asio::io_context context;
        counter_registry counters;
        gateway_state state;
        placement_dispatch dispatch;
        std::vector<engine> engines;
    };
    struct router
    {
        fleet_loads none;
        account_usage usage{ none };
        std::vector<std::map<std::uint64_t, engine_load>> loads{ SHARDS }; ///< By engine.
        std::vector<std::uint64_t> heard = std::vector<std::uint64_t>(SHARDS); ///< Last placement of each dispatcher.
        std::uint64_t sequence = 0;
    };
    struct request
    {
        std::size_t account = 0; ///< Index.
        std::size_t router = 0;
        std::size_t shard = 0;
        simulated_prompt prompt;
        int retriesLeft = 0;
    };
    struct report
    {
        std::size_t router = 0;
        std::vector<load_snapshot> snapshots; ///< By shard.
        std::vector<std::uint64_t> heard;
    };

    auto draw(double low, double high) -> double;
    auto drawRequest(const std::vector<simulated_account> &accounts, std::size_t account) -> request;
    auto prefill() -> void;
    auto exchangeReports(std::size_t millisecond) -> void;
    auto send(const std::vector<simulated_account> &accounts, const request &sent, std::size_t millisecond) -> void;

    time_point m_start{ std::chrono::seconds(1'700'000'000) };
    time_point m_now = m_start;
    boost::random::mt19937_64 m_random;
    std::vector<std::unique_ptr<shard>> m_shards;
    std::vector<std::unique_ptr<router>> m_routers;
    std::multimap<std::size_t, request> m_returning; ///< By the millisecond of the next attempt.
    std::multimap<std::size_t, report> m_reports; ///< By the millisecond of their arrival.
    std::vector<std::map<std::uint64_t, account_second>> m_seconds;
    std::uint32_t m_largestPrompt = 0;
    std::uint64_t m_number = 0;
};

} // namespace marjoramloom
