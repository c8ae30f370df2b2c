#pragma once

#include "marjoramloom/core/clock.h"

#include <array>
#include <cstdint>
#include <limits>
#include <unordered_map>

namespace marjoramloom {

/// Decides which requests a router refuses while its event loop is late, by max-min shares of its client accounts.
///
/// A caller with much traffic on open connections may need more processor time than the router has. This limits the
/// requests a second to what the event loop serves in time: the limit falls while the loop is late and grows while it
/// is not. Each account may have requests up to its share: the level at which the accounts' requests, each up to that
/// level, make up the limit. An account below the level is never refused. Not thread safe.
class fair_request_limit
{
public:
    /// Time between two adjustments of the limit.
    static constexpr duration PERIOD = std::chrono::milliseconds(200);
    /// A timer that fires later than this is late. A quota of processor time delays timers by up to 100 ms, which
    /// connection_pacing acts on first, by the connections that it accepts.
    static constexpr duration MAX_DELAY = std::chrono::milliseconds(60);
    /// A timer that fires later than this is very late, so that the limit falls faster.
    static constexpr duration LONG_DELAY = std::chrono::milliseconds(120);
    /// Requests a second that are served in any case.
    static constexpr double MIN_RATE = 20;
    /// Longer pauses between two calls are those of a process that was suspended, which say nothing about its load.
    static constexpr duration MAX_PAUSE = std::chrono::milliseconds(500);
    /// A limit that no request has met for this long is lifted.
    static constexpr duration LIFT_TIME = std::chrono::seconds(2);
    /// Accounts whose requests are counted apart; the others share one count.
    static constexpr std::size_t MAX_ACCOUNTS = 1'024;

    /// Call whenever the event loop's timer fires, with its delay.
    auto onTimer(duration delay, time_point now) -> void;

    /// Whether a request of \p account, 0 for a request without an account, is served. Call once for each.
    [[nodiscard]] auto mayServe(std::uint64_t account, time_point now) -> bool;

    /// Requests a second that are served; infinite without a limit.
    [[nodiscard]] auto limit() const -> double;

    /// Requests a second up to which each account is served; infinite without a limit.
    [[nodiscard]] auto accountLimit() const -> double;

private:
    /// Amounts within a window of one second, in buckets.
    class recent_requests
    {
    public:
        auto add(time_point now) -> void;
        [[nodiscard]] auto total(time_point now) -> std::uint32_t;

    private:
        static constexpr std::int64_t BUCKET_COUNT = 20;
        static constexpr duration BUCKET_LENGTH = std::chrono::milliseconds(50);

        auto advance(time_point now) -> void;

        std::array<std::uint32_t, BUCKET_COUNT> m_buckets{};
        std::int64_t m_bucket = 0;
        std::uint32_t m_total = 0;
    };

    struct account_requests
    {
        recent_requests asked;
        double tokens = 0; ///< Requests that may be served at once.
        time_point lastRefill{};
    };

    auto noteCall(time_point now) -> void;
    auto startPeriod(time_point now) -> void;
    auto adjust(time_point now) -> void;
    auto reduce(double factor, time_point now) -> void;
    auto takeToken(account_requests &requests, time_point now) const -> bool;
    auto updateAccountLimit(time_point now) -> void;

    double m_limit = std::numeric_limits<double>::infinity();
    double m_accountLimit = std::numeric_limits<double>::infinity();
    std::unordered_map<std::uint64_t, account_requests> m_accounts;
    time_point m_periodStart{};
    time_point m_lastCall{};
    time_point m_lastTimer{};
    time_point m_lastRefusal{};
    std::size_t m_timers = 0;
    std::size_t m_lateTimers = 0;
    std::size_t m_veryLateTimers = 0;
    std::size_t m_served = 0; ///< In this period.
};

} // namespace marjoramloom
