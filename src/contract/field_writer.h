#pragma once

#include "contract/object_fields.h"

#include <boost/json.hpp>

namespace marjoramloom {

/// Writes the fields of an object to JSON.
class field_writer
{
public:
    explicit field_writer(boost::json::object &out)
        : m_out(out)
    {
    }

    auto text(std::string_view key, const std::string &value) -> void
    {
        m_out[key] = value;
    }

    auto textList(std::string_view key, const std::vector<std::string> &values) -> void
    {
        m_out[key] = boost::json::value_from(values);
    }

    template<typename Number, typename Limit>
    auto number(std::string_view key, const Number &value, value_range<Limit>) -> void
    {
        if constexpr (std::is_same_v<Number, std::chrono::milliseconds>) {
            m_out[key] = value.count();
        } else {
            m_out[key] = value;
        }
    }

    auto flag(std::string_view key, bool value) -> void
    {
        m_out[key] = value;
    }

    template<named_enum Enum>
    auto choice(std::string_view key, Enum value) -> void
    {
        m_out[key] = nameOf(value);
    }

private:
    boost::json::object &m_out;
};

} // namespace marjoramloom
