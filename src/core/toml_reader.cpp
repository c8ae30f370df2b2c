#include "marjoramloom/core/toml_reader.h"

namespace marjoramloom {

namespace {

auto lineOf(const toml::node &node) -> std::uint32_t
{
    return node.source().begin.line;
}

auto rangeText(auto least, auto most) -> std::string
{
    return "must be from " + std::to_string(least) + " to " + std::to_string(most);
}

} // namespace

toml_problems::toml_problems(std::string source)
    : m_source(std::move(source))
{
}

auto toml_problems::add(std::uint32_t line, std::string_view key, std::string_view what) -> void
{
    auto text = m_source;
    if (line > 0) {
        text += ":" + std::to_string(line);
    }
    text += ": ";
    if (!key.empty()) {
        text.append("'").append(key).append("' ");
    }
    m_lines.push_back(text.append(what));
}

auto toml_problems::empty() const -> bool
{
    return m_lines.empty();
}

auto toml_problems::text() const -> std::string
{
    auto all = std::string();
    for (const auto &line : m_lines) {
        all += all.empty() ? "" : "\n";
        all += line;
    }
    return all;
}

toml_reader::toml_reader(const toml::table &table, std::string path, toml_problems &problems)
    : m_table(table)
    , m_path(std::move(path))
    , m_problems(problems)
{
}

auto toml_reader::text(std::string_view key, std::string &field) -> bool
{
    const auto *node = find(key);
    if (!node) {
        return false;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        return wrongType(*node, key, "text");
    }
    field = *value;
    return true;
}

auto toml_reader::texts(std::string_view key, std::vector<std::string> &field) -> bool
{
    const auto *node = find(key);
    if (!node) {
        return false;
    }
    const auto *list = node->as_array();
    if (!list) {
        return wrongType(*node, key, "a list of texts");
    }
    auto values = std::vector<std::string>();
    for (const auto &item : *list) {
        const auto value = item.value_exact<std::string>();
        if (!value) {
            return wrongType(item, key, "a list of texts");
        }
        values.push_back(*value);
    }
    field = std::move(values);
    return true;
}

auto toml_reader::flag(std::string_view key, bool &field) -> bool
{
    const auto *node = find(key);
    if (!node) {
        return false;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        return wrongType(*node, key, "true or false");
    }
    field = *value;
    return true;
}

auto toml_reader::number(std::string_view key, double &field, double least, double most) -> bool
{
    const auto *node = find(key);
    if (!node) {
        return false;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value) {
        return wrongType(*node, key, "a number");
    }
    if (!(*value >= least && *value <= most)) {
        reject(key, rangeText(least, most));
        return false;
    }
    field = *value;
    return true;
}

auto toml_reader::integer(std::string_view key, std::int64_t &field, std::int64_t least, std::int64_t most) -> bool
{
    const auto *node = find(key);
    if (!node) {
        return false;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value) {
        return wrongType(*node, key, "a whole number");
    }
    if (*value < least || *value > most) {
        reject(key, rangeText(least, most));
        return false;
    }
    field = *value;
    return true;
}

auto toml_reader::require(bool present, std::string_view key) -> void
{
    if (!present && !m_table.get(key)) {
        m_problems.add(lineOf(m_table), fullKey(key), "is missing");
    }
}

auto toml_reader::reject(std::string_view key, std::string_view what) -> void
{
    const auto *node = m_table.get(key);
    m_problems.add(node ? lineOf(*node) : lineOf(m_table), fullKey(key), what);
}

auto toml_reader::finish() -> void
{
    for (const auto &[key, node] : m_table) {
        if (!m_read.contains(key.str())) {
            m_problems.add(lineOf(node), fullKey(key.str()), "is not a known key");
        }
    }
}

auto toml_reader::find(std::string_view key) -> const toml::node *
{
    m_read.emplace(key);
    return m_table.get(key);
}

auto toml_reader::wrongType(const toml::node &node, std::string_view key, std::string_view expected) -> bool
{
    m_problems.add(lineOf(node), fullKey(key), std::string("must be ").append(expected));
    return false;
}

auto toml_reader::fullKey(std::string_view key) const -> std::string
{
    return m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
}

} // namespace marjoramloom
