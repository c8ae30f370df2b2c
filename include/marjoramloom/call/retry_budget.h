#pragma once

#include "marjoramloom/core/clock.h"

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <mutex>

namespace marjoramloom {

/// Limits retries to a fraction of calls, so that retries do not multiply the load of failing backend servers. Thread
/// safe.
class retry_budget
{
public:
    /// Precondition: 0 <= \p fraction <= 1. \p seed makes the jitter reproducible.
    retry_budget(double fraction, std::uint64_t seed);

    /// Records the start of a call, which adds \p fraction to the budget.
    auto onCall() -> void;

    /// Takes one retry from the budget. Returns false if none is left.
    [[nodiscard]] auto take() -> bool;

    /// Delay before retry number \p retry (from 0): exponential backoff with full jitter.
    [[nodiscard]] auto backoff(std::uint32_t retry) -> duration;

private:
    static constexpr double MAX_SAVED_RETRIES = 10; ///< Retries that may be made in one burst.
    static constexpr duration BACKOFF_BASE = std::chrono::milliseconds(50);
    static constexpr duration MAX_BACKOFF = std::chrono::seconds(2);

    std::mutex m_mutex;
    double m_fraction;
    double m_available = MAX_SAVED_RETRIES;
    boost::random::mt19937_64 m_random;
};

} // namespace marjoramloom
