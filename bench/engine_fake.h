#pragma once

#include "event_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace marjoramloom::bench {

/// Capacity and speed of an engine.
struct engine_settings
{
    std::uint32_t slots = 12;
    double stepSeconds = 0.02; ///< Time between tokens of a request that runs alone.
    double stepGrowthPerRequest = 0.01; ///< Fraction by which each further running request lengthens the step.
    double prefillStepFactor = 1.25; ///< Factor of the step while any prefill runs.
    double prefillTokensPerSecond = 10'000; ///< Shared by all prefills that run.
    double cacheCapacityTokens = 80'000; ///< Capacity of the prefix cache.
    double callSeconds = 0; ///< Not 0: a plain server whose calls take this long, without a model.
};

/// A request as an engine receives it.
struct engine_request
{
    std::uint64_t key = 0;
    std::uint64_t contextHash = 0; ///< Of the prompt with all generated tokens; 0 for none.
    std::uint64_t prefixHash = 0; ///< Of the prompt prefix shared with other requests; 0 for none.
    double prefixTokens = 0;
    double promptTokens = 0; ///< Including the prefix.
    double outputTokens = 1;
};

/// Callbacks for the progress of a request on an engine.
struct engine_listener
{
    std::function<void(std::uint64_t key)> started;
    std::function<void(std::uint64_t key, double cachedTokens)> firstToken;
    std::function<void(std::uint64_t key)> finished;
};

/// Simulates a model engine with continuous batching: all running requests generate tokens at the same rate, prefills
/// share one rate, prompt prefixes are kept in an LRU cache, and requests start first in, first out. Not thread safe.
class engine_fake
{
public:
    /// Precondition: \p queue outlives the engine.
    engine_fake(event_queue &queue, engine_settings settings, engine_listener listener);

    /// Accepts a request, which waits in the engine while all slots are occupied.
    auto admit(const engine_request &request) -> void;

    /// Removes a request. Returns the number of tokens that it generated on this engine.
    auto cancel(std::uint64_t key) -> double;

    /// Multiplies the duration of all work from now on; 1 for normal speed.
    auto setSlowdown(double factor) -> void;

    /// Tokens that a request has generated on this engine so far.
    [[nodiscard]] auto generatedTokens(std::uint64_t key) -> double;

    /// Seconds between tokens at the current load.
    [[nodiscard]] auto stepSeconds() const -> double;

    [[nodiscard]] auto runningCount() const -> std::uint32_t;
    [[nodiscard]] auto waitingCount() const -> std::size_t;
    [[nodiscard]] auto settings() const -> const engine_settings &;

private:
    /// Progress of requests that advance at the same rate: each is done when the common progress reaches its target.
    struct shared_progress
    {
        double reached = 0;
        std::multimap<double, std::uint64_t> targets;
    };

    struct running_request
    {
        engine_request request;
        double cachedPromptTokens = 0;
        bool isDecoding = false;
        double target = 0; ///< In m_prefill or m_decode, in tokens.
    };

    struct cached_prefix
    {
        std::uint64_t hash = 0;
        double tokens = 0;
    };

    auto startWaiting() -> void;
    auto startRequest(const engine_request &request) -> void;
    auto advance() -> void;
    auto scheduleNextEvent() -> void;
    auto onTimer() -> void;
    auto beginDecode(std::uint64_t key) -> void;
    auto finish(std::uint64_t key) -> void;
    auto removeRunning(std::uint64_t key) -> running_request;
    auto prefillProgressRate() const -> double;
    auto decodeProgressRate() const -> double;
    auto cachedTokens(const engine_request &request) -> double;
    auto useCacheEntry(std::uint64_t hash, double tokens) -> bool;
    auto secondsToNextEvent() const -> std::optional<double>;

    event_queue &m_queue;
    engine_settings m_settings;
    engine_listener m_listener;
    double m_slowdown = 1;
    time_point m_advancedAt;
    shared_progress m_prefill; ///< Prompt tokens.
    shared_progress m_decode; ///< Generated tokens.
    std::unordered_map<std::uint64_t, running_request> m_running;
    std::deque<engine_request> m_waiting;
    std::list<cached_prefix> m_cache; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> m_cacheIndex;
    double m_usedCacheTokens = 0;
    std::optional<event_queue::event_key> m_nextEvent;
};

} // namespace marjoramloom::bench
