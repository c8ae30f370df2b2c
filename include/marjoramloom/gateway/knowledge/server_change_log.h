#pragma once

#include "marjoramloom/store/object_store.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace marjoramloom {

/// One change of the list of backend servers.
struct server_change
{
    stored_object object;
    bool removed = false;
};

/// The latest changes of the list of backend servers, for routers that do not watch the store themselves. Not thread
/// safe.
class server_change_log
{
public:
    /// Maximum number of changes: more than the engines of a fleet cause between two queries of a router.
    static constexpr std::size_t CAPACITY = 512;

    /// Largest name and entry of one change, which has to fit into a datagram together with a configuration.
    static constexpr std::size_t MAX_CHANGE_BYTES = std::size_t(8) << 10U;

    /// Clears the log after the whole list was read at \p revision; earlier changes are unknown.
    auto reset(std::uint64_t revision) -> void;

    /// Appends a change. One beyond MAX_CHANGE_BYTES clears the log instead. Precondition: changes are added in the
    /// order of their revisions.
    auto add(server_change change) -> void;

    /// Records that the log has all changes up to \p revision.
    auto advanceTo(std::uint64_t revision) -> void;

    /// The log is complete up to this revision.
    [[nodiscard]] auto revision() const -> std::uint64_t;

    /// Revision of the last change in the log; 0 if there is none.
    [[nodiscard]] auto newestChange() const -> std::uint64_t;

    /// The first changes after revision \p after, in order, at most \p limit and with names and entries of at most
    /// \p maxBytes together, but at least one if there is one; nothing if the log does not reach back that far.
    [[nodiscard]] auto changesAfter(std::uint64_t after, std::size_t limit, std::size_t maxBytes) const
        -> std::optional<std::vector<server_change>>;

private:
    std::deque<server_change> m_changes;
    std::uint64_t m_startRevision = 0; ///< The log has all changes after this revision.
    std::uint64_t m_revision = 0;
};

} // namespace marjoramloom
