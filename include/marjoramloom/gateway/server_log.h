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

/// The latest changes of the list of backend servers, for routers that do not watch the store themselves.
///
/// Not thread safe.
class server_log
{
public:
    /// Changes that are kept: more than a fleet's engines register in the time between two questions.
    static constexpr std::size_t LENGTH = 512;

    /// The list was read anew at \p revision: what led there is not known.
    auto restart(std::uint64_t revision) -> void;

    /// Precondition: changes come in the order of their revisions.
    auto add(server_change change) -> void;

    /// Everything up to \p revision was added.
    auto reach(std::uint64_t revision) -> void;

    [[nodiscard]] auto revision() const -> std::uint64_t;

    /// At most \p limit changes after \p after, in order; nothing where they are no longer kept.
    [[nodiscard]] auto since(std::uint64_t after, std::size_t limit) const -> std::optional<std::vector<server_change>>;

private:
    std::deque<server_change> m_changes;
    std::uint64_t m_start = 0; ///< All changes after this revision are kept.
    std::uint64_t m_revision = 0;
};

} // namespace marjoramloom
