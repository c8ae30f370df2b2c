#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace marjoramloom {

/// Problems found in a TOML text, each with its file, line and key.
class toml_problems
{
public:
    explicit toml_problems(std::string source);

    /// Notes a problem at \p line; 0 for the text as a whole.
    auto add(std::uint32_t line, std::string_view key, std::string_view what) -> void;

    [[nodiscard]] auto empty() const -> bool;

    /// All problems, one a line.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::string m_source;
    std::vector<std::string> m_lines;
};

/// Reads the keys of one TOML table and checks type and range; keys that nobody read are unknown.
///
/// A key that is absent leaves its field as it is. Not thread safe.
class toml_reader
{
public:
    /// Preconditions: \p table and \p problems outlive the reader. \p path names the table in problems.
    toml_reader(const toml::table &table, std::string path, toml_problems &problems);

    auto text(std::string_view key, std::string &field) -> bool;
    auto texts(std::string_view key, std::vector<std::string> &field) -> bool;
    auto flag(std::string_view key, bool &field) -> bool;
    auto number(std::string_view key, double &field, double least, double most) -> bool;
    auto integer(std::string_view key, std::int64_t &field, std::int64_t least, std::int64_t most) -> bool;

    /// An integer key for a field of another integer type. Precondition: the type holds \p least to \p most.
    template<typename Integer>
    auto whole(std::string_view key, Integer &field, std::int64_t least, std::int64_t most) -> bool
    {
        auto value = static_cast<std::int64_t>(field);
        const auto read = integer(key, value, least, most);
        field = static_cast<Integer>(value);
        return read;
    }

    /// A duration in whole units, such as milliseconds.
    template<typename Duration>
    auto time(std::string_view key, Duration &field, std::int64_t least, std::int64_t most) -> bool
    {
        auto value = static_cast<std::int64_t>(field.count());
        const auto read = integer(key, value, least, most);
        field = Duration(value);
        return read;
    }

    /// Notes that \p key is missing.
    auto require(bool present, std::string_view key) -> void;

    /// Notes a problem with \p key at its line.
    auto reject(std::string_view key, std::string_view what) -> void;

    /// Notes every key that was not read.
    auto finish() -> void;

private:
    auto find(std::string_view key) -> const toml::node *;
    auto wrongType(const toml::node &node, std::string_view key, std::string_view expected) -> bool;
    auto fullKey(std::string_view key) const -> std::string;

    const toml::table &m_table;
    std::string m_path;
    toml_problems &m_problems;
    std::set<std::string, std::less<>> m_read;
};

} // namespace marjoramloom
