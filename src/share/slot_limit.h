#pragma once

#include <cstdint>

namespace marjoramloom {

/// How many requests one backend server is given at once: learnt from its pace, starting from the declared number.
///
/// Requests beyond the number that a server really runs together either wait inside it, which shows in the time to the
/// first token, or slow all others by as much as they add, which shows in the pace. In both cases the limit goes down
/// by one; while neither shows it goes up again, to the declared number at most. Not thread safe.
class slot_limit
{
public:
    /// Precondition: \p declared is positive.
    explicit slot_limit(std::uint32_t declared = 1);

    /// Changes the declared number; what was learnt is kept in proportion.
    auto declare(std::uint32_t declared) -> void;

    /// A call that started with \p running requests on the server, itself included; a value of 0 was not observed.
    auto observe(std::uint32_t running, double firstTokenSeconds, double tokenSeconds) -> void;

    [[nodiscard]] auto slots() const -> std::uint32_t;

private:
    /// Typical values while the server is at most half full, and while it is nearly full.
    struct occupancy_pace
    {
        double running = 0;
        double firstToken = 0;
        double token = 0;
        std::uint32_t samples = 0;

        auto add(std::uint32_t runningNow, double firstTokenSeconds, double tokenSeconds) -> void;
    };

    [[nodiscard]] auto overfull() const -> bool;
    auto review() -> void;

    std::uint32_t m_declared;
    std::uint32_t m_slots;
    std::uint32_t m_sinceReview = 0;
    occupancy_pace m_light;
    occupancy_pace m_full;
};

} // namespace marjoramloom
