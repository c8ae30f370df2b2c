#include "marjoramloom/router/memory_budget.h"

#include "marjoramloom/core/hash.h"
#include "marjoramloom/core/log.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <utility>

namespace marjoramloom {

namespace {

/// Keeps names of accounts apart from addresses.
constexpr std::uint64_t accountSeed = 1;
constexpr std::size_t bytesPerMegabyte = std::size_t(1) << 20U;

/// Address of the client without its port.
auto hostOf(std::string_view peer) -> std::string_view
{
    return peer.substr(0, peer.rfind(':'));
}

} // namespace

memory_budget::memory_budget(std::size_t limitBytes, counter_registry &counters)
    : m_ledger(limitBytes)
    , m_evictions(counters.at("marjoramloom_memory_evictions_total"))
    , m_refusals(counters.at("marjoramloom_memory_refusals_total"))
{
    counters.setGauge("marjoramloom_memory_held_bytes", "", [this] { return static_cast<double>(m_ledger.used()); });
    counters.setGauge("marjoramloom_memory_limit_bytes", "", [this] { return static_cast<double>(m_ledger.limit()); });
}

auto memory_budget::setLimit(std::size_t limitBytes) -> void
{
    m_ledger.setLimit(limitBytes);
}

auto memory_budget::limitFor(std::uint32_t memoryMegabytes) -> std::size_t
{
    const auto total = (memoryMegabytes > 0 ? memoryMegabytes : DEFAULT_MEGABYTES) * bytesPerMegabyte;
    return total - std::min(total / 2, MAX_RESERVE_BYTES);
}

/// Sets the bytes of \p asking, if necessary at the cost of others. Returns false if there is no room now: memory that
/// others release later than at once is left to the next that asks.
auto memory_budget::grow(connection_memory &asking, std::size_t bytes) -> bool
{
    const auto now = system_clock_source().now();
    auto verdict = m_ledger.resize(*asking.m_holder, bytes, now);
    if (!verdict.victims.empty()) {
        for (const auto *holder : verdict.victims) {
            auto &victim = *m_connections.at(holder);
            m_evictions.add();
            log_line(log_level::warning, "memory_eviction")
                .with("what", victim.m_what)
                .with("peer", victim.m_peer)
                .with("bytes", holder->bytes())
                .with("stalled_ms", toSeconds(now - holder->lastProgress()) * 1e3)
                .with("held", m_ledger.used())
                .with("limit", m_ledger.limit());
            const auto evict = std::exchange(victim.m_evict, nullptr);
            victim.forbidEviction();
            evict();
        }
        verdict = m_ledger.resize(*asking.m_holder, bytes, now);
    }
    if (!verdict.granted) {
        m_refusals.add();
    }
    return verdict.granted;
}

connection_memory::connection_memory(memory_budget *budget, std::string_view peer)
    : m_budget(budget)
    , m_peer(peer)
{
    if (m_budget != nullptr) {
        m_holder = &m_budget->m_ledger.add(hash64(hostOf(peer)), system_clock_source().now());
        m_budget->m_connections.emplace(m_holder, this);
    }
}

connection_memory::~connection_memory()
{
    if (m_budget != nullptr) {
        m_budget->m_connections.erase(m_holder);
        m_budget->m_ledger.remove(*m_holder);
    }
}

auto connection_memory::hold(memory_use use, std::size_t bytes) -> bool
{
    auto &held = m_bytes[static_cast<std::size_t>(use)];
    if (m_budget == nullptr || held == bytes) {
        return true;
    }
    const auto total = m_holder->bytes() - held + bytes;
    if (!m_budget->grow(*this, total)) {
        return false;
    }
    held = bytes;
    return true;
}

auto connection_memory::setAccount(std::string_view account) -> void
{
    if (m_budget != nullptr) {
        m_budget->m_ledger.setParty(*m_holder, hash64(account, accountSeed));
    }
}

auto connection_memory::noteProgress() -> void
{
    if (m_budget != nullptr) {
        m_budget->m_ledger.noteProgress(*m_holder, system_clock_source().now());
    }
}

auto connection_memory::allowEviction(std::string_view what, std::function<void()> evict) -> void
{
    assert(!m_evict);
    if (m_budget != nullptr) {
        m_what = what;
        m_evict = std::move(evict);
        m_budget->m_ledger.setEvictable(*m_holder, true);
    }
}

auto connection_memory::forbidEviction() -> void
{
    if (m_budget != nullptr) {
        m_evict = nullptr;
        m_budget->m_ledger.setEvictable(*m_holder, false);
    }
}

} // namespace marjoramloom
