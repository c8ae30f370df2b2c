#pragma once

#include "marjoramloom/gateway/knowledge/server_evidence.h"

#include <map>
#include <string>

namespace marjoramloom {

/// The evidence about all server ids, also about those that are no longer listed: a delayed write of an earlier boot
/// must not bring a removed server back. Not thread safe.
class evidence_memory
{
public:
    using server_ptr = server_evidence::server_ptr;

    /// Evidence about an id is kept for this long after the last entry or removal of the id.
    static constexpr duration MEMORY_TIME = std::chrono::minutes(10);
    /// Beyond this number of ids, those that are not listed and have the oldest evidence are forgotten.
    static constexpr std::size_t MAX_SERVERS = 8'192;

    /// Adds an entry that arrived at \p now. Returns the entry that counts for the id, or null if this one is late and
    /// shows nothing new.
    auto addEntry(const listed_server &entry, time_point now) -> server_ptr;

    /// Adds a removal of the id with the store's \p revision. Returns whether the id is then not listed: an entry with
    /// a larger revision may have arrived before.
    auto addRemoval(const std::string &id, std::uint64_t revision, time_point now) -> bool;

    /// Whether the entry that counts for the id exists and was not removed.
    [[nodiscard]] auto isListed(const std::string &id) const -> bool;

    /// Whether the incarnation in \p entry was removed in an earlier era of the store than that of the entry.
    [[nodiscard]] auto wasRemovedBefore(const listed_server &entry) const -> bool;

    /// Forgets what is too old. Call every few hundred milliseconds.
    auto tick(time_point now) -> void;

    [[nodiscard]] auto size() const -> std::size_t;

private:
    struct record
    {
        server_evidence evidence;
        time_point lastArrival;
    };

    auto makeRoom() -> void;

    std::map<std::string, record> m_records;
};

} // namespace marjoramloom
