#pragma once

#include "marjoramloom/core/clock.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>

namespace marjoramloom {

/// Decides when a second attempt may be started in parallel to a slow first one: after an observed quantile of the time
/// to the first event, and within a budget. Thread safe.
class hedge_policy
{
public:
    /// \p fraction is the maximum ratio of hedges to calls. Precondition: 0 <= \p fraction < 1.
    explicit hedge_policy(double fraction);

    /// Records the start of a call that may be hedged, which adds to the budget.
    auto onCall() -> void;

    /// Records that a first event arrived after \p seconds.
    auto observe(double seconds) -> void;

    /// Time to wait for a first event before hedging; nothing if there are too few observations.
    [[nodiscard]] auto delay() const -> std::optional<duration>;

    /// Takes one hedge from the budget. Returns false if none is left.
    [[nodiscard]] auto take() -> bool;

    /// Returns a hedge that was not started to the budget.
    auto giveBack() -> void;

private:
    /// Counts of first-event times in logarithmic bins.
    struct histogram
    {
        static constexpr std::size_t BINS = 160;
        std::array<std::uint32_t, BINS> counts{};
        std::uint32_t total = 0;
    };

    static auto binOf(double seconds) -> std::size_t;

    static constexpr double DELAY_QUANTILE = 0.95;
    static constexpr std::uint32_t HALF_WINDOW_OBSERVATIONS = 1000; ///< The window covers one to two halves.
    static constexpr std::uint32_t MIN_OBSERVATIONS = 50; ///< Before any hedge.
    static constexpr double MAX_SAVED_HEDGES = 4; ///< Hedges that may be started in one burst.

    mutable std::mutex m_mutex;
    double m_fraction;
    double m_available = 0;
    histogram m_current;
    histogram m_previous;
};

} // namespace marjoramloom
