#include "marjoramloom/gateway/server_loads.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

auto server_loads::runId(const listed_server &server) -> std::uint64_t
{
    return hash64(server.id, static_cast<std::uint64_t>(server.startedMs));
}

auto server_loads::at(const listed_server &server) -> server_load &
{
    return m_loads[runId(server)];
}

auto server_loads::find(std::uint64_t id) -> server_load *
{
    const auto found = m_loads.find(id);
    return found == m_loads.end() ? nullptr : &found->second;
}

auto server_loads::all() const -> const std::unordered_map<std::uint64_t, server_load> &
{
    return m_loads;
}

auto server_loads::forget(const listed_server &server) -> void
{
    const auto found = m_loads.find(runId(server));
    if (found != m_loads.end() && found->second.running == 0) {
        m_loads.erase(found);
    }
}

auto server_loads::noteFailure(const listed_server &server, time_point now) -> void
{
    avoid(at(server), now);
}

auto server_loads::avoid(server_load &load, time_point now) -> void
{
    if (now - load.avoidedUntil > AVOID_LIMIT) {
        load.failuresInRow = 0; // Nothing was heard of it for long.
    }
    const auto doublings = std::min<std::uint32_t>(load.failuresInRow, 4);
    load.avoidedUntil = now + std::min<duration>(AVOID_BASE * (1U << doublings), AVOID_LIMIT);
    ++load.failuresInRow;
}

auto server_loads::noteSuspicion(std::uint64_t id, std::uint64_t router, time_point now) -> void
{
    auto *load = find(id);
    if (load == nullptr) {
        return; // A server that this router does not use.
    }
    const auto isConfirmed = load->suspectedBy != router && now - load->suspectedAt <= SUSPICION_TIME;
    load->suspectedBy = router;
    load->suspectedAt = now;
    if (isConfirmed && !load->isAvoided(now)) {
        avoid(*load, now);
    }
}

auto server_loads::noteSuccess(const listed_server &server) -> void
{
    auto &load = at(server);
    load.failuresInRow = 0;
    load.avoidedUntil = {};
}

} // namespace marjoramloom
