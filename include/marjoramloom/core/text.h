#pragma once

#include <algorithm>
#include <string>
#include <string_view>

namespace marjoramloom {

/// \p text without leading and trailing spaces and tabs. Thread safe.
constexpr auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string_view::npos ? std::string_view() : text.substr(first, last - first + 1);
}

/// \p letter in lower case if it is an ASCII letter. Thread safe.
constexpr auto toLower(char letter) -> char
{
    constexpr auto caseDistance = 'a' - 'A';
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + caseDistance) : letter;
}

/// \p text with its ASCII letters in lower case. Thread safe.
inline auto toLower(std::string_view text) -> std::string
{
    auto lower = std::string(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char letter) { return toLower(letter); });
    return lower;
}

/// Whether two texts are equal when the case of ASCII letters is ignored. Thread safe.
constexpr auto equalsIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char one, char other) { return toLower(one) == toLower(other); });
}

} // namespace marjoramloom
