#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace marjoramloom {

/// Computes the waits between retries: exponential backoff with full jitter. Not thread safe.
class retry_backoff
{
public:
    /// The upper bound of the waits starts at \p first and doubles up to \p limit. Precondition:
    /// 0 < \p first <= \p limit.
    retry_backoff(std::chrono::milliseconds first, std::chrono::milliseconds limit, std::uint64_t seed)
        : m_first(first)
        , m_limit(limit)
        , m_ceiling(first)
        , m_random(seed)
    {
    }

    /// The next wait, random between \p least and an upper bound that doubles with each call and is at least twice
    /// \p least.
    auto next(std::chrono::milliseconds least = std::chrono::milliseconds(0)) -> std::chrono::milliseconds
    {
        const auto upperBound = std::max(m_ceiling, 2 * least);
        auto distribution = std::uniform_int_distribution<std::int64_t>(least.count(), upperBound.count());
        m_ceiling = std::min(m_ceiling * 2, m_limit);
        return std::chrono::milliseconds(distribution(m_random));
    }

    /// Resets the upper bound to its first value; call after a success.
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
