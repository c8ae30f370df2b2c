#pragma once

#include "event_queue.h"
#include "marjoramloom/gateway/traffic/routed_request.h"

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

namespace marjoramloom::bench {

/// Speed and memory of a simulated_engine.
struct simulated_profile
{
    std::uint32_t slots = 24;
    std::uint64_t kvCapacityTokens = 266'728;
    double prefillTokensPerMs = 69.8;
    double stepMs = 4.39;
    double stepMsPerRequest = 0.13; ///< Added to a step for each request that decodes.
    std::uint32_t chunkTokens = 2'048; ///< Prompt tokens that a step prefills at most.
};

/// One request at a simulated_engine.
struct simulated_job
{
    prompt_summary prompt;
    std::uint32_t outputTokens = 1;
    std::function<void()> onFirstEvent;
    std::function<void(bool completed)> onEnd; ///< Not completed if the engine crashed.
    std::uint32_t prefillLeft = 0;
    std::uint32_t produced = 0;
    bool started = false; ///< Its prefill began: its blocks are in use.
};

/// A model engine on a manual clock: slots, prefill in chunks in order of arrival beside decoding, and KV memory that
/// running requests and the prefix cache share. It crashes, and starts again empty, if the requests that it holds need
/// more than its memory. Not thread safe.
class simulated_engine
{
public:
    using job_ptr = std::shared_ptr<simulated_job>;
    /// Called for each shareable block when the prefill of a prompt begins.
    using read_listener = std::function<void(const prefix_block &block, bool cached)>;

    /// Preconditions: \p events outlives the engine, and so does what \p onRead uses.
    simulated_engine(event_queue &events, simulated_profile profile, read_listener onRead);

    auto submit(const job_ptr &job) -> void;

    /// Ends all requests without completion and empties the memory.
    auto crash() -> void;

    [[nodiscard]] auto holds(std::uint64_t block) const -> bool;
    [[nodiscard]] auto crashes() const -> std::uint32_t;
    /// Largest memory that the requests at the engine needed, as a fraction of its capacity.
    [[nodiscard]] auto peakUse() const -> double;

private:
    struct cached_block
    {
        std::uint64_t id = 0; ///< 0 for tokens that no other prompt shares.
        std::uint32_t tokens = 0;
        std::uint32_t users = 0;
    };
    using lru_list = std::list<cached_block>;

    auto scheduleStep() -> void;
    auto beginStep() -> void;
    auto endStep(const std::vector<job_ptr> &prefilled, const std::vector<job_ptr> &decoded) -> void;
    auto start(simulated_job &job) -> void;
    auto finish(const job_ptr &job) -> void;
    auto evict() -> void;
    /// Tokens of the requests at the engine, those that wait for a slot included; shared blocks count once.
    [[nodiscard]] auto heldTokens() const -> std::uint64_t;

    event_queue &m_events;
    simulated_profile m_profile;
    read_listener m_onRead;
    std::deque<job_ptr> m_waiting;
    std::vector<job_ptr> m_running; ///< In order of arrival.
    lru_list m_lru; ///< Most recently used first.
    std::unordered_map<std::uint64_t, lru_list::iterator> m_blocks;
    std::uint64_t m_cachedTokens = 0; ///< Of all blocks in m_lru.
    std::uint64_t m_ownTokens = 0; ///< Of started requests, without their shared blocks.
    std::uint64_t m_generation = 0; ///< Increases with each crash.
    bool m_stepping = false;
    std::uint32_t m_crashes = 0;
    double m_peakUse = 0;
};

} // namespace marjoramloom::bench
