#pragma once

#include <atomic>
#include <chrono>
#include <concepts>

namespace marjoramloom {

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// A source of monotonic time.
template<typename Clock>
concept clock_source = requires(const Clock &clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/// Reads std::chrono::steady_clock. Thread safe.
struct system_clock_source
{
    [[nodiscard]] auto now() const -> time_point
    {
        return std::chrono::steady_clock::now();
    }
};

/// A clock for tests that advances only by calls of advance(). Thread safe.
class manual_clock
{
public:
    [[nodiscard]] auto now() const -> time_point
    {
        return time_point(duration(m_sinceStart.load(std::memory_order_acquire)));
    }

    /// Moves the clock forward by \p step. Precondition: \p step is not negative.
    auto advance(duration step) -> void
    {
        m_sinceStart.fetch_add(step.count(), std::memory_order_acq_rel);
    }

private:
    std::atomic<duration::rep> m_sinceStart = 0;
};

static_assert(clock_source<system_clock_source> && clock_source<manual_clock>);

/// \p value in seconds, as a floating-point number. Thread safe.
inline auto toSeconds(duration value) -> double
{
    return std::chrono::duration<double>(value).count();
}

/// A duration of \p seconds. Thread safe.
inline auto fromSeconds(double seconds) -> duration
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace marjoramloom
