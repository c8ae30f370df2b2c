#include "fault_set.h"

#include <boost/json.hpp>

namespace standins {

namespace {

template<typename Number>
auto readNumber(const boost::json::object &from, const char *key, Number fallback) -> Number
{
    const auto *value = from.if_contains(key);
    return value == nullptr ? fallback : value->to_number<Number>();
}

auto readText(const boost::json::object &from, const char *key) -> std::string
{
    const auto *value = from.if_contains(key);
    return value == nullptr ? std::string() : std::string(value->as_string());
}

auto readFlag(const boost::json::object &from, const char *key, bool fallback) -> bool
{
    const auto *value = from.if_contains(key);
    return value == nullptr ? fallback : value->as_bool();
}

auto readFault(const boost::json::object &from) -> fault
{
    const auto name = readText(from, "kind");
    const auto kind = marjoramloom::parseEnum<fault_kind>(name);
    if (!kind) {
        throw std::invalid_argument("unknown kind of fault '" + name + "'");
    }
    auto read = fault();
    read.kind = *kind;
    if (from.contains("count")) {
        read.count = readNumber<std::uint32_t>(from, "count", 0);
    }
    read.skip = readNumber<std::uint32_t>(from, "skip", 0);
    read.match = readText(from, "match");
    read.contains = readText(from, "contains");
    read.method = readText(from, "method");
    read.value = readText(from, "value");
    read.ms = readNumber<std::int64_t>(from, "ms", 0);
    read.factor = readNumber<double>(from, "factor", 1);
    read.events = readNumber<std::uint32_t>(from, "events", 0);
    read.revision = readNumber<std::uint64_t>(from, "revision", 0);
    read.behind = readNumber<std::uint64_t>(from, "behind", 0);
    read.forget = readFlag(from, "forget", false);
    read.crash = readFlag(from, "crash", false);
    read.silent = readFlag(from, "silent", false);
    read.enabled = readFlag(from, "enabled", true);
    return read;
}

auto applies(const fault &candidate, const fault_subject &subject) -> bool
{
    return subject.key.starts_with(candidate.match) && subject.body.find(candidate.contains) != std::string::npos
        && (candidate.method.empty() || candidate.method == subject.method);
}

} // namespace

auto fault_set::replace(const boost::json::value &document) -> std::string
{
    try {
        auto faults = std::vector<fault>();
        if (const auto *list = document.as_object().if_contains("faults")) {
            for (const auto &entry : list->as_array()) {
                faults.push_back(readFault(entry.as_object()));
            }
        }
        m_faults = faults;
        return {};
    } catch (const std::exception &error) {
        return error.what();
    }
}

auto fault_set::take(fault_kind kind, const fault_subject &subject) -> std::optional<fault>
{
    for (auto &candidate : m_faults) {
        if (candidate.kind != kind || candidate.count == 0U || !applies(candidate, subject)) {
            continue;
        }
        if (candidate.skip > 0) {
            --candidate.skip;
            continue;
        }
        if (candidate.count) {
            --*candidate.count;
        }
        return candidate;
    }
    return std::nullopt;
}

auto fault_set::find(fault_kind kind) const -> const fault *
{
    for (const auto &candidate : m_faults) {
        if (candidate.kind == kind) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace standins
