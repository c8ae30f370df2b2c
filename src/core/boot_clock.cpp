#include "marjoramloom/core/boot_clock.h"

#include <ctime>

namespace marjoramloom {

auto boot_clock::now() -> time_point
{
    auto now = timespec();
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace marjoramloom
