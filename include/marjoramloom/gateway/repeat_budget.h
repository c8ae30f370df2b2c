#pragma once

#include "marjoramloom/core/clock.h"

#include <deque>

namespace marjoramloom {

/// Limits of a repeat_budget.
struct repeat_budget_settings
{
    double ratio = 0.2; ///< Repeats as a fraction of first sends.
    duration window = std::chrono::seconds(10); ///< Over any span of this length.
    double reserve = 2; ///< Repeats beyond the fraction, this router's share of what the fleet may use.
};

/// Bounds what a router sends more than once to the servers of one service, in every span of a given length.
///
/// Each router keeps to its own share, as a share that needs no agreement also holds while routers are cut off from
/// each other. Not thread safe.
class repeat_budget
{
public:
    explicit repeat_budget(repeat_budget_settings limits);

    /// Replaces the limits; what was counted stays.
    auto setLimits(repeat_budget_settings limits) -> void;

    /// A request was sent for the first time.
    auto noteFirst(time_point now) -> void;

    /// Takes one repeat; false where none is left.
    [[nodiscard]] auto take(time_point now) -> bool;

private:
    auto expire(time_point now) -> void;

    repeat_budget_settings m_limits;
    std::deque<time_point> m_firsts;
    std::deque<time_point> m_repeats;
};

} // namespace marjoramloom
