#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/gateway/knowledge/listed_server.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace marjoramloom {

/// What the entries and removals of one server id show, in whatever order they arrive.
///
/// The store may execute a write seconds after it was sent, so its revisions alone do not order the boots of a server.
/// An entry with a later start is that of a newer incarnation, and one with an earlier start is late. Within an
/// incarnation the larger revision counts, and that it leaves is final. A removal covers what has a smaller revision.
///
/// The start is read from the server's clock, which may have been set back before a restart. An earlier start is
/// therefore accepted once entries of it were written for longer than the store delays a write, with none of the newer
/// one between them; only this depends on times of arrival. Starts are never compared with this machine's clock. Not
/// thread safe.
class server_evidence
{
public:
    using server_ptr = std::shared_ptr<const listed_server>;

    /// Two entries of an earlier start this far apart cannot both be delayed writes: the store executes a write at most
    /// 6 s late.
    static constexpr duration EARLIER_START_TIME = std::chrono::seconds(10);

    /// Adds an entry that arrived at \p now. Returns false if it is late and shows nothing new. Precondition: all
    /// entries are of the same id.
    auto addEntry(const listed_server &entry, time_point now) -> bool;

    /// Adds a removal of the entry with the store's \p revision.
    auto addRemoval(std::uint64_t revision) -> void;

    /// The entry that counts, as draining if any of its incarnation was; null before the first one.
    [[nodiscard]] auto newest() const -> const server_ptr &;

    /// Whether the entry that counts was not removed.
    [[nodiscard]] auto isListed() const -> bool;

    /// Whether the incarnation in \p entry was removed in an earlier era of the store than that of the entry.
    [[nodiscard]] auto wasRemovedBefore(const listed_server &entry) const -> bool;

private:
    /// An incarnation with an earlier start than the newest one.
    struct earlier_start
    {
        std::int64_t startUnixMs = 0;
        std::uint64_t firstRevision = 0;
        time_point firstArrival;
        bool draining = false;
    };

    auto addEarlier(const listed_server &entry, time_point now) -> bool;
    auto replaceNewest(listed_server entry, bool draining) -> void;

    server_ptr m_newest;
    std::optional<std::uint64_t> m_removedRevision; ///< Largest revision of a removal.
    std::optional<earlier_start> m_earlier;
};

} // namespace marjoramloom
