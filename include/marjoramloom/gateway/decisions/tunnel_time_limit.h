#pragma once

#include "marjoramloom/core/boot_clock.h"
#include "marjoramloom/core/clock.h"

#include <optional>

namespace marjoramloom {

/// The time limits of a tunnelled request.
struct tunnelled_request_limits
{
    /// Longest time from the request to its final answer; nothing if no route matches it, so that it is refused at once
    /// where it is read.
    std::optional<duration> answerTimeout;
    duration readTimeout{}; ///< Longest time from the first byte of the request to its last one.
    bool isComplete = true; ///< Whether the last byte of the request was received.
};

/// Decides when a router answers a request that it tunnels, as the router that serves it has not.
///
/// The load: a serving router stands still, is cut off, or loses its connection without a sign, while the router that
/// the caller is connected to goes on. The time limits of the serving router do not hold then. This one is SLACK later
/// than they are, so that it never takes effect while the serving router keeps its own; it does not depend on what is
/// known about that router. Not thread safe.
class tunnel_time_limit
{
public:
    /// Time for the last answer of the serving router to arrive.
    static constexpr duration SLACK = std::chrono::milliseconds(100);
    /// An answer that has begun is broken off once its time is over and nothing of it has arrived for this time.
    static constexpr duration ANSWER_GAP = std::chrono::milliseconds(200);

    /// Records that bytes of the request have arrived.
    auto noteRequestBytes(boot_time now) -> void;

    /// Whether setLimits() is to be called: the request has waited for SLACK since its newest bytes. Most are answered
    /// before, and never looked at.
    [[nodiscard]] auto needsLimits(boot_time now) const -> bool;

    /// Sets the limits of the request as far as it has arrived. Precondition: needsLimits().
    auto setLimits(const tunnelled_request_limits &limits) -> void;

    /// Whether the request has been without its final answer for too long. False without limits.
    [[nodiscard]] auto isOver(boot_time now) const -> bool;

    /// Time since the newest bytes of the request; 0 without any.
    [[nodiscard]] auto waited(boot_time now) const -> duration;

private:
    std::optional<boot_time> m_firstBytesAt;
    boot_time m_newestBytesAt;
    std::optional<boot_time> m_end;
};

} // namespace marjoramloom
