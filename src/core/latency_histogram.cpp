#include "marjoramloom/core/latency_histogram.h"

namespace marjoramloom {

latency_histogram::latency_histogram(counter_registry &counters, std::string_view name, std::string_view labels)
    : m_sum(counters.at(std::string(name) + "_sum_us", labels))
    , m_count(counters.at(std::string(name) + "_count", labels))
{
    const auto separator = labels.empty() ? "" : ",";
    for (auto index = std::size_t(0); index < BOUNDS.size(); ++index) {
        const auto text = std::string(labels) + separator + "le=\"" + std::string(BOUNDS[index].text) + "\"";
        m_buckets[index] = &counters.at(std::string(name) + "_bucket", text);
    }
}

auto latency_histogram::observe(duration value) -> void
{
    for (auto index = std::size_t(0); index < BOUNDS.size(); ++index) {
        if (value <= BOUNDS[index].limit) {
            m_buckets[index]->add();
        }
    }
    m_sum.add(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(value).count()));
    m_count.add();
}

} // namespace marjoramloom
