#pragma once

#include <cstdint>

namespace marjoramloom {

/// Limit of concurrent requests of one backend server, adapted from the declared number by observed latencies.
///
/// Requests beyond the number that a server really runs concurrently either queue inside it, which raises the time to
/// the first token, or slow down all others so that no throughput is gained, which raises the time between tokens. In
/// both cases the limit is lowered by one, down to half of the declared number; otherwise it is raised again, up to the
/// declared number. Not thread safe.
class slot_limit
{
public:
    /// Precondition: \p declared is positive.
    explicit slot_limit(std::uint32_t declared = 1);

    /// Changes the declared number and scales the current limit in proportion.
    auto declare(std::uint32_t declared) -> void;

    /// Records a call with \p running requests on the server, itself included; a value of 0 was not observed.
    auto observe(std::uint32_t running, double firstTokenSeconds, double tokenSeconds) -> void;

    [[nodiscard]] auto slots() const -> std::uint32_t;

private:
    /// Mean values over the calls in one range of occupancy.
    struct occupancy_latency
    {
        double running = 0;
        double firstToken = 0;
        double token = 0;
        std::uint32_t samples = 0;

        auto add(std::uint32_t runningNow, double firstTokenSeconds, double tokenSeconds) -> void;
    };

    [[nodiscard]] auto isOverloaded() const -> bool;
    auto adjust() -> void;

    std::uint32_t m_declared;
    std::uint32_t m_slots;
    std::uint32_t m_callsSinceAdjustment = 0;
    occupancy_latency m_light; ///< While at most half of the slots are used.
    occupancy_latency m_full; ///< While at least seven eighths of the slots are used.
};

} // namespace marjoramloom
