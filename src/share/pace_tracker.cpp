#include "share/pace_tracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace marjoramloom {

namespace {

// The pace between tokens hardly depends on the request, so two calls tell a slowed server; the first token's time
// depends on the prompt and needs more of them.
constexpr auto tokenWeight = 0.5;
constexpr auto firstTokenWeight = 0.3;

/// Of a value under half of the present one: a server that recovered is used again after one call.
constexpr auto recoveryWeight = 0.7;

/// After this long without a call the next one counts alone.
constexpr auto memory = duration(std::chrono::seconds(10));

} // namespace

auto pace_tracker::log_mean::add(double sample, double weight, time_point now) -> void
{
    if (sample <= 0) {
        return;
    }
    const auto next = std::log(sample);
    const auto recovers = next < logarithm - std::log(2);
    const auto used = recovers ? std::max(weight, recoveryWeight) : weight;
    const auto forgotten = !known || now - last > memory;
    logarithm = forgotten ? next : logarithm + used * (next - logarithm);
    known = true;
    last = now;
}

auto pace_tracker::log_mean::value() const -> double
{
    return known ? std::exp(logarithm) : 0;
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
    return m_firstToken.last;
}

} // namespace marjoramloom
