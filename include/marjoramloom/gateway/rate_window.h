#pragma once

#include "marjoramloom/core/clock.h"

#include <array>
#include <cstdint>

namespace marjoramloom {

/// Sum of amounts over the last two seconds, in steps of 100 ms. Not thread safe.
class rate_window
{
public:
    static constexpr duration LENGTH = std::chrono::milliseconds(2'000);

    auto add(std::uint64_t amount, time_point now) -> void
    {
        advance(now);
        m_sums[m_current % STEPS] += amount;
        m_total += amount;
    }

    /// The sum over the window that ends now.
    [[nodiscard]] auto total(time_point now) -> std::uint64_t
    {
        advance(now);
        return m_total;
    }

private:
    static constexpr duration STEP = std::chrono::milliseconds(100);
    static constexpr std::uint64_t STEPS = LENGTH / STEP;

    auto advance(time_point now) -> void
    {
        const auto step = static_cast<std::uint64_t>(now.time_since_epoch() / STEP);
        if (step >= m_current + STEPS) {
            m_sums.fill(0);
            m_total = 0;
            m_current = step;
        }
        while (m_current < step) {
            ++m_current;
            m_total -= m_sums[m_current % STEPS];
            m_sums[m_current % STEPS] = 0;
        }
    }

    std::array<std::uint64_t, STEPS> m_sums{};
    std::uint64_t m_total = 0;
    std::uint64_t m_current = 0;
};

} // namespace marjoramloom
