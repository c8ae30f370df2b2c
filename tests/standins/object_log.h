#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standins {

/// One write to the store: a new value or a deletion.
struct object_write
{
    std::string kind;
    std::string name;
    std::uint64_t revision = 0;
    std::string value;
    bool deleted = false;
};

/// Log of all writes to versioned objects. Reads can be answered as of any earlier revision. Not thread safe.
class object_log
{
public:
    [[nodiscard]] auto revision() const -> std::uint64_t
    {
        return m_writes.size();
    }

    /// The object as of \p revision; its revision is 0 if it did not exist then.
    [[nodiscard]] auto at(const std::string &kind, const std::string &name, std::uint64_t revision) const
        -> object_write;

    /// All objects of a kind as of \p revision.
    [[nodiscard]] auto listAt(const std::string &kind, std::uint64_t revision) const -> std::vector<object_write>;

    /// Appends a write and returns it with its revision.
    auto append(object_write write) -> object_write;

    /// All writes with a revision higher than \p since, in order.
    [[nodiscard]] auto after(std::uint64_t since) const -> std::vector<object_write>;

    /// Forgets all writes with a revision higher than \p revision; their revisions are given out again.
    auto restore(std::uint64_t revision) -> void;

private:
    std::vector<object_write> m_writes; ///< The write at index N has revision N + 1.
    std::map<std::string, std::map<std::string, std::vector<std::uint64_t>>> m_revisions; ///< By kind and name.
};

} // namespace standins
