#pragma once

#include "marjoramloom/share/server_placement.h"
#include "share/pace_tracker.h"
#include "share/slot_limit.h"

#include <deque>

namespace marjoramloom {

/// What placement knows of one backend server. Not thread safe.
class server_entry
{
public:
    /// Sets what the configuration says; learnt values are kept.
    auto configure(const backend_server &contract) -> void;
    auto setState(server_state state) -> void;

    /// A call that ended or gave its first tokens.
    auto observe(const pace_sample &sample, time_point now) -> void;

    /// What the server reports and was not granted here counts as running, until the next report or for some seconds.
    auto observe(const load_report &report, time_point now) -> void;

    auto start(time_point now) -> void;
    auto finish(time_point now) -> void;

    /// Keeps the server out of use for a while, longer each time in a row.
    auto rest(time_point now) -> void;

    /// A short request is sent to a slowed server to see how it is.
    auto noteProbe(time_point now) -> void;
    [[nodiscard]] auto probeDue(time_point now) const -> bool;

    [[nodiscard]] auto contract() const -> const backend_server &;
    [[nodiscard]] auto pace() const -> const pace_tracker &;
    [[nodiscard]] auto available() const -> bool;
    [[nodiscard]] auto failing() const -> bool;
    [[nodiscard]] auto running(time_point now) const -> std::uint32_t;
    [[nodiscard]] auto limit() const -> std::uint32_t;
    [[nodiscard]] auto freeSlots(time_point now) const -> std::uint32_t;

    /// Relative to the middle of the pool; kept here between two refreshes.
    double slowness = 1;
    bool passedOver = false; ///< Slow or failing, and within the fraction that may be passed over.

private:
    /// Most requests granted here that ran at one moment around \p moment.
    [[nodiscard]] auto mostRunningAround(time_point moment) const -> std::uint32_t;
    auto noteRunning(time_point now) -> void;

    struct running_change
    {
        time_point when;
        std::uint32_t running = 0;
    };

    backend_server m_contract;
    server_state m_state = server_state::available;
    pace_tracker m_pace;
    slot_limit m_limit;
    std::uint32_t m_running = 0; ///< Granted by this dispatcher, or adopted.
    std::deque<running_change> m_history;
    std::uint32_t m_reportedElsewhere = 0;
    std::uint32_t m_lastExcess = 0; ///< Of the last report.
    time_point m_reportExpiry;
    std::uint32_t m_failures = 0; ///< In a row.
    time_point m_retryAt;
    std::uint32_t m_probes = 0; ///< Since the server was last seen at its usual pace.
    time_point m_nextProbe;
};

} // namespace marjoramloom
