#include "share/pace_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

// The time between tokens hardly depends on the request, so two calls reveal a slow server. The time to the first token
// depends on the prompt and needs more samples.
constexpr auto tokenWeight = 0.5;
constexpr auto firstTokenWeight = 0.3;

/// Weight of a sample below half of the mean, so that a recovered server is used again after one call.
constexpr auto recoveryWeight = 0.7;

/// After this time without a sample, the next one replaces the mean.
constexpr auto maxSampleAge = duration(std::chrono::seconds(10));

} // namespace

auto pace_tracker::log_mean::add(double sample, double weight, time_point now) -> void
{
    if (sample <= 0) {
        return;
    }
    const auto sampleLogarithm = std::log(sample);
    const auto hasRecovered = sampleLogarithm < logarithm - std::log(2);
    const auto appliedWeight = hasRecovered ? std::max(weight, recoveryWeight) : weight;
    const auto startsAnew = !hasSample || now - lastSample > maxSampleAge;
    logarithm = startsAnew ? sampleLogarithm : logarithm + appliedWeight * (sampleLogarithm - logarithm);
    hasSample = true;
    lastSample = now;
}

auto pace_tracker::log_mean::value() const -> double
{
    return hasSample ? std::exp(logarithm) : 0;
}

auto pace_tracker::observe(double firstTokenSeconds, double tokenSeconds, time_point now) -> void
{
    assert(firstTokenSeconds >= 0 && tokenSeconds >= 0);
    m_firstToken.add(firstTokenSeconds, firstTokenWeight, now);
    m_token.add(tokenSeconds, tokenWeight, now);
}

auto pace_tracker::firstTokenSeconds() const -> double
{
    return m_firstToken.value();
}

auto pace_tracker::tokenSeconds() const -> double
{
    return m_token.value();
}

auto pace_tracker::lastFirstToken() const -> time_point
{
    return m_firstToken.lastSample;
}

} // namespace marjoramloom
