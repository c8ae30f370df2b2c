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

struct engine_settings
{
    std::uint32_t slots = 12;
    double stepSeconds = 0.02; ///< Between tokens, for one request alone.
    double crowdSlope = 0.01; ///< The step grows by this part with each further request in the batch.
    double prefillSlowdown = 1.25; ///< Of the steps while any prompt is read.
    double prefillRate = 10'000; ///< Prompt tokens a second.
    double cacheTokens = 80'000; ///< Memory for prompt prefixes.
    double callSeconds = 0; ///< Plain servers: duration of a call; no tokens are generated.
};

/// A request as an engine sees it.
struct engine_work
{
    std::uint64_t key = 0;
    std::uint64_t contextHash = 0; ///< Of its whole prompt.
    std::uint64_t prefixHash = 0; ///< Of the part shared with other requests; 0 for none.
    double prefixTokens = 0;
    double promptTokens = 0; ///< With the prefix.
    double outputTokens = 1;
};

/// What happened to a request on an engine.
struct engine_listener
{
    std::function<void(std::uint64_t key)> started;
    std::function<void(std::uint64_t key, double cachedTokens)> firstToken;
    std::function<void(std::uint64_t key)> finished;
};

/// A model engine: continuous batching with equal pace for all that run, prompts read at a shared rate, a cache of
/// prompt prefixes in limited memory, admission as they come. Not thread safe.
class engine_fake
{
public:
    /// Precondition: \p queue outlives the engine.
    engine_fake(event_queue &queue, engine_settings settings, engine_listener listener);

    /// Takes a request; it waits inside while all slots run.
    auto admit(const engine_work &work) -> void;

    /// Ends a request. Returns the tokens that it generated here.
    auto cancel(std::uint64_t key) -> double;

    /// From now on everything takes \p factor as long.
    auto setSlowdown(double factor) -> void;

    /// Tokens that a request generated here so far.
    [[nodiscard]] auto generated(std::uint64_t key) -> double;

    /// Present seconds between tokens.
    [[nodiscard]] auto stepSeconds() const -> double;

    [[nodiscard]] auto running() const -> std::uint32_t;
    [[nodiscard]] auto waiting() const -> std::size_t;
    [[nodiscard]] auto settings() const -> const engine_settings &;

private:
    /// Work shared at an equal pace: each member ends when the common progress reaches its target.
    struct shared_progress
    {
        double reached = 0;
        std::multimap<double, std::uint64_t> targets;
    };

    struct running_work
    {
        engine_work work;
        double cached = 0;
        bool decoding = false;
        double target = 0; ///< In the progress that it takes part in.
    };

    struct cached_prefix
    {
        std::uint64_t hash = 0;
        double tokens = 0;
    };

    auto startWaiting() -> void;
    auto start(const engine_work &work) -> void;
    auto advance() -> void;
    auto plan() -> void;
    auto wake() -> void;
    auto beginDecode(std::uint64_t key) -> void;
    auto finish(std::uint64_t key) -> void;
    auto leave(std::uint64_t key) -> running_work;
    auto prefillPace() const -> double;
    auto decodePace() const -> double;
    auto cachedTokens(const engine_work &work) -> double;
    auto touch(std::uint64_t hash, double tokens) -> bool;
    auto nextEvent() const -> std::optional<double>;

    event_queue &m_queue;
    engine_settings m_settings;
    engine_listener m_listener;
    double m_slowdown = 1;
    time_point m_advanced;
    shared_progress m_prefill; ///< Prompt tokens.
    shared_progress m_decode; ///< Generated tokens.
    std::unordered_map<std::uint64_t, running_work> m_running;
    std::deque<engine_work> m_waiting;
    std::list<cached_prefix> m_cache; ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> m_cacheIndex;
    double m_cacheHeld = 0;
    std::optional<event_queue::event_key> m_planned;
};

} // namespace marjoramloom::bench
