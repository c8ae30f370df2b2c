#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace marjoramloom {

/// Table of names of an enumeration. Specialise with a `static constexpr std::array table` of enum_name.
template<typename Enum>
struct enum_names;

/// One row of a table of names.
template<typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// An enumeration that has a table of names.
template<typename Enum>
concept named_enum = requires
{
    enum_names<Enum>::table.size();
};

/// Name of \p value. Precondition: the table lists it. Thread safe.
template<named_enum Enum>
constexpr auto nameOf(Enum value) -> std::string_view
{
    for (const auto &row : enum_names<Enum>::table) {
        if (row.value == value) {
            return row.name;
        }
    }
    return "unknown";
}

/// Value with the name \p name, or nothing where the table has no such row. Thread safe.
template<named_enum Enum>
constexpr auto parseEnum(std::string_view name) -> std::optional<Enum>
{
    for (const auto &row : enum_names<Enum>::table) {
        if (row.name == name) {
            return row.value;
        }
    }
    return std::nullopt;
}

} // namespace marjoramloom
