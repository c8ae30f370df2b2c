#pragma once

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace marjoramloom {

/// All evacuated data centres at one revision of the platform's store.
struct evacuation_set
{
    std::uint64_t revision = 0; ///< The set is complete up to this revision.
    std::set<std::string> names; ///< Of the data centres to whose backend servers nothing is sent.
    bool statesEra = true; ///< The revision has an era; routers of an earlier version know of none.
};

/// The data centres to whose backend servers nothing is sent, from whatever source knows the newest revision.
///
/// The same set and revision result in whatever order the sources deliver theirs: an older revision never replaces a
/// newer one. The set is kept while no source can be reached. Not thread safe.
class evacuated_data_centres
{
public:
    /// The difference between two sets.
    struct change
    {
        std::set<std::string> added;
        std::set<std::string> removed;
    };

    /// Called after each change with the set's new revision.
    using listener = std::function<void(const change &change, std::uint64_t revision)>;

    /// Beyond this number of data centres, further ones are not added; together they fit into a datagram.
    static constexpr std::size_t MAX_DATA_CENTRES = 64;

    explicit evacuated_data_centres(listener onChange);

    /// Replaces the set by \p newer unless it is older than the known one. Returns whether it was not older.
    auto apply(evacuation_set newer) -> bool;

    /// Adds \p name by a change of the store at \p revision. Precondition: isKnown(), and the changes of the store up
    /// to \p revision were applied.
    auto add(const std::string &name, std::uint64_t revision) -> void;

    /// Removes \p name by a change of the store at \p revision, with the preconditions of add().
    auto remove(const std::string &name, std::uint64_t revision) -> void;

    /// Records that the set is complete up to \p revision.
    auto advanceTo(std::uint64_t revision) -> void;

    /// Whether any source has delivered the set.
    [[nodiscard]] auto isKnown() const -> bool;

    [[nodiscard]] auto contains(const std::string &dataCentre) const -> bool;

    /// The known set. Precondition: isKnown().
    [[nodiscard]] auto current() const -> const evacuation_set &;

private:
    auto replace(std::set<std::string> names, std::uint64_t revision) -> void;

    listener m_onChange;
    evacuation_set m_current;
    bool m_isKnown = false;
};

} // namespace marjoramloom
