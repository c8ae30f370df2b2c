#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace marjoramloom {

/// Maps the values of an enumeration to the names used in files, messages and logs. Specialise it with a
/// `static constexpr std::array table` of enum_name.
template<typename Enum>
struct enum_names;

/// One value of an enumeration and its name.
template<typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// An enumeration with a specialisation of enum_names.
template<typename Enum>
concept named_enum = requires
{
    enum_names<Enum>::table.size();
};

/// Name of \p value. Precondition: the table lists it. Thread safe.
template<named_enum Enum>
constexpr auto nameOf(Enum value) -> std::string_view
{
    for (const auto &entry : enum_names<Enum>::table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown";
}

/// Value with the name \p name, or nothing where no value has this name. Thread safe.
template<named_enum Enum>
constexpr auto parseEnum(std::string_view name) -> std::optional<Enum>
{
    for (const auto &entry : enum_names<Enum>::table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace marjoramloom
