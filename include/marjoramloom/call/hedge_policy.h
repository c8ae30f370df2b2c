#pragma once

#include "marjoramloom/core/clock.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>

namespace marjoramloom {

/// Says when a second attempt may be started beside a slow first one: after a learnt quantile of the time to the first
/// event, from a budget. Thread safe.
class hedge_policy
{
public:
    /// Precondition: 0 <= \p fraction < 1: hedges over calls.
    explicit hedge_policy(double fraction);

    /// A call of \p kind started (any number that tells sorts of work apart).
    auto onCall() -> void;

    /// A first event came after \p seconds.
    auto observe(double seconds) -> void;

    /// How long to wait for a first event before hedging; nothing while too little was observed.
    [[nodiscard]] auto delay() const -> std::optional<duration>;

    /// Takes one hedge from the budget; false where none is left.
    [[nodiscard]] auto take() -> bool;

    /// Gives a hedge back that was not started.
    auto giveBack() -> void;

private:
    /// Counts of first-event times in bins of equal ratio.
    struct histogram
    {
        static constexpr std::size_t BINS = 160;
        std::array<std::uint32_t, BINS> counts{};
        std::uint32_t total = 0;
    };

    static auto binOf(double seconds) -> std::size_t;

    static constexpr double QUANTILE = 0.95;
    static constexpr std::uint32_t WINDOW = 1000; ///< Observations of one half of the sliding window.
    static constexpr std::uint32_t ENOUGH = 50; ///< Observations before any hedge.
    static constexpr double BURST = 4; ///< Hedges that may be started at once.

    mutable std::mutex m_mutex;
    double m_fraction;
    double m_tokens = 0;
    histogram m_current;
    histogram m_previous;
};

} // namespace marjoramloom
