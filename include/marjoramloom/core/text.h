#pragma once

#include <algorithm>
#include <string_view>

namespace marjoramloom {

/// \p text without leading and trailing spaces and tabs. Thread safe.
constexpr auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, last - first + 1);
}

/// Whether two texts are equal when the case of ASCII letters is ignored. Thread safe.
constexpr auto equalsIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    const auto lower = [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32) : letter;
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [&](char one, char other) { return lower(one) == lower(other); });
}

} // namespace marjoramloom
