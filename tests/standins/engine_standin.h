#pragma once

#include "event_writer.h"
#include "generation.h"
#include "http_server.h"
#include "prefix_cache.h"

#include <deque>
#include <unordered_map>

namespace standins {

struct engine_options
{
    std::string name = "engine";
    std::string dataCentre;
    std::uint32_t slots = 8; ///< Requests that generate at once; further ones wait inside, in order of arrival.
    double firstTokenMs = 20;
    double tokenMs = 2;
    double prefillMsPerToken = 0.05; ///< Per prompt token that is not cached.
    std::uint64_t cacheTokens = 100'000;
    std::int64_t loadLagMs = 1'000;
    bool checksFencing = false;
    std::uint64_t seed = 1; ///< Of the small variation of the pace.
};

/// Stand-in of a model engine. Not thread safe.
class engine_standin
{
public:
    engine_standin(boost::asio::io_context &context, standin_context &shared, engine_options options);

    auto handle(http_exchange &exchange) -> nothing_awaitable;
    auto control(http_exchange &exchange, const boost::json::value &document) -> http_reply;

private:
    using clock = std::chrono::steady_clock;

    struct load_state
    {
        clock::time_point since;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };

    struct waiting_generation
    {
        std::shared_ptr<generation> work;
        execution_entry entry;
    };

    auto complete(http_exchange &exchange) -> nothing_awaitable;
    auto admit(const execution_entry &entry, std::shared_ptr<generation> work) -> void;
    auto startWaiting() -> void;
    auto run(std::shared_ptr<generation> work, execution_entry entry) -> nothing_awaitable;
    auto tokenDelayMs() -> double;
    auto pauseFor(double milliseconds) -> nothing_awaitable;
    auto noteLoad() -> void;
    auto loadReport() const -> http_reply;
    auto resume(http_exchange &exchange) -> nothing_awaitable;
    auto cancel(const std::string &id) -> http_reply;
    auto takeOrder(const http_exchange &exchange) -> http_reply;
    auto find(const std::string &id) const -> std::shared_ptr<generation>;

    boost::asio::io_context &m_context;
    standin_context &m_shared;
    engine_options m_options;
    prefix_cache m_cache;
    event_writer m_writer;
    std::unordered_map<std::string, std::shared_ptr<generation>> m_generations;
    std::deque<std::string> m_generationOrder; ///< Oldest first.
    std::deque<waiting_generation> m_waiting;
    std::uint32_t m_running = 0;
    std::deque<load_state> m_loads;
    std::uint64_t m_fence = 0;
    std::uint64_t m_draws = 0;
};

} // namespace standins
