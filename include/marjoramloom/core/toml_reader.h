#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

namespace marjoramloom {

/// Collects the problems found in a TOML text, each with its file, line and key.
class toml_problems
{
public:
    /// \p source is the file's name, which precedes each problem.
    explicit toml_problems(std::string source);

    /// Adds a problem at \p line, or at 0 where it concerns the whole text.
    auto add(std::uint32_t line, std::string_view key, std::string_view what) -> void;

    [[nodiscard]] auto empty() const -> bool;

    /// All problems, one per line.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::string m_source;
    std::vector<std::string> m_lines;
};

/// Reads the keys of one TOML table into fields and checks their types and ranges. finish() reports the keys that were
/// never read as unknown.
///
/// Each function that reads a key returns true where it set the field. An absent key leaves the field unchanged; a
/// wrong type or a value out of range does so, too, and is reported as a problem. Not thread safe.
class toml_reader
{
public:
    /// Preconditions: \p table and \p problems outlive the reader. \p path is the table's key, which precedes the keys
    /// in problems; empty for the root table.
    toml_reader(const toml::table &table, std::string path, toml_problems &problems);

    auto text(std::string_view key, std::string &field) -> bool;
    auto texts(std::string_view key, std::vector<std::string> &field) -> bool;
    auto flag(std::string_view key, bool &field) -> bool;
    auto number(std::string_view key, double &field, double least, double most) -> bool;
    auto integer(std::string_view key, std::int64_t &field, std::int64_t least, std::int64_t most) -> bool;

    /// Reads an integer into a field of any integer type. Precondition: the type holds \p least to \p most.
    template<typename Integer>
    auto whole(std::string_view key, Integer &field, std::int64_t least, std::int64_t most) -> bool
    {
        auto value = static_cast<std::int64_t>(field);
        const auto read = integer(key, value, least, most);
        field = static_cast<Integer>(value);
        return read;
    }

    /// Reads a duration as an integer in the unit of \p field, such as milliseconds.
    template<typename Duration>
    auto time(std::string_view key, Duration &field, std::int64_t least, std::int64_t most) -> bool
    {
        auto value = static_cast<std::int64_t>(field.count());
        const auto read = integer(key, value, least, most);
        field = Duration(value);
        return read;
    }

    /// Reports that \p key is missing unless \p present is true or the table contains it.
    auto require(bool present, std::string_view key) -> void;

    /// Reports a problem with \p key at its line.
    auto reject(std::string_view key, std::string_view what) -> void;

    /// Reports every key that was not read as unknown.
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
