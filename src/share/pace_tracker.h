#pragma once

#include "marjoramloom/core/clock.h"

namespace marjoramloom {

/// Recent first-token time and pace of one backend server, from routers' own calls. Not thread safe.
class pace_tracker
{
public:
    /// Notes one call; a value of 0 was not observed. Precondition: no value is negative.
    auto observe(double firstTokenSeconds, double tokenSeconds, time_point now) -> void;

    /// Typical values of the recent calls in seconds; 0 before the first.
    [[nodiscard]] auto firstTokenSeconds() const -> double;
    [[nodiscard]] auto tokenSeconds() const -> double;

    /// When a first token was seen last.
    [[nodiscard]] auto lastFirstToken() const -> time_point;

private:
    /// Exponentially weighted mean of logarithms: one extreme call does not outweigh the others. A value that is old
    /// is replaced by the next one.
    struct log_mean
    {
        double logarithm = 0;
        bool known = false;
        time_point last;

        auto add(double sample, double weight, time_point now) -> void;
        [[nodiscard]] auto value() const -> double;
    };

    log_mean m_firstToken;
    log_mean m_token;
};

} // namespace marjoramloom
