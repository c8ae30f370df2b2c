#pragma once

#include "contract/object_fields.h"
#include "marjoramloom/contract/configuration_problem.h"

#include <boost/json.hpp>
#include <cmath>
#include <set>
#include <sstream>

namespace marjoramloom {

/// Reads the keys of an object from JSON and adds a problem for each value that is wrong. Keys that are absent keep
/// their defaults.
class field_reader
{
public:
    field_reader(const boost::json::object &json, std::string object, configuration_problems &problems)
        : m_json(json)
        , m_object(std::move(object))
        , m_problems(problems)
        , m_known{ "name", "id" }
    {
    }

    /// Names are path segments and label values: lower-case letters, digits, '.', '_' and '-'.
    auto checkName(const std::string &name) -> void
    {
        constexpr auto longest = std::size_t(63);
        const auto allowed = "abcdefghijklmnopqrstuvwxyz0123456789._-";
        const auto wellFormed = !name.empty() && name.size() <= longest && name.front() != '.' && name.front() != '-'
            && name.find_first_not_of(allowed) == std::string::npos;
        if (!wellFormed) {
            add("name", "1 to 63 characters of a-z, 0-9, '.', '_' and '-' are expected, not starting with '.' or '-'");
        }
    }

    auto text(std::string_view key, std::string &value) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        if (!found->is_string()) {
            add(key, "text is expected");
            return;
        }
        value = boost::json::value_to<std::string>(*found);
    }

    auto texts(std::string_view key, std::vector<std::string> &values) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        values.clear();
        const auto isText = [](const auto &row) {
            return row.is_string();
        };
        if (!found->is_array() || !std::all_of(found->get_array().begin(), found->get_array().end(), isText)) {
            add(key, "a list of text is expected");
            return;
        }
        for (const auto &row : found->get_array()) {
            values.push_back(boost::json::value_to<std::string>(row));
        }
    }

    template<typename Number, typename Limit>
    auto number(std::string_view key, Number &value, value_range<Limit> range) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        auto error = boost::system::error_code();
        const auto read = found->is_number() ? found->to_number<Limit>(error) : Limit();
        if (!found->is_number() || error) {
            add(key, std::is_floating_point_v<Limit> ? "a number is expected" : "a whole number is expected");
        } else if (!(read >= range.least && read <= range.most)) {
            auto text = std::ostringstream();
            text << read << " is out of range; " << range.least << " to " << range.most << " is allowed";
            add(key, text.str());
        } else {
            value = Number(read);
        }
    }

    auto flag(std::string_view key, bool &value) -> void
    {
        const auto *found = find(key);
        if (found != nullptr && !found->is_bool()) {
            add(key, "true or false is expected");
        } else if (found != nullptr) {
            value = found->get_bool();
        }
    }

    template<named_enum Enum>
    auto choice(std::string_view key, Enum &value) -> void
    {
        const auto *found = find(key);
        if (found == nullptr) {
            return;
        }
        const auto name = found->is_string() ? boost::json::value_to<std::string>(*found) : std::string();
        const auto read = parseEnum<Enum>(name);
        if (!read) {
            add(key, "one of " + choices<Enum>() + " is expected");
            return;
        }
        value = *read;
    }

    /// Adds a problem for each key that was not read.
    auto refuseUnknownKeys() -> void
    {
        for (const auto &entry : m_json) {
            if (!m_known.contains(std::string(entry.key()))) {
                add(entry.key(), "unknown key; known are " + knownKeys());
            }
        }
    }

private:
    auto find(std::string_view key) -> const boost::json::value *
    {
        m_known.emplace(key);
        return m_json.if_contains(key);
    }

    auto add(std::string_view key, std::string text) -> void
    {
        m_problems.push_back({ {}, 0, m_object, std::string(key), std::move(text) });
    }

    auto knownKeys() const -> std::string
    {
        auto text = std::string();
        for (const auto &key : m_known) {
            text += key == "id" ? "" : (text.empty() ? "" : ", ") + key;
        }
        return text;
    }

    template<named_enum Enum>
    static auto choices() -> std::string
    {
        auto text = std::string();
        for (const auto &row : enum_names<Enum>::table) {
            text += (text.empty() ? "" : ", ") + std::string(row.name);
        }
        return text;
    }

    const boost::json::object &m_json;
    std::string m_object;
    configuration_problems &m_problems;
    std::set<std::string> m_known;
};

} // namespace marjoramloom
