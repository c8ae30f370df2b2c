#pragma once

#include "marjoramloom/core/clock.h"
#include "marjoramloom/core/counters.h"

#include <array>
#include <string>
#include <string_view>

namespace marjoramloom {

/// A Prometheus histogram of durations with cumulative buckets: `name_bucket{le="0.1"}`, `name_sum_us` and
/// `name_count`.
///
/// The sum is in microseconds because counters are integers. Thread safe.
class latency_histogram
{
public:
    /// Precondition: \p counters outlives the histogram. \p labels is text such as `route="a"`, or empty.
    latency_histogram(counter_registry &counters, std::string_view name, std::string_view labels);

    /// Adds \p value to the sum, the count and every bucket whose upper bound it does not exceed.
    auto observe(duration value) -> void;

private:
    struct bound
    {
        duration limit;
        std::string_view text; ///< Value of the label `le`, in seconds.
    };
    static constexpr std::array BOUNDS{
        bound{ std::chrono::milliseconds(10), "0.01" },   bound{ std::chrono::milliseconds(25), "0.025" },
        bound{ std::chrono::milliseconds(50), "0.05" },   bound{ std::chrono::milliseconds(100), "0.1" },
        bound{ std::chrono::milliseconds(250), "0.25" },  bound{ std::chrono::milliseconds(500), "0.5" },
        bound{ std::chrono::milliseconds(1'000), "1" },   bound{ std::chrono::milliseconds(2'500), "2.5" },
        bound{ std::chrono::milliseconds(10'000), "10" }, bound{ duration::max(), "+Inf" },
    };

    std::array<counter *, BOUNDS.size()> m_buckets{};
    counter &m_sum; ///< In microseconds.
    counter &m_count;
};

} // namespace marjoramloom
