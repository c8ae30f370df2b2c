#pragma once

#include "marjoramloom/core/clock.h"

namespace marjoramloom {

/// Recent time to the first token and time between tokens of one backend server, from calls of the routers. Not thread
/// safe.
class pace_tracker
{
public:
    /// Records one call; a value of 0 was not observed. Precondition: no value is negative.
    auto observe(double firstTokenSeconds, double tokenSeconds, time_point now) -> void;

    /// Means of the recent calls in seconds; 0 before the first call.
    [[nodiscard]] auto firstTokenSeconds() const -> double;
    [[nodiscard]] auto tokenSeconds() const -> double;

    /// Time of the last call whose first token was observed.
    [[nodiscard]] auto lastFirstToken() const -> time_point;

private:
    /// Exponentially weighted mean of logarithms, so that one extreme call does not outweigh the others. If the last
    /// sample is too old, the next one replaces the mean.
    struct log_mean
    {
        double logarithm = 0;
        bool hasSample = false;
        time_point lastSample;

        auto add(double sample, double weight, time_point now) -> void;
        [[nodiscard]] auto value() const -> double;
    };

    log_mean m_firstToken;
    log_mean m_token;
};

} // namespace marjoramloom
