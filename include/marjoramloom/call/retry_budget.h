#pragma once

#include "marjoramloom/core/clock.h"

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <mutex>

namespace marjoramloom {

/// Bounds retries to a fraction of calls, so that a failing backend server does not multiply its load. Thread safe.
class retry_budget
{
public:
    /// Precondition: 0 <= \p fraction <= 1. \p seed makes the jitter repeatable.
    retry_budget(double fraction, std::uint64_t seed);

    /// A call started.
    auto onCall() -> void;

    /// Takes one retry from the budget; false where none is left.
    [[nodiscard]] auto take() -> bool;

    /// How long to wait before retry number \p retry (from 0): exponential with full jitter.
    [[nodiscard]] auto backoff(std::uint32_t retry) -> duration;

private:
    static constexpr double RESERVE = 10; ///< Retries that a quiet router may make at once.
    static constexpr duration BACKOFF_BASE = std::chrono::milliseconds(50);
    static constexpr duration BACKOFF_LIMIT = std::chrono::seconds(2);

    std::mutex m_mutex;
    double m_fraction;
    double m_tokens = RESERVE;
    boost::random::mt19937_64 m_random;
};

} // namespace marjoramloom
