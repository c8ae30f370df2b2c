#pragma once

#include "marjoramloom/gateway/traffic/placement_dispatch.h"
#include "simulated_engine.h"

#include <boost/asio/io_context.hpp>
#include <map>
#include <string>

namespace marjoramloom::bench {

/// One kind of prompts of a placement_sim.
struct prompt_kind
{
    std::string name;
    double perSecond = 0; ///< Over all accounts at their usual load.
    std::uint32_t commonTokens = 0; ///< Of a part that many sessions share.
    std::uint32_t commonParts = 1; ///< Different ones.
    std::uint32_t sessionTokens = 0; ///< Of the part of one session; 0 for prompts without sessions.
    std::uint32_t sessions = 1;
    std::uint32_t ownTokens = 0;
    std::uint32_t outputTokens = 1;
    std::uint32_t statedOutputFactor = 2; ///< The stated limit of the output is that multiple of the output.
    duration objective{}; ///< Of the first event.
    duration deadline{}; ///< Of the last event.
};

/// Load and fleet of a placement_sim: one shard of engines, its dispatcher, and routers that send to it.
struct placement_scenario
{
    std::string name;
    simulated_profile engine;
    std::size_t engines = 40;
    std::size_t routers = 16;
    std::vector<prompt_kind> kinds;
    std::size_t accounts = 30;
    double sessionSkew = 0; ///< Exponent by which the popularity of sessions falls.
    double burst = 1; ///< Factor on all load in 2 s of every 8 s.
    std::size_t crestAccounts = 0; ///< Accounts that send crestFactor times their load from 12 to 18 s.
    double crestFactor = 10;
    std::size_t restarts = 0; ///< Engines that restart at 12 s.
    double decidedAlone = 0.02; ///< Fraction of the requests whose query to the dispatcher is lost.
    duration length = std::chrono::seconds(22);
    bool limitEngineMemory = false; ///< The settings' contracts name `pressure`.
};

/// What callers got for one kind of prompts.
struct kind_result
{
    std::uint32_t offered = 0;
    std::uint32_t inTime = 0; ///< First event within the objective, last within the deadline.
    std::uint32_t late = 0; ///< Served, but not in time.
    std::uint32_t refused = 0; ///< Given up after refusals.
    std::uint32_t lost = 0; ///< At engines that crashed or restarted.
    std::vector<double> firstEventMs;
};

/// Result of a placement_sim. Shared tokens that were prefilled again are counted if their part was in use within the
/// time in which that costs.
struct placement_result
{
    std::map<std::string, kind_result> kinds;
    std::uint64_t sharedTokens = 0;
    std::uint64_t rereadElsewhere = 0; ///< Another engine had the part.
    std::uint64_t rereadEvicted = 0; ///< No engine had it any more.
    std::uint64_t prefilledTokens = 0;
    std::uint32_t crashes = 0;
    double peakUse = 0; ///< Of an engine's memory.
    std::vector<double> accountInTime; ///< Share of each account's requests served in time, from 12 to 18 s.
    std::vector<double> accountOffered; ///< Tokens of each account from 12 to 18 s.
    std::vector<double> accountServed; ///< Tokens served in time.
};

/// Queues at model engines on a manual clock, placed by the routers' own decision classes. Not thread safe.
class placement_sim
{
public:
    placement_sim(placement_scenario scenario, std::uint64_t seed);
    ~placement_sim();
    placement_sim(const placement_sim &) = delete;
    auto operator=(const placement_sim &) -> placement_sim & = delete;

    /// Runs the scenario. Call once.
    auto run() -> placement_result;

private:
    struct router;
    struct call;

    auto scheduleArrival(std::size_t kind) -> void;
    auto arrive(std::size_t kind) -> void;
    auto attempt(const std::shared_ptr<call> &request) -> void;
    auto decideAlone(const std::shared_ptr<call> &request) -> void;
    auto handleRefusal(const std::shared_ptr<call> &request) -> void;
    auto send(const std::shared_ptr<call> &request, const chosen_server &chosen) -> void;
    auto end(const std::shared_ptr<call> &request, bool completed) -> void;
    auto report(std::size_t index) -> void;
    auto loadFactor(std::size_t account) const -> double;
    auto noteRead(std::size_t engine, const prefix_block &block, bool cached) -> void;
    auto uniform() -> double;
    /// Whether a request that arrived at \p arrived counts in the results.
    [[nodiscard]] auto isCounted(time_point arrived) const -> bool;

    placement_scenario m_scenario;
    boost::random::mt19937_64 m_random;
    boost::asio::io_context m_context{ 1 };
    std::vector<std::unique_ptr<router>> m_routers; ///< The first is the dispatcher, to which no callers connect.
    std::vector<std::unique_ptr<simulated_engine>> m_engines;
    std::map<std::uint64_t, std::size_t> m_engineIndexes; ///< By incarnation.
    std::vector<double> m_accountWeights;
    std::vector<double> m_sessionDraw;
    std::unordered_map<std::uint64_t, time_point> m_lastUse; ///< Of each shared block.
    std::uint64_t m_serial = 0;
    placement_result m_result;
    event_queue m_events; ///< Destroyed first, as its actions refer to the routers.
};

} // namespace marjoramloom::bench
