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
    auto &load = at(server);
    const auto doublings = std::min<std::uint32_t>(load.failuresInRow, 4);
    load.avoidedUntil = now + std::min<duration>(AVOID_BASE * (1U << doublings), AVOID_LIMIT);
    ++load.failuresInRow;
}

auto server_loads::noteSuccess(const listed_server &server) -> void
{
    auto &load = at(server);
    load.failuresInRow = 0;
    load.avoidedUntil = {};
}

} // namespace marjoramloom
