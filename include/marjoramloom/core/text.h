#pragma once

#include <algorithm>
#include <string_view>

namespace marjoramloom {

/// \p text without the spaces and tabs at its ends. Thread safe.
constexpr auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, last - first + 1);
}

/// Whether two names are equal but for the case of ASCII letters. Thread safe.
constexpr auto sameName(std::string_view left, std::string_view right) -> bool
{
    const auto lower = [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char one, char other) { return lower(one) == lower(other); });
}

} // namespace marjoramloom
