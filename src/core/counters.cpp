#include "marjoramloom/core/counters.h"

#include <cstdio>

namespace marjoramloom {

namespace {

auto fullName(std::string_view name, std::string_view labels) -> std::string
{
    auto full = std::string(name);
    if (!labels.empty()) {
        full += "{" + std::string(labels) + "}";
    }
    return full;
}

auto formatGauge(double value) -> std::string
{
    auto text = std::array<char, 32>{};
    std::snprintf(text.data(), text.size(), "%.10g", value);
    return text.data();
}

} // namespace

auto counter_registry::at(std::string_view name, std::string_view labels) -> counter &
{
    const auto lock = std::lock_guard(m_mutex);
    auto &slot = m_counters[fullName(name, labels)];
    if (!slot) {
        slot = std::make_unique<counter>();
    }
    return *slot;
}

auto counter_registry::setGauge(std::string_view name, std::string_view labels, std::function<double()> source) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_gauges[fullName(name, labels)] = std::move(source);
}

auto counter_registry::text() const -> std::string
{
    const auto lock = std::lock_guard(m_mutex);
    auto lines = std::map<std::string, std::string>();
    for (const auto &[name, value] : m_counters) {
        lines[name] = std::to_string(value->value());
    }
    for (const auto &[name, source] : m_gauges) {
        lines[name] = formatGauge(source());
    }
    auto out = std::string();
    for (const auto &[name, value] : lines) {
        out += name + " " + value + "\n";
    }
    return out;
}

} // namespace marjoramloom
