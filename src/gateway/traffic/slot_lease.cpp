#include "marjoramloom/gateway/traffic/slot_lease.h"

#include <algorithm>

namespace marjoramloom {

held_grants::held_grants(send_release send)
    : m_send(std::move(send))
{
}

auto held_grants::add(std::uint64_t router, std::uint64_t dispatcher, std::uint64_t grant) -> void
{
    if (m_grants.size() >= MAX_DISPATCHERS) {
        std::erase_if(m_grants, [](const auto &entry) { return entry.second.held.empty(); });
    }
    auto &grants = m_grants[dispatcher];
    grants.router = router;
    grants.last = std::max(grants.last, grant);
    grants.held.insert(grant);
}

auto held_grants::release(std::uint64_t router, const slot_release &release) -> void
{
    const auto found = m_grants.find(release.dispatcher);
    if (found != m_grants.end()) {
        found->second.held.erase(release.grant);
    }
    if (m_send) {
        m_send(router, release);
    }
}

auto held_grants::all() const -> const std::unordered_map<std::uint64_t, dispatcher_grants> &
{
    return m_grants;
}

slot_lease::slot_lease(std::weak_ptr<held_grants> grants, std::uint64_t router, std::uint64_t dispatcher,
                       std::uint64_t grant)
    : m_grants(std::move(grants))
    , m_router(router)
    , m_release{ .dispatcher = dispatcher, .grant = grant, .latency = {}, .serverFull = false }
{
    if (const auto held = m_grants.lock()) {
        held->add(router, dispatcher, grant);
    }
}

slot_lease::~slot_lease()
{
    if (const auto held = m_grants.lock()) {
        held->release(m_router, m_release);
    }
}

auto slot_lease::noteServed(duration latency) -> void
{
    m_release.latency = latency;
}

auto slot_lease::noteServerFull() -> void
{
    m_release.serverFull = true;
}

} // namespace marjoramloom
