#include "marjoramloom/gateway/knowledge/server_loads.h"

#include "marjoramloom/core/hash.h"

#include <algorithm>

namespace marjoramloom {

auto server_loads::incarnationId(const listed_server &server) -> std::uint64_t
{
    return hash64(server.id, static_cast<std::uint64_t>(server.startUnixMs));
}

auto server_loads::at(const listed_server &server) -> server_load &
{
    return m_loads[incarnationId(server)];
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
    const auto found = m_loads.find(incarnationId(server));
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
    if (now - load.avoidedUntil > MAX_AVOID_TIME) {
        load.consecutiveFailures = 0; // The last failure was long ago.
    }
    const auto doublings = std::min<std::uint32_t>(load.consecutiveFailures, 4);
    load.avoidedUntil = now + std::min<duration>(INITIAL_AVOID_TIME * (1U << doublings), MAX_AVOID_TIME);
    ++load.consecutiveFailures;
}

auto server_loads::noteSuspicion(std::uint64_t id, std::uint64_t router, time_point now) -> void
{
    auto *load = find(id);
    if (load == nullptr) {
        return; // This router has not used the server.
    }
    const auto isConfirmed = load->suspectedBy != router && now - load->suspectedAt <= SUSPICION_WINDOW;
    load->suspectedBy = router;
    load->suspectedAt = now;
    if (isConfirmed && !load->isAvoided(now)) {
        avoid(*load, now);
    }
}

auto server_loads::noteSuccess(const listed_server &server) -> void
{
    auto &load = at(server);
    load.consecutiveFailures = 0;
    load.avoidedUntil = {};
}

} // namespace marjoramloom
