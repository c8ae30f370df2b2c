#pragma once

#include "marjoramloom/core/clock.h"

#include <cstdint>

namespace marjoramloom {

/// What is known of the capacity of one server from its answers: how long a request runs there, and how many requests
/// it accepts at once. Not thread safe.
class server_capacity
{
public:
    /// Records that the server answered a request after \p latency, which found \p running others at the server with
    /// \p slots slots.
    auto noteServed(std::uint32_t running, std::uint32_t slots, duration latency) -> void;

    /// Records that the server refused a request as it was full, with \p running others there as far as known. For
    /// \p pause, isFull() is true.
    auto noteFull(std::uint32_t running, duration pause, time_point now) -> void;

    /// Expected time for which a request occupies a slot; nothing was served yet if it is 0.
    [[nodiscard]] auto serviceTime() const -> duration;

    /// Requests that the server accepts at once; without a recent refusal, there is no known limit.
    [[nodiscard]] auto acceptedRequests(time_point now) const -> std::uint32_t;

    /// Whether the server refused a request as it was full just now.
    [[nodiscard]] auto isFull(time_point now) const -> bool;

private:
    /// The limit learnt from a refusal is raised by one request in each such period.
    static constexpr duration LIMIT_RECOVERY_PERIOD = std::chrono::milliseconds(500);
    /// The limit counts for this long after the last refusal.
    static constexpr duration LIMIT_LIFETIME = std::chrono::milliseconds(30'000);
    /// Weight of a new sample in the moving average of the service time.
    static constexpr double SAMPLE_WEIGHT = 0.1;

    duration m_serviceTime{};
    std::uint32_t m_limit = 0; ///< Requests that the server accepted at once at m_limitedAt; 0 if unknown.
    time_point m_limitedAt{};
    time_point m_fullUntil{};
};

} // namespace marjoramloom
