#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace marjoramloom {

/// Waits between retries: exponential with full jitter. Not thread safe.
class retry_backoff
{
public:
    /// Precondition: 0 < \p first <= \p limit.
    retry_backoff(std::chrono::milliseconds first, std::chrono::milliseconds limit, std::uint64_t seed)
        : m_first(first)
        , m_limit(limit)
        , m_ceiling(first)
        , m_random(seed)
    {
    }

    /// The next wait, between \p least and a ceiling that doubles with each call and is twice \p least at least.
    auto next(std::chrono::milliseconds least = std::chrono::milliseconds(0)) -> std::chrono::milliseconds
    {
        const auto most = std::max(m_ceiling, 2 * least);
        auto spread = std::uniform_int_distribution<std::int64_t>(least.count(), most.count());
        m_ceiling = std::min(m_ceiling * 2, m_limit);
        return std::chrono::milliseconds(spread(m_random));
    }

    /// Starts again from the first ceiling, after a success.
    auto reset() -> void
    {
        m_ceiling = m_first;
    }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_limit;
    std::chrono::milliseconds m_ceiling;
    std::mt19937_64 m_random;
};

} // namespace marjoramloom
