#pragma once

#include "marjoramloom/gateway/decisions/memory_grants.h"
#include "marjoramloom/gateway/decisions/server_choice.h"
#include "marjoramloom/gateway/knowledge/server_loads.h"

namespace marjoramloom {

/// Counts an attempt in the load of its server for as long as the object lives. Not thread safe.
class load_reservation
{
public:
    /// Precondition: \p loads outlives the object.
    load_reservation(server_loads &loads, const chosen_server &chosen, const prompt_summary &prompt)
        : m_loads(loads)
        , m_server(chosen.server)
        , m_pendingPrefillTokens(chosen.prefillTokens)
        , m_committedTokens(memory_commitment::of(prompt).fullTokens())
    {
        auto &load = m_loads.at(*m_server);
        ++load.running;
        load.pendingPrefillTokens += m_pendingPrefillTokens;
        load.committedTokens += m_committedTokens;
    }
    ~load_reservation()
    {
        notePrefillDone();
        auto &load = m_loads.at(*m_server);
        --load.running;
        load.committedTokens -= m_committedTokens;
    }
    load_reservation(const load_reservation &) = delete;
    auto operator=(const load_reservation &) -> load_reservation & = delete;

    /// The server has finished the prefill of the prompt.
    auto notePrefillDone() -> void
    {
        m_loads.at(*m_server).pendingPrefillTokens -= m_pendingPrefillTokens;
        m_pendingPrefillTokens = 0;
    }

private:
    server_loads &m_loads;
    server_directory::server_ptr m_server;
    std::uint64_t m_pendingPrefillTokens;
    std::uint64_t m_committedTokens; ///< KV memory, until the request ends.
};

} // namespace marjoramloom
