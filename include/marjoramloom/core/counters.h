#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace marjoramloom {

/// A metric that only increases. Thread safe.
class counter
{
public:
    auto add(std::uint64_t amount = 1) -> void
    {
        m_value.fetch_add(amount, std::memory_order_relaxed);
    }

    [[nodiscard]] auto value() const -> std::uint64_t
    {
        return m_value.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> m_value = 0;
};

/// All counters and gauges of a process, written in the Prometheus text format.
///
/// Thread safe. A lookup takes a lock, so callers look a counter up once and keep the reference, which stays valid as
/// long as the registry.
class counter_registry
{
public:
    /// The counter \p name with the labels \p labels (text such as `reason="overloaded"`, or empty); created
    /// on first use.
    auto at(std::string_view name, std::string_view labels = {}) -> counter &;

    /// Registers a gauge whose value is read by calling \p source whenever the metrics are written. Precondition:
    /// \p source is thread safe and outlives the registry's use.
    auto setGauge(std::string_view name, std::string_view labels, std::function<double()> source) -> void;

    /// All values in the Prometheus text format, sorted by name.
    [[nodiscard]] auto text() const -> std::string;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<counter>> m_counters;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace marjoramloom
