#pragma once

#include <chrono>
#include <cstdint>

namespace marjoramloom {

/// Monotonic clock (CLOCK_BOOTTIME) that, unlike the steady clock, also advances while the machine is suspended. Meets
/// the standard's Clock requirements. Thread safe.
struct boot_clock
{
    using rep = std::int64_t;
    using period = std::nano;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static auto now() -> time_point;
};

using boot_time = boot_clock::time_point;

} // namespace marjoramloom
