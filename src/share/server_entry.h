#pragma once

#include "marjoramloom/share/server_placement.h"
#include "share/pace_tracker.h"
#include "share/slot_limit.h"

#include <deque>

namespace marjoramloom {

/// State of one backend server in a placement: configuration, running requests, latencies and failures. Not thread
/// safe.
class server_entry
{
public:
    /// Sets the configured values; learnt values are kept.
    auto configure(const backend_server &configuration) -> void;
    auto setState(server_state state) -> void;

    /// Records a call that ended or produced its first tokens.
    auto observe(const pace_sample &sample, time_point now) -> void;

    /// Records the server's own report. Requests in it that were not granted here count as running until the next
    /// report or for a few seconds.
    auto observe(const load_report &report, time_point now) -> void;

    auto start(time_point now) -> void;
    auto finish(time_point now) -> void;

    /// Takes the server out of use for a cooldown that doubles with each further failure.
    auto startCooldown(time_point now) -> void;

    /// Records that a short request is sent to a slow server to test whether it has recovered.
    auto recordProbe(time_point now) -> void;
    [[nodiscard]] auto isProbeDue(time_point now) const -> bool;

    [[nodiscard]] auto configuration() const -> const backend_server &;
    [[nodiscard]] auto pace() const -> const pace_tracker &;
    [[nodiscard]] auto available() const -> bool;
    [[nodiscard]] auto failing() const -> bool;
    [[nodiscard]] auto running(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto limit() const -> std::uint32_t;
    [[nodiscard]] auto freeSlots(time_point now) const -> std::uint32_t;

    /// Latency relative to the pool's median, as of the last refresh by server_placement.
    double slowness = 1;
    bool avoided = false; ///< Short work avoids the server: it is among the slowest ones that may be avoided.

private:
    /// Maximum number of requests granted here that ran at the same time around \p moment.
    [[nodiscard]] auto maxRunningAround(time_point moment) const -> std::uint32_t;
    auto recordRunning(time_point now) -> void;

    struct running_change
    {
        time_point time;
        std::uint32_t running = 0;
    };

    backend_server m_configuration;
    server_state m_state = server_state::available;
    pace_tracker m_pace;
    slot_limit m_limit;
    std::uint32_t m_running = 0; ///< Requests granted or adopted by this dispatcher.
    std::deque<running_change> m_runningHistory;
    std::uint32_t m_reportedElsewhere = 0;
    std::uint32_t m_lastExcess = 0; ///< Requests in the last report that were not granted here.
    time_point m_reportExpiry;
    std::uint32_t m_failures = 0; ///< Consecutive failures.
    time_point m_cooldownEnd;
    std::uint32_t m_probes = 0; ///< Probes since the server last had its usual latency.
    time_point m_nextProbe;
};

} // namespace marjoramloom
