#pragma once

#include "contract/object_fields.h"
#include "marjoramloom/contract/configuration_problem.h"

#include <boost/json.hpp>
#include <cmath>
#include <set>
#include <sstream>

namespace marjoramloom {

/// Reads the fields of an object from JSON and adds a problem for each value that is not valid. Fields that are absent
/// keep their defaults.
class field_reader
{
public:
    field_reader(const boost::json::object &json, std::string object, configuration_problems &problems)
        : m_json(json)
        , m_object(std::move(object))
        , m_problems(problems)
        , m_knownKeys{ "name", "id" }
    {
    }

    /// Names are used as path segments and label values. They consist of lower-case letters, digits, '.', '_' and '-'.
    auto checkName(const std::string &name) -> void
    {
        constexpr auto maxLength = std::size_t(63);
        const auto allowed = "abcdefghijklmnopqrstuvwxyz0123456789._-";
        const auto wellFormed = !name.empty() && name.size() <= maxLength && name.front() != '.' && name.front() != '-'
            && name.find_first_not_of(allowed) == std::string::npos;
        if (!wellFormed) {
            add("name", "1 to 63 characters of a-z, 0-9, '.', '_' and '-' are expected, not starting with '.' or '-'");
        }
    }

    auto text(std::string_view key, std::string &value) -> void
    {
        const auto *field = findField(key);
        if (field == nullptr) {
            return;
        }
        if (!field->is_string()) {
            add(key, "text is expected");
            return;
        }
        value = boost::json::value_to<std::string>(*field);
    }

    auto textList(std::string_view key, std::vector<std::string> &values) -> void
    {
        const auto *field = findField(key);
        if (field == nullptr) {
            return;
        }
        values.clear();
        const auto isText = [](const auto &element) {
            return element.is_string();
        };
        if (!field->is_array() || !std::all_of(field->get_array().begin(), field->get_array().end(), isText)) {
            add(key, "a list of text is expected");
            return;
        }
        for (const auto &element : field->get_array()) {
            values.push_back(boost::json::value_to<std::string>(element));
        }
    }

    template<typename Number, typename Limit>
    auto number(std::string_view key, Number &value, value_range<Limit> range) -> void
    {
        const auto *field = findField(key);
        if (field == nullptr) {
            return;
        }
        auto error = boost::system::error_code();
        const auto parsed = field->is_number() ? field->to_number<Limit>(error) : Limit();
        if (!field->is_number() || error) {
            add(key, std::is_floating_point_v<Limit> ? "a number is expected" : "a whole number is expected");
        } else if (!(parsed >= range.minimum && parsed <= range.maximum)) {
            auto text = std::ostringstream();
            text << parsed << " is out of range; " << range.minimum << " to " << range.maximum << " is allowed";
            add(key, text.str());
        } else {
            value = Number(parsed);
        }
    }

    auto flag(std::string_view key, bool &value) -> void
    {
        const auto *field = findField(key);
        if (field != nullptr && !field->is_bool()) {
            add(key, "true or false is expected");
        } else if (field != nullptr) {
            value = field->get_bool();
        }
    }

    template<named_enum Enum>
    auto choice(std::string_view key, Enum &value) -> void
    {
        const auto *field = findField(key);
        if (field == nullptr) {
            return;
        }
        const auto name = field->is_string() ? boost::json::value_to<std::string>(*field) : std::string();
        const auto parsed = parseEnum<Enum>(name);
        if (!parsed) {
            add(key, "one of " + choices<Enum>() + " is expected");
            return;
        }
        value = *parsed;
    }

    /// Adds a problem for each key that no field has.
    auto refuseUnknownKeys() -> void
    {
        for (const auto &entry : m_json) {
            if (!m_knownKeys.contains(std::string(entry.key()))) {
                add(entry.key(), "unknown key; known are " + knownKeys());
            }
        }
    }

private:
    /// Returns the value of \p key, or null if it is absent. Adds \p key to the known keys.
    auto findField(std::string_view key) -> const boost::json::value *
    {
        m_knownKeys.emplace(key);
        return m_json.if_contains(key);
    }

    auto add(std::string_view key, std::string text) -> void
    {
        m_problems.push_back({ {}, 0, m_object, std::string(key), std::move(text) });
    }

    auto knownKeys() const -> std::string
    {
        auto text = std::string();
        for (const auto &key : m_knownKeys) {
            text += key == "id" ? "" : (text.empty() ? "" : ", ") + key;
        }
        return text;
    }

    template<named_enum Enum>
    static auto choices() -> std::string
    {
        auto text = std::string();
        for (const auto &element : enum_names<Enum>::table) {
            text += (text.empty() ? "" : ", ") + std::string(element.name);
        }
        return text;
    }

    const boost::json::object &m_json;
    std::string m_object;
    configuration_problems &m_problems;
    std::set<std::string> m_knownKeys;
};

} // namespace marjoramloom
