#include "marjoramloom/gateway/decisions/engine_memory.h"

#include "marjoramloom/gateway/decisions/memory_shortage.h"

namespace marjoramloom {

engine_memory::engine_memory(gateway_state &state, const routed_service &service, const prompt_summary &prompt,
                             memory_scope scope, time_point now)
    : m_state(state)
    , m_kvTokens(service.engine->kvCapacityTokens)
    , m_scope(scope)
    , m_limited(state.settings.limitEngineMemory && m_kvTokens > 0)
    , m_commitment(memory_commitment::of(prompt))
    , m_fullTokens(m_commitment.fullTokens())
{
    const auto engines = state.servers.usable(service.name).size();
    m_shortage =
        memoryShortage(state.accounts.fleetTokens(now), sliding_window_sum::FADING_LENGTH, m_kvTokens * engines);
    if (m_limited) {
        state.memoryGrants.expire(now);
        const auto routers = static_cast<double>(state.roster.runningRouters());
        const auto known = static_cast<double>(state.fleet.reportingRouters() + 1) / routers;
        m_dispatcherLimit = memory_limit::ofDispatcher(m_kvTokens, known);
        m_others = scope == memory_scope::alone ? state.roster.others() : std::vector<std::uint64_t>();
    }
}

auto engine_memory::fits(const listed_server &server, std::uint64_t id, std::uint64_t ungrantedTokens) const -> bool
{
    if (!m_limited) {
        return true;
    }
    const auto committed = ungrantedTokens + m_state.memoryGrants.committedTokens(id);
    const auto limit = limitAt(server);
    // The blocks in use are looked up only where the prompt would not fit with all of its own.
    const auto isFitting = committed + m_fullTokens <= limit
        || committed + m_state.memoryGrants.additionalTokens(id, m_commitment) <= limit;
    m_anyRejected = m_anyRejected || !isFitting;
    return isFitting;
}

auto engine_memory::exceedsEveryEngine(const gateway_settings &settings, const routed_service &service,
                                       const prompt_summary &prompt) -> bool
{
    return settings.limitEngineMemory && service.engine
        && !memory_limit::canEverFit(service.engine->kvCapacityTokens, memory_commitment::of(prompt).fullTokens());
}

auto engine_memory::anyRejected() const -> bool
{
    return m_anyRejected;
}

auto engine_memory::rereadCost() const -> reread_cost
{
    return { .sharedTokens = static_cast<std::uint32_t>(m_fullTokens - m_commitment.ownTokens),
             .memoryShortage = m_shortage };
}

auto engine_memory::useWith(const listed_server &server) const -> double
{
    if (!m_limited) {
        return 0;
    }
    const auto id = server_loads::incarnationId(server);
    const auto committed = m_state.loads.at(server).committedTokens + m_state.fleet.loadOnEngine(id).committedTokens
        + m_state.memoryGrants.committedTokens(id);
    return static_cast<double>(committed + m_fullTokens) / static_cast<double>(m_kvTokens);
}

auto engine_memory::limitAt(const listed_server &server) const -> std::uint64_t
{
    return m_scope == memory_scope::dispatcher
        ? m_dispatcherLimit
        : memory_limit::ofRouter(m_kvTokens, server.id, m_state.roster.self(), m_others);
}

} // namespace marjoramloom
