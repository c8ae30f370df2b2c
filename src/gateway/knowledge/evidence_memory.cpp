#include "marjoramloom/gateway/knowledge/evidence_memory.h"

#include "marjoramloom/core/log.h"
#include "marjoramloom/store/store_revision.h"

namespace marjoramloom {

auto evidence_memory::addEntry(const listed_server &entry, time_point now) -> server_ptr
{
    auto &known = m_records[entry.id];
    known.lastArrival = now;
    const auto previous = known.evidence.newest();
    if (!known.evidence.addEntry(entry, now)) {
        log_line(log_level::info, "server_entry_late")
            .with("server", entry.id)
            .with("revision", revisionText(entry.revision))
            .with("started", entry.startUnixMs)
            .with("known_revision", revisionText(previous->revision))
            .with("known_started", previous->startUnixMs);
        return nullptr;
    }
    if (previous && entry.startUnixMs < previous->startUnixMs) {
        log_line(log_level::warning, "server_start_earlier")
            .with("server", entry.id)
            .with("revision", revisionText(entry.revision))
            .with("started", entry.startUnixMs)
            .with("known_started", previous->startUnixMs);
    }
    auto counting = known.evidence.newest();
    makeRoom();
    return counting;
}

auto evidence_memory::addRemoval(const std::string &id, std::uint64_t revision, time_point now) -> bool
{
    auto &known = m_records[id];
    known.lastArrival = now;
    known.evidence.addRemoval(revision);
    const auto isRemoved = !known.evidence.isListed();
    makeRoom();
    return isRemoved;
}

auto evidence_memory::isListed(const std::string &id) const -> bool
{
    const auto found = m_records.find(id);
    return found != m_records.end() && found->second.evidence.isListed();
}

auto evidence_memory::wasRemovedBefore(const listed_server &entry) const -> bool
{
    const auto found = m_records.find(entry.id);
    return found != m_records.end() && found->second.evidence.wasRemovedBefore(entry);
}

auto evidence_memory::tick(time_point now) -> void
{
    std::erase_if(m_records, [&](const auto &entry) {
        return !entry.second.evidence.isListed() && now - entry.second.lastArrival > MEMORY_TIME;
    });
}

auto evidence_memory::size() const -> std::size_t
{
    return m_records.size();
}

/// Forgets the oldest evidence of an id that is not listed, if there are too many ids.
auto evidence_memory::makeRoom() -> void
{
    if (m_records.size() <= MAX_SERVERS) {
        return;
    }
    auto oldest = m_records.end();
    for (auto entry = m_records.begin(); entry != m_records.end(); ++entry) {
        const auto isOlder = oldest == m_records.end() || entry->second.lastArrival < oldest->second.lastArrival;
        if (!entry->second.evidence.isListed() && isOlder) {
            oldest = entry;
        }
    }
    if (oldest != m_records.end()) {
        m_records.erase(oldest);
    }
}

} // namespace marjoramloom
