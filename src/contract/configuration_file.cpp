#include "marjoramloom/contract/configuration_file.h"

#include "marjoramloom/contract/configuration_codec.h"

#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <toml++/toml.h>

namespace marjoramloom {

namespace json = boost::json;

namespace {

constexpr auto timeSuffix = std::string_view("_unix_ms");
constexpr auto millisecondsPerMinute = std::int64_t(60'000);

auto toUnixMs(const toml::date_time &dateTime) -> std::int64_t
{
    const auto day =
        std::chrono::sys_days(std::chrono::year(dateTime.date.year) / dateTime.date.month / dateTime.date.day);
    const auto time = std::chrono::hours(dateTime.time.hour) + std::chrono::minutes(dateTime.time.minute)
        + std::chrono::seconds(dateTime.time.second) + std::chrono::nanoseconds(dateTime.time.nanosecond);
    const auto localTime = std::chrono::duration_cast<std::chrono::milliseconds>(day.time_since_epoch() + time);
    const auto offset = dateTime.offset ? dateTime.offset->minutes : 0;
    return localTime.count() - offset * millisecondsPerMinute;
}

/// Reads the configuration objects of one parsed TOML file.
class object_file_reader
{
public:
    object_file_reader(const std::string &file, configuration_problems &problems)
        : m_file(file)
        , m_problems(problems)
    {
    }

    auto read(const toml::table &root) -> std::vector<located_object>
    {
        for (const auto &[key, node] : root) {
            const auto kind = parseEnum<object_kind>(key.str());
            if (!kind) {
                add(lineOf(node), {}, std::string(key.str()), "unknown kind; known are " + kinds());
                continue;
            }
            const auto *elements = node.as_array();
            if (elements == nullptr) {
                add(lineOf(node), {}, std::string(key.str()),
                    "a table in double brackets, [[" + std::string(key.str()) + "]], is expected");
                continue;
            }
            for (const auto &element : *elements) {
                readObjectTable(*kind, element);
            }
        }
        std::stable_sort(m_objects.begin(), m_objects.end(),
                         [](const auto &left, const auto &right) { return left.line < right.line; });
        return std::move(m_objects);
    }

private:
    static auto lineOf(const toml::node &node) -> std::uint32_t
    {
        return node.source().begin.line;
    }

    static auto kinds() -> std::string
    {
        auto text = std::string();
        for (const auto &element : enum_names<object_kind>::table) {
            text += (text.empty() ? "" : ", ") + std::string(element.name);
        }
        return text;
    }

    auto add(std::uint32_t line, std::string object, std::string key, std::string text) -> void
    {
        m_problems.push_back({ m_file, line, std::move(object), std::move(key), std::move(text) });
    }

    auto readObjectTable(object_kind kind, const toml::node &element) -> void
    {
        const auto *table = element.as_table();
        if (table == nullptr) {
            add(lineOf(element), std::string(nameOf(kind)), {}, "a table is expected");
            return;
        }
        auto located = located_object{ .object = {}, .file = m_file, .line = lineOf(element), .keyLines = {} };
        const auto before = m_problems.size();
        const auto body = toJson(kind, *table, located);
        auto objectProblems = configuration_problems();
        auto object = objectFromJson(kind, body, unknown_keys::refused, objectProblems);
        for (auto &problem : objectProblems) {
            problem.file = m_file;
            const auto keyLine = located.keyLines.find(problem.key);
            problem.line = keyLine == located.keyLines.end() ? located.line : keyLine->second;
            m_problems.push_back(std::move(problem));
        }
        if (object && m_problems.size() == before) {
            located.object = std::move(*object);
            m_objects.push_back(std::move(located));
        }
    }

    auto toJson(object_kind kind, const toml::table &table, located_object &located) -> json::object
    {
        auto out = json::object();
        for (const auto &[key, node] : table) {
            auto name = std::string(key.str());
            located.keyLines[name] = lineOf(node);
            if (node.is_date_time()) {
                name += timeSuffix;
                located.keyLines[name] = lineOf(node);
            }
            auto value = toValue(node);
            if (value) {
                out[name] = std::move(*value);
            } else {
                add(lineOf(node), std::string(nameOf(kind)), name, "a value of this type is not allowed");
            }
        }
        return out;
    }

    static auto toValue(const toml::node &node) -> std::optional<json::value>
    {
        if (const auto *text = node.as_string()) {
            return json::value(text->get());
        }
        if (const auto *number = node.as_integer()) {
            return json::value(number->get());
        }
        if (const auto *number = node.as_floating_point()) {
            return json::value(number->get());
        }
        if (const auto *flag = node.as_boolean()) {
            return json::value(flag->get());
        }
        if (const auto *dateTime = node.as_date_time()) {
            return dateTime->get().offset ? std::optional(json::value(toUnixMs(dateTime->get()))) : std::nullopt;
        }
        const auto *elements = node.as_array();
        return elements == nullptr ? std::nullopt : toArray(*elements);
    }

    static auto toArray(const toml::array &elements) -> std::optional<json::value>
    {
        auto out = json::array();
        for (const auto &element : elements) {
            auto value = toValue(element);
            if (!value) {
                return std::nullopt;
            }
            out.push_back(std::move(*value));
        }
        return out;
    }

    const std::string &m_file;
    configuration_problems &m_problems;
    std::vector<located_object> m_objects;
};

auto toTomlValue(const json::value &value) -> std::string
{
    return json::serialize(value);
}

} // namespace

auto parseObjects(const std::string &text, const std::string &file, configuration_problems &problems)
    -> std::vector<located_object>
{
    try {
        const auto root = toml::parse(text, file);
        return object_file_reader(file, problems).read(root);
    } catch (const toml::parse_error &error) {
        problems.push_back({ file, error.source().begin.line, {}, {}, std::string(error.description()) });
        return {};
    }
}

auto loadObjects(const std::string &path, configuration_problems &problems) -> std::vector<located_object>
{
    auto in = std::ifstream(path);
    if (!in) {
        problems.push_back({ path, 0, {}, {}, "cannot be read" });
        return {};
    }
    auto text = std::ostringstream();
    text << in.rdbuf();
    return parseObjects(text.str(), path, problems);
}

auto locateProblems(const std::vector<located_object> &objects, configuration_problems &problems) -> void
{
    for (auto &problem : problems) {
        if (!problem.file.empty()) {
            continue;
        }
        for (const auto &located : objects) {
            const auto name = std::string(nameOf(kindOf(located.object))) + "/" + nameOf(located.object);
            if (name != problem.object) {
                continue;
            }
            const auto keyLine = located.keyLines.find(problem.key);
            problem.file = located.file;
            problem.line = keyLine == located.keyLines.end() ? located.line : keyLine->second;
        }
    }
}

auto toToml(const configuration_object &object) -> std::string
{
    auto text = "[[" + std::string(nameOf(kindOf(object))) + "]]\n";
    for (const auto &entry : toJson(object)) {
        auto key = std::string(entry.key());
        if (key.ends_with(timeSuffix)) {
            key.resize(key.size() - timeSuffix.size());
            text += key + " = " + formatTime(entry.value().to_number<std::int64_t>()) + "\n";
        } else {
            text += key + " = " + toTomlValue(entry.value()) + "\n";
        }
    }
    return text;
}

auto parseTime(const std::string &text) -> std::optional<std::int64_t>
{
    try {
        const auto root = toml::parse("time = " + text);
        const auto *dateTime = root["time"].as_date_time();
        const auto valid = root.size() == 1 && dateTime != nullptr && dateTime->get().offset;
        return valid ? std::optional(toUnixMs(dateTime->get())) : std::nullopt;
    } catch (const toml::parse_error &) {
        return std::nullopt;
    }
}

auto formatTime(std::int64_t unixMs) -> std::string
{
    const auto sinceEpoch = std::chrono::milliseconds(unixMs);
    const auto days = std::chrono::floor<std::chrono::days>(sinceEpoch);
    const auto date = std::chrono::year_month_day(std::chrono::sys_days(days));
    const auto time = std::chrono::hh_mm_ss(sinceEpoch - days);
    auto text = std::array<char, 64>{};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", int(date.year()),
                  unsigned(date.month()), unsigned(date.day()), int(time.hours().count()), int(time.minutes().count()),
                  int(time.seconds().count()), int(time.subseconds().count()));
    return text.data();
}

} // namespace marjoramloom
