#include "marjoramloom/gateway/decisions/fair_request_limit.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace marjoramloom {

namespace {

/// Factors of the limit after a period in which the event loop was late, very late and in time.
constexpr double reductionIfLate = 0.85;
constexpr double reductionIfVeryLate = 0.75;
constexpr double growthIfInTime = 1.1;
/// Every account may have this many requests a second, so that a new one is not refused at once.
constexpr double minAccountRate = 1;
/// Requests of an account over its limit that are served at once: those of this time, and at least minBurst.
constexpr auto burstTime = std::chrono::milliseconds(50);
constexpr double minBurst = 2;

} // namespace

auto fair_request_limit::recent_requests::advance(time_point now) -> void
{
    const auto bucket = static_cast<std::int64_t>(now.time_since_epoch() / BUCKET_LENGTH);
    if (bucket >= m_bucket + BUCKET_COUNT) {
        m_buckets.fill(0);
        m_total = 0;
        m_bucket = bucket;
    }
    while (m_bucket < bucket) {
        ++m_bucket;
        auto &oldest = m_buckets[static_cast<std::size_t>(m_bucket % BUCKET_COUNT)];
        m_total -= oldest;
        oldest = 0;
    }
}

auto fair_request_limit::recent_requests::add(time_point now) -> void
{
    advance(now);
    ++m_buckets[static_cast<std::size_t>(m_bucket % BUCKET_COUNT)];
    ++m_total;
}

auto fair_request_limit::recent_requests::total(time_point now) -> std::uint32_t
{
    advance(now);
    return m_total;
}

auto fair_request_limit::noteCall(time_point now) -> void
{
    if (now - m_lastCall > MAX_PAUSE) {
        m_lastTimer = now;
        startPeriod(now);
    }
    m_lastCall = now;
}

auto fair_request_limit::startPeriod(time_point now) -> void
{
    m_periodStart = now;
    m_timers = 0;
    m_lateTimers = 0;
    m_veryLateTimers = 0;
    m_served = 0;
}

auto fair_request_limit::onTimer(duration delay, time_point now) -> void
{
    noteCall(now);
    m_lastTimer = now;
    ++m_timers;
    m_lateTimers += delay > MAX_DELAY ? 1 : 0;
    m_veryLateTimers += delay > LONG_DELAY ? 1 : 0;
    // A single late timer is no overload: a period has two timers at least.
    if (now - m_periodStart >= PERIOD && m_timers >= 2) {
        adjust(now);
        updateAccountLimit(now);
        startPeriod(now);
    }
}

auto fair_request_limit::adjust(time_point now) -> void
{
    const auto isMost = [&](std::size_t timers) {
        return 2 * timers > m_timers;
    };
    if (isMost(m_lateTimers)) {
        reduce(isMost(m_veryLateTimers) ? reductionIfVeryLate : reductionIfLate, now);
    } else if (m_lateTimers == 0) {
        m_limit = now - m_lastRefusal > LIFT_TIME ? std::numeric_limits<double>::infinity() : m_limit * growthIfInTime;
    }
}

auto fair_request_limit::reduce(double factor, time_point now) -> void
{
    const auto rate = static_cast<double>(m_served) / toSeconds(now - m_periodStart);
    m_limit = std::max(MIN_RATE, factor * std::min(m_limit, rate));
}

/// Finds the level at which the accounts' requests, each up to that level, make up the limit.
auto fair_request_limit::updateAccountLimit(time_point now) -> void
{
    auto rates = std::vector<double>();
    for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
        const auto asked = entry->second.asked.total(now);
        if (asked == 0) {
            entry = m_accounts.erase(entry);
            continue;
        }
        rates.push_back(asked);
        ++entry;
    }
    m_accountLimit = std::numeric_limits<double>::infinity();
    if (std::isinf(m_limit)) {
        return;
    }
    std::sort(rates.begin(), rates.end());
    auto left = m_limit;
    for (auto index = std::size_t(0); index < rates.size(); ++index) {
        const auto level = left / static_cast<double>(rates.size() - index);
        if (rates[index] > level) {
            m_accountLimit = std::max(minAccountRate, level);
            return;
        }
        left -= rates[index];
    }
}

/// Spreads the requests of an account that is over its limit evenly over the time.
auto fair_request_limit::takeToken(account_requests &requests, time_point now) const -> bool
{
    const auto burst = std::max(minBurst, m_accountLimit * toSeconds(burstTime));
    requests.tokens = std::min(burst, requests.tokens + m_accountLimit * toSeconds(now - requests.lastRefill));
    requests.lastRefill = now;
    if (requests.tokens < 1) {
        return false;
    }
    requests.tokens -= 1;
    return true;
}

auto fair_request_limit::mayServe(std::uint64_t account, time_point now) -> bool
{
    noteCall(now);
    // Many requests in one iteration of the event loop keep the timer from firing for longer than a period.
    if (now - m_lastTimer > PERIOD + LONG_DELAY && now - m_periodStart >= PERIOD) {
        reduce(reductionIfVeryLate, now);
        updateAccountLimit(now);
        startPeriod(now);
    }
    const auto isCounted = m_accounts.size() < MAX_ACCOUNTS || m_accounts.contains(account);
    auto &requests = m_accounts[isCounted ? account : 0];
    requests.asked.add(now);
    const auto isBelowLimit = requests.asked.total(now) <= m_accountLimit;
    if (!isBelowLimit && !takeToken(requests, now)) {
        m_lastRefusal = now;
        return false;
    }
    ++m_served;
    return true;
}

auto fair_request_limit::limit() const -> double
{
    return m_limit;
}

auto fair_request_limit::accountLimit() const -> double
{
    return m_accountLimit;
}

} // namespace marjoramloom
