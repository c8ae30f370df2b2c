#pragma once

#include "marjoramloom/core/clock.h"

#include <deque>

namespace marjoramloom {

/// Limits of a gateway_retry_budget, in each time window.
struct gateway_retry_budget_settings
{
    double ratio = 0.2; ///< Retries as a fraction of the first attempts.
    duration window = std::chrono::seconds(10); ///< Length of the sliding window.
    double reserve = 2; ///< Retries beyond the fraction; this router's share of the fleet's reserve.
};

/// Limits the retries of a router to the servers of one service, over a sliding window.
///
/// Each router has a fixed share of its own: as the shares need no coordination, the limit also holds while routers are
/// cut off from each other. Not thread safe.
class gateway_retry_budget
{
public:
    explicit gateway_retry_budget(gateway_retry_budget_settings limits);

    /// Replaces the limits; the counts are kept. Precondition: the window is positive.
    auto setLimits(gateway_retry_budget_settings limits) -> void;

    /// Records the first attempt of a request.
    auto noteFirstAttempt(time_point now) -> void;

    /// Consumes one retry. Returns false if none is left.
    [[nodiscard]] auto tryConsume(time_point now) -> bool;

private:
    auto expire(time_point now) -> void;

    gateway_retry_budget_settings m_limits;
    std::deque<time_point> m_firstAttempts;
    std::deque<time_point> m_retries;
};

} // namespace marjoramloom
