#pragma once

#include "event_writer.h"
#include "generation.h"
#include "http_server.h"
#include "prefix_cache.h"

#include <deque>
#include <unordered_map>

namespace standins {

/// Settings of an engine stand-in.
struct engine_options
{
    std::string name = "engine";
    std::string dataCentre;
    std::uint32_t slots = 8; ///< Requests that run at once; further ones are queued in order of arrival.
    double firstTokenMs = 20;
    double tokenMs = 2;
    double prefillMsPerToken = 0.05; ///< Time for each prompt token that is not cached.
    std::uint64_t cacheTokens = 100'000; ///< Capacity of the prefix cache.
    std::int64_t loadLagMs = 1'000; ///< Age of the load that is reported.
    bool checksFencing = false; ///< Whether orders with an outdated fencing number are refused.
    std::uint64_t seed = 1; ///< Seed of the random variation of the token delay.
};

/// Simulates an engine (a backend server that runs a language model): completions with resumable event streams, load
/// reports, and orders with fencing numbers. Not thread safe.
class engine_standin
{
public:
    engine_standin(boost::asio::io_context &context, standin_context &shared, engine_options options);

    auto handle(http_exchange &exchange) -> void_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using clock = std::chrono::steady_clock;

    /// Load from a point in time on.
    struct load_state
    {
        clock::time_point since;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    struct queued_generation
    {
        std::shared_ptr<generation> work;
        execution_entry entry;
    };

    auto complete(http_exchange &exchange) -> void_awaitable;
    auto admit(const execution_entry &entry, std::shared_ptr<generation> work) -> void;
    auto startQueued() -> void;
    auto run(std::shared_ptr<generation> work, execution_entry entry) -> void_awaitable;
    auto tokenDelayMs() -> double;
    auto pauseFor(double milliseconds) -> void_awaitable;
    auto recordLoad() -> void;
    auto loadReport() const -> http_reply;
    /// Continues a stream after the event in the request's Last-Event-ID.
    auto resume(http_exchange &exchange) -> void_awaitable;
    auto cancel(const std::string &id) -> http_reply;
    auto executeOrder(const http_exchange &exchange) -> http_reply;
    auto find(const std::string &id) const -> std::shared_ptr<generation>;

    boost::asio::io_context &m_context;
    standin_context &m_shared;
    engine_options m_options;
    prefix_cache m_cache;
    event_writer m_writer;
    std::unordered_map<std::string, std::shared_ptr<generation>> m_generations;
    std::deque<std::string> m_generationOrder; ///< Oldest first.
    std::deque<queued_generation> m_queue;
    std::uint32_t m_running = 0;
    std::deque<load_state> m_loads; ///< History of the load, oldest first.
    std::uint64_t m_fence = 0; ///< Highest fencing number received.
    std::uint64_t m_drawCount = 0;
};

} // namespace standins
