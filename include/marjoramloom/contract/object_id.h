#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace marjoramloom {

/// Identifies a configuration object by the sequence of the change that created it and the index of the operation.
///
/// An object keeps its id when it is edited. The id is not reused after the object is deleted, and
/// is short on the wire.
struct object_id
{
    std::uint64_t value = 0;

    auto operator==(const object_id &other) const -> bool = default;

    auto operator<=>(const object_id &other) const -> std::strong_ordering
    {
        return value <=> other.value;
    }
};

} // namespace marjoramloom

template<>
struct std::hash<marjoramloom::object_id>
{
    auto operator()(const marjoramloom::object_id &id) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t>()(id.value);
    }
};
