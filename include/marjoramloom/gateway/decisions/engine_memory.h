#pragma once

#include "marjoramloom/gateway/decisions/memory_grants.h"
#include "marjoramloom/gateway/decisions/memory_limit.h"
#include "marjoramloom/gateway/knowledge/gateway_state.h"

namespace marjoramloom {

/// The KV memory of a service's engines, as a router sees it for the placement of one prompt.
///
/// The memory that an engine's requests commit is the sum of what this router's own requests there commit, what the
/// other routers report, and what this router granted as dispatcher. Without the setting, every prompt fits. Not thread
/// safe: refers to the router's state.
class engine_memory
{
public:
    /// Preconditions: the referenced objects outlive the object; the service is one of engines.
    engine_memory(gateway_state &state, const routed_service &service, const prompt_summary &prompt, memory_scope scope,
                  time_point now);

    /// Whether the prompt fits into the free memory of the engine \p server with the incarnation \p id, where requests
    /// commit \p ungrantedTokens beside those that this router granted.
    [[nodiscard]] auto fits(const listed_server &server, std::uint64_t id, std::uint64_t ungrantedTokens) const -> bool;

    /// Whether \p prompt and its answer exceed the memory of every engine of \p service, where memory is limited.
    [[nodiscard]] static auto exceedsEveryEngine(const gateway_settings &settings, const routed_service &service,
                                                 const prompt_summary &prompt) -> bool;

    /// Whether fits() found an engine without room.
    [[nodiscard]] auto anyRejected() const -> bool;

    /// What prefilling the prompt's shared prefix again costs the other prompts.
    [[nodiscard]] auto rereadCost() const -> reread_cost;

    /// Fraction of the memory of \p server that is committed with the prompt, as far as this router knows; 0 if memory
    /// is not limited.
    [[nodiscard]] auto useWith(const listed_server &server) const -> double;

private:
    [[nodiscard]] auto limitAt(const listed_server &server) const -> std::uint64_t;

    gateway_state &m_state;
    std::uint64_t m_kvTokens;
    memory_scope m_scope;
    bool m_limited; ///< Placements must not exceed the memory.
    memory_commitment m_commitment;
    std::uint64_t m_fullTokens = 0; ///< Of m_commitment.
    std::vector<std::uint64_t> m_others; ///< The other routers, if this one decides alone.
    std::uint64_t m_dispatcherLimit = 0;
    double m_shortage = 0;
    mutable bool m_anyRejected = false;
};

} // namespace marjoramloom
